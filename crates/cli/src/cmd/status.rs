//! `briartray status`: what control knows, in short.

use super::{CommandError, OutputFormat};

operator_command! {
    pub(super) struct StatusOptions {
        #[options(help = "print this help")]
        help: bool,
    }
}

pub(super) fn run(options: &StatusOptions) -> Result<(), CommandError> {
    let port = options.port();
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
