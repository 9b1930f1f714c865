//! `briartray status`: what control knows, in short.

use gumdrop::Options;

use super::operator::{DEFAULT_OPERATOR, OperatorPort};
use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct StatusOptions {
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

pub(super) fn run(options: &StatusOptions) -> Result<(), CommandError> {
    let port = OperatorPort { address: &options.operator, token: options.token.as_deref() };
    let status = port.get("/v1/status")?;
    match (options.output, status.as_object()) {
        (OutputFormat::Text, Some(fields)) => {
            for (name, value) in fields {
                println!("{name:<12} {value}");
            }
        }
        _ => println!("{status}"),
    }
    Ok(())
}
