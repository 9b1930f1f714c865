//! `briartray quarantine`: requests that are refused since they crash endpoints.

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
    #[options(help = "every request in quarantine, and why")]
    List(ListOptions),
    #[options(help = "let a request run again")]
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
        #[options(free, required, help = "print of the request, as the list shows it")]
        print: String,
    }
}

pub(super) fn run(options: &QuarantineOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(QuarantineCommand::List(options)) => list(options),
        Some(QuarantineCommand::Lift(options)) => lift(options),
        None => Err(CommandError::unusable("name a command: list or lift")),
    }
}

fn list(options: &ListOptions) -> Result<(), CommandError> {
    let port = options.port();
    let requests = port.get("/v1/quarantine")?;
    if options.output == OutputFormat::Json {
        println!("{requests}");
        return Ok(());
    }
    println!("{:<32} {:<16} {:<16} crashed", "print", "rule", "team");
    for request in requests.as_array().into_iter().flatten() {
        let text = |key: &str| request[key].as_str().unwrap_or("-").to_owned();
        let crashed = request["crashed"].as_array().map_or(0, Vec::len);
        println!("{:<32} {:<16} {:<16} {crashed}", text("print"), text("rule"), text("team"));
    }
    Ok(())
}

fn lift(options: &LiftOptions) -> Result<(), CommandError> {
    let port = options.port();
    let reply: Value = port.post("/v1/quarantine/lift", &json!({ "print": options.print }))?;
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => println!("{} may run again", options.print),
    }
    Ok(())
}
