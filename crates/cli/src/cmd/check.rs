//! `briartray check`: settings files and data folders are read and checked, nothing is started or
//! changed.

use std::path::Path;

use briartray_control::storage::{self, FolderReport};
use briartray_model::names::LogIndex;
use briartray_model::settings;
use gumdrop::Options;
use serde_json::json;

use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "settings files")]
    files: Vec<String>,
    #[options(no_short, help = "data folder of a control host", meta = "FOLDER")]
    data_folder: Option<String>,
    #[options(no_short, help = "text or json, for a data folder", meta = "FORMAT")]
    output: OutputFormat,
}

pub(super) fn run(options: &CheckOptions) -> Result<(), CommandError> {
    if options.files.is_empty() && options.data_folder.is_none() {
        return Err(CommandError::unusable("name settings files, or a folder by --data-folder"));
    }
    if let Some(folder) = &options.data_folder {
        check_folder(folder, options.output)?;
    }
    let mut failed = 0;
    for file in &options.files {
        match settings::load(Path::new(file)) {
            Ok(loaded) => println!("{file}: node {} holds", loaded.node),
            Err(error) => {
                eprintln!("{error}");
                failed += 1;
            }
        }
    }
    if failed > 0 {
        return Err(CommandError::unusable(format!("{failed} files do not hold")));
    }
    Ok(())
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
    let number = |index: Option<LogIndex>| index.map_or("none".to_owned(), |i| i.to_string());
    println!("node       {}", identity.node);
    println!("folder     {:016x}", identity.folder.0);
    println!("members    {}", members.join(", "));
    println!("founded    {}", if identity.founding.is_some() { "yes" } else { "no" });
    println!("term       {}", report.hard.term);
    println!("voted      {}", report.hard.voted.as_ref().map_or("nobody", |node| node.as_str()));
    println!("records    {} to {}", number(report.first), report.last);
    println!("snapshot   {} ({} bytes)", number(report.snapshot), report.snapshot_bytes);
    match report.torn_bytes {
        0 => println!("damage     none"),
        bytes => println!("damage     a torn tail of {bytes} bytes; the next start cuts it off"),
    }
}
