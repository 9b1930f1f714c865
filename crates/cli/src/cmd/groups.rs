//! `briartray groups`: every group and whether it is whole.

use gumdrop::Options;
use serde_json::Value;

use super::operator::{DEFAULT_OPERATOR, OperatorPort};
use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct GroupsOptions {
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

pub(super) fn run(options: &GroupsOptions) -> Result<(), CommandError> {
    let port = OperatorPort { address: &options.operator, token: options.token.as_deref() };
    let groups = port.get("/v1/groups")?;
    if options.output == OutputFormat::Json {
        println!("{groups}");
        return Ok(());
    }
    println!(
        "{:<7} {:<8} {:<16} {:<12} {:<14} whole",
        "group", "fencing", "service", "zone", "first"
    );
    for group in groups.as_array().into_iter().flatten() {
        println!(
            "{:<7} {:<8} {:<16} {:<12} {:<14} {}",
            group["group"],
            group["fencing"],
            text(&group["service"]),
            text(&group["zone"]),
            text(&group["first"]),
            group["whole"],
        );
    }
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
