//! `briartray rules show`: the rules in force.

use gumdrop::Options;

use crate::cmd::operator::{DEFAULT_OPERATOR, OperatorPort};
use crate::cmd::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct ShowOptions {
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

pub(super) fn run(options: &ShowOptions) -> Result<(), CommandError> {
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
