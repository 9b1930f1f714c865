//! `briartray quarantine`: lists and releases requests and prompt parts that are refused because
//! they crash endpoints.

use gumdrop::Options;
use serde_json::{Value, json};

use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct QuarantineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<QuarantineCommand>,
}

#[derive(Debug, Options)]
enum QuarantineCommand {
    #[options(
        help = "list quarantined requests and prompt parts with the rule and team and the number of crashes"
    )]
    List(ListOptions),
    #[options(help = "release a request or a prompt part from quarantine")]
    Lift(LiftOptions),
}

operator_command! {
    struct ListOptions {
        #[options(help = "print this help")]
        help: bool,
    }
}

operator_command! {
    struct LiftOptions {
        #[options(help = "print this help")]
        help: bool,
        #[options(free, required, help = "fingerprint of the request or id of the part, from the column print of the list")]
        print: String,
    }
}

pub(super) fn run(options: &QuarantineOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(QuarantineCommand::List(options)) => list(options),
        Some(QuarantineCommand::Lift(options)) => lift(options),
        None => Err(CommandError::unusable("missing subcommand: list or lift")),
    }
}

fn list(options: &ListOptions) -> Result<(), CommandError> {
    let client = options.client();
    let requests = client.get("/v1/quarantine")?;
    if options.output == OutputFormat::Json {
        println!("{requests}");
        return Ok(());
    }
    println!("{:<12} {:<32} {:<16} {:<16} crashed", "kind", "print", "rule", "team");
    for request in requests.as_array().into_iter().flatten() {
        let text = |key: &str| request[key].as_str().unwrap_or("-").to_owned();
        let crashed = request["crashed"].as_array().map_or(0, Vec::len);
        let (kind, print) = (text("kind"), text("print"));
        println!("{kind:<12} {print:<32} {:<16} {:<16} {crashed}", text("rule"), text("team"));
    }
    Ok(())
}

fn lift(options: &LiftOptions) -> Result<(), CommandError> {
    let client = options.client();
    let reply: Value = client.post("/v1/quarantine/lift", &json!({ "print": options.print }))?;
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => println!("{} may run again", options.print),
    }
    Ok(())
}
