//! `briartray rules apply`: replace the rules in force.

use briartray_node::new_change_id;
use serde_json::json;

use super::read_document;
use crate::cmd::{CommandError, OutputFormat};

operator_command! {
    pub(super) struct ApplyOptions {
        #[options(help = "print this help")]
        help: bool,
        #[options(free, required, help = "rule document in YAML")]
        file: String,
        #[options(no_short, help = "revision that must be in force", meta = "REVISION")]
        expect: Option<u64>,
        #[options(no_short, help = "change id of 32 hexadecimal digits, for a resend", meta = "ID")]
        change: Option<String>,
    }
}

pub(super) fn run(options: &ApplyOptions) -> Result<(), CommandError> {
    let text = read_document(&options.file)?;
    let change = options.change.clone().unwrap_or_else(|| new_change_id().to_string());
    let port = options.port();
    let body = json!({ "change": change, "expect": options.expect, "text": text });
    let reply = port.post("/v1/rules", &body).map_err(|error| {
        CommandError::refused(format!("{error} (change {change}; send it again with --change)"))
    })?;
    let accepted = reply["outcome"] == "accepted";
    match options.output {
        OutputFormat::Json => println!("{reply}"),
        OutputFormat::Text if accepted => println!("accepted as revision {}", reply["revision"]),
        OutputFormat::Text => println!("committed as revision {}", reply["revision"]),
    }
    if accepted {
        return Ok(());
    }
    Err(CommandError::pending(format!(
        "not in force everywhere yet: {} may still decide under older rules; wait on with \
         --change {change}, or strike off entries that are gone with briartray entries forget",
        reply["waiting_for"]
    )))
}
