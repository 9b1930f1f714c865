//! `briartray check`: validates settings files, rule documents and data folders without starting or
//! changing anything.

use std::path::Path;

use briartray_control::storage::{self, FolderReport};
use briartray_model::names::LogIndex;
use briartray_model::rules::{FindingLevel, check_rules};
use briartray_model::settings;
use gumdrop::Options;
use serde_json::{Value, json};

use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "settings files and rule documents to check")]
    files: Vec<String>,
    #[options(no_short, help = "data folder of a control host to check", meta = "FOLDER")]
    data_folder: Option<String>,
    #[options(no_short, help = "output format: text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

/// Result of checking one file.
struct CheckedFile<'a> {
    file: &'a str,
    /// Kind of file, with the node name for valid settings.
    subject: String,
    /// Errors found; empty if the file is valid.
    problems: Vec<String>,
}

pub(super) fn run(options: &CheckOptions) -> Result<(), CommandError> {
    if options.files.is_empty() && options.data_folder.is_none() {
        return Err(CommandError::unusable(
            "no files given; name files to check, or a folder with --data-folder",
        ));
    }
    if let Some(folder) = &options.data_folder {
        check_folder(folder, options.output)?;
    }
    if options.files.is_empty() {
        return Ok(());
    }
    let checked: Vec<CheckedFile<'_>> = options.files.iter().map(|file| check(file)).collect();
    match options.output {
        OutputFormat::Json => println!("{}", as_json(&checked)),
        OutputFormat::Text => print_all(&checked),
    }
    let failed = checked.iter().filter(|file| !file.problems.is_empty()).count();
    if failed > 0 {
        return Err(CommandError::unusable(format!("{failed} files have errors")));
    }
    Ok(())
}

fn check(file: &str) -> CheckedFile<'_> {
    let path = Path::new(file);
    match std::fs::read_to_string(path) {
        Ok(text) if is_rule_document(&text) => check_document(file, &text),
        _ => check_settings(file, path),
    }
}

/// Whether `text` has a top-level key `rules` or `services`, which settings files never have.
fn is_rule_document(text: &str) -> bool {
    text.lines().any(|line| line.starts_with("rules:") || line.starts_with("services:"))
}

fn check_document<'a>(file: &'a str, text: &str) -> CheckedFile<'a> {
    let problems = match check_rules(text) {
        Ok(findings) => findings
            .iter()
            .filter(|finding| finding.level == FindingLevel::Error)
            .map(|finding| format!("{file}: {finding}"))
            .collect(),
        Err(error) => vec![format!("{file}: {error}")],
    };
    CheckedFile { file, subject: "rules".to_owned(), problems }
}

fn check_settings<'a>(file: &'a str, path: &Path) -> CheckedFile<'a> {
    match settings::load(path) {
        Ok(loaded) => {
            CheckedFile { file, subject: format!("node {}", loaded.node), problems: Vec::new() }
        }
        Err(error) => {
            let problems = error.to_string().lines().map(str::to_owned).collect();
            CheckedFile { file, subject: "settings".to_owned(), problems }
        }
    }
}

fn print_all(checked: &[CheckedFile<'_>]) {
    for file in checked {
        if file.problems.is_empty() {
            println!("{}: {} holds", file.file, file.subject);
        }
        for problem in &file.problems {
            eprintln!("{problem}");
        }
    }
}

fn as_json(checked: &[CheckedFile<'_>]) -> Value {
    let files: Vec<Value> = checked
        .iter()
        .map(
            |file| json!({ "file": file.file, "subject": file.subject, "problems": file.problems }),
        )
        .collect();
    json!({ "files": files })
}

fn check_folder(folder: &str, output: OutputFormat) -> Result<(), CommandError> {
    let report = storage::inspect(Path::new(folder)).map_err(CommandError::refused)?;
    match output {
        OutputFormat::Json => println!("{}", json!(report)),
        OutputFormat::Text => print_report(&report),
    }
    Ok(())
}

fn print_report(report: &FolderReport) {
    let identity = &report.identity;
    let members: Vec<&str> = identity.members.iter().map(|member| member.as_str()).collect();
    let format_index = |index: Option<LogIndex>| index.map_or("none".to_owned(), |i| i.to_string());
    println!("node       {}", identity.node);
    println!("folder     {:016x}", identity.folder.0);
    println!("members    {}", members.join(", "));
    println!("founded    {}", if identity.founding.is_some() { "yes" } else { "no" });
    println!("term       {}", report.hard.term);
    println!("voted      {}", report.hard.voted.as_ref().map_or("nobody", |node| node.as_str()));
    println!("records    {} to {}", format_index(report.first), report.last);
    println!("snapshot   {} ({} bytes)", format_index(report.snapshot), report.snapshot_bytes);
    match report.torn_bytes {
        0 => println!("damage     none"),
        bytes => println!("damage     a torn tail of {bytes} bytes; the next start cuts it off"),
    }
}
