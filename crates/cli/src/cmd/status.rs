//! `briartray status`: shows the status of a control host.

use super::{CommandError, OutputFormat};

operator_command! {
    pub(super) struct StatusOptions {
        #[options(help = "print this help")]
        help: bool,
    }
}

pub(super) fn run(options: &StatusOptions) -> Result<(), CommandError> {
    let client = options.client();
    let status = client.get("/v1/status")?;
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
