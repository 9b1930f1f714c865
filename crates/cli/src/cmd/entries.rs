//! `briartray entries`: lists and forgets the entries that may hold a rules lease.

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
    #[options(help = "list entries with their rules revision and whether they may decide requests")]
    List(ListOptions),
    #[options(help = "stop waiting for an entry that no longer runs")]
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
        None => Err(CommandError::unusable("missing subcommand: list or forget")),
    }
}

fn list(options: &ListOptions) -> Result<(), CommandError> {
    let client = options.client();
    let entries = client.get("/v1/entries")?;
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
    let client = options.client();
    let reply = client.post("/v1/entries/forget", &json!({ "node": options.node }))?;
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => println!("{} is struck off", options.node),
    }
    Ok(())
}
