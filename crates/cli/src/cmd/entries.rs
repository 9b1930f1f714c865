//! `briartray entries`: entries that may hold a rules lease.

use gumdrop::Options;
use serde_json::json;

use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct EntriesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<EntriesCommand>,
}

#[derive(Debug, Options)]
enum EntriesCommand {
    #[options(help = "every entry, the rules it has, and whether it may decide")]
    List(ListOptions),
    #[options(help = "strike off an entry that is known to be gone")]
    Forget(ForgetOptions),
}

operator_command! {
    struct ListOptions {
        #[options(help = "print this help")]
        help: bool,
    }
}

operator_command! {
    struct ForgetOptions {
        #[options(help = "print this help")]
        help: bool,
        #[options(free, required, help = "node name of the entry")]
        node: String,
    }
}

pub(super) fn run(options: &EntriesOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(EntriesCommand::List(options)) => list(options),
        Some(EntriesCommand::Forget(options)) => forget(options),
        None => Err(CommandError::unusable("name a command: list or forget")),
    }
}

fn list(options: &ListOptions) -> Result<(), CommandError> {
    let port = options.port();
    let entries = port.get("/v1/entries")?;
    if options.output == OutputFormat::Json {
        println!("{entries}");
        return Ok(());
    }
    println!("{:<24} {:<9} may decide", "entry", "revision");
    for entry in entries.as_array().into_iter().flatten() {
        let node = entry["node"].as_str().unwrap_or_default();
        println!("{node:<24} {:<9} {}", entry["revision"], entry["may_decide"]);
    }
    Ok(())
}

fn forget(options: &ForgetOptions) -> Result<(), CommandError> {
    let port = options.port();
    let reply = port.post("/v1/entries/forget", &json!({ "node": options.node }))?;
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => println!("{} is struck off", options.node),
    }
    Ok(())
}
