//! `briartray rules check`: checks a rule document locally, without sending it.

use briartray_model::rules::{FindingLevel, RuleFinding, check_rules};
use gumdrop::Options;
use serde_json::{Value, json};

use super::read_document;
use crate::cmd::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "rule document in YAML")]
    file: String,
    #[options(no_short, help = "output format: text or json", meta = "FORMAT")]
    output: OutputFormat,
}

pub(super) fn run(options: &CheckOptions) -> Result<(), CommandError> {
    let text = read_document(&options.file)?;
    let findings = check_rules(&text)
        .map_err(|error| CommandError::unusable(format!("{}: {error}", options.file)))?;
    match options.output {
        OutputFormat::Json => println!("{}", as_json(&findings)),
        OutputFormat::Text => {
            for finding in &findings {
                println!("{}: {finding}", options.file);
            }
        }
    }
    let errors = findings.iter().filter(|finding| finding.level == FindingLevel::Error).count();
    if errors > 0 {
        return Err(CommandError::refused(format!("{}: {errors} errors", options.file)));
    }
    if options.output == OutputFormat::Text {
        println!("{}: holds", options.file);
    }
    Ok(())
}

fn as_json(findings: &[RuleFinding]) -> Value {
    let rows: Vec<Value> = findings
        .iter()
        .map(|finding| {
            json!({
                "line": finding.line,
                "level": match finding.level {
                    FindingLevel::Error => "error",
                    FindingLevel::Warning => "warning",
                },
                "message": finding.message,
            })
        })
        .collect();
    json!({ "findings": rows })
}
