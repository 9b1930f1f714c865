//! `briartray rules show`: shows the rules in force.

use crate::cmd::{CommandError, OutputFormat};

operator_command! {
    pub(super) struct ShowOptions {
        #[options(help = "print this help")]
        help: bool,
    }
}

pub(super) fn run(options: &ShowOptions) -> Result<(), CommandError> {
    let client = options.client();
    let rules = client.get("/v1/rules")?;
    match options.output {
        OutputFormat::Json => println!("{rules}"),
        OutputFormat::Text => {
            println!("# revision {}", rules["revision"]);
            print!("{}", rules["text"].as_str().unwrap_or_default());
        }
    }
    Ok(())
}
