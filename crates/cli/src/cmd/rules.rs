//! `briartray rules`: apply a document, or show the one in force.

use briartray_node::new_change;
use gumdrop::Options;
use serde_json::json;

use super::operator::{DEFAULT_OPERATOR, OperatorPort};
use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct RulesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<RulesCommand>,
}

#[derive(Debug, Options)]
enum RulesCommand {
    #[options(help = "replace the rules in force")]
    Apply(ApplyOptions),
    #[options(help = "show the rules in force")]
    Show(ShowOptions),
}

#[derive(Debug, Options)]
struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "rule document in YAML")]
    file: String,
    #[options(no_short, help = "revision that must be in force", meta = "REVISION")]
    expect: Option<u64>,
    #[options(no_short, help = "change id of 32 hexadecimal digits, for a resend", meta = "ID")]
    change: Option<String>,
    #[options(
        no_short,
        help = "operators' address, or those of all control hosts with commas between",
        meta = "ADDRESS",
        default_expr = "DEFAULT_OPERATOR.to_owned()"
    )]
    operator: String,
    #[options(no_short, help = "operators' token", meta = "TOKEN")]
    token: Option<String>,
    #[options(no_short, help = "text or json", meta = "FORMAT")]
    output: OutputFormat,
}

#[derive(Debug, Options)]
struct ShowOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "operators' address, or those of all control hosts with commas between",
        meta = "ADDRESS",
        default_expr = "DEFAULT_OPERATOR.to_owned()"
    )]
    operator: String,
    #[options(no_short, help = "operators' token", meta = "TOKEN")]
    token: Option<String>,
    #[options(no_short, help = "text or json", meta = "FORMAT")]
    output: OutputFormat,
}

pub(super) fn run(options: &RulesOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(RulesCommand::Apply(options)) => apply(options),
        Some(RulesCommand::Show(options)) => show(options),
        None => Err(CommandError::unusable("name a command: apply or show")),
    }
}

fn apply(options: &ApplyOptions) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(&options.file).map_err(|error| {
        CommandError::unusable(format!("{}: {error}; check the path", options.file))
    })?;
    let change = options.change.clone().unwrap_or_else(|| new_change().to_string());
    let port = OperatorPort { address: &options.operator, token: options.token.as_deref() };
    let body = json!({ "change": change, "expect": options.expect, "text": text });
    let reply = port.post("/v1/rules", &body).map_err(|error| {
        CommandError::refused(format!("{error} (change {change}; send it again with --change)"))
    })?;
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text => println!("accepted as revision {}", reply["revision"]),
    }
    Ok(())
}

fn show(options: &ShowOptions) -> Result<(), CommandError> {
    let port = OperatorPort { address: &options.operator, token: options.token.as_deref() };
    let rules = port.get("/v1/rules")?;
    match options.output {
        OutputFormat::Json => println!("{rules}"),
        OutputFormat::Text => {
            println!("# revision {}", rules["revision"]);
            print!("{}", rules["text"].as_str().unwrap_or_default());
        }
    }
    Ok(())
}
