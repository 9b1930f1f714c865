//! `briartray measure outcomes`: outcomes reported to callers under faults, compared with what was
//! actually executed.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use serde_json::json;

use crate::cmd::{CommandError, OutputFormat};
use crate::trial::{OutcomeRow, TrialFault, run_fault};

#[derive(Debug, Options)]
pub(super) struct OutcomesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "one fault; all of them when not given", meta = "FAULT")]
    fault: Option<String>,
    #[options(no_short, help = "length of the load in seconds", meta = "N", default = "15")]
    seconds: f64,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

pub(super) fn run(options: &OutcomesOptions) -> Result<(), CommandError> {
    let faults = selected_faults(options.fault.as_deref())?;
    let programs = program_folder()?;
    let length = Duration::from_secs_f64(options.seconds);
    if options.output == OutputFormat::Text {
        print_header();
    }
    let mut rows = Vec::new();
    for fault in faults {
        let row = run_fault(&programs, fault, length).map_err(CommandError::refused)?;
        if options.output == OutputFormat::Text {
            print_row(&row);
        }
        rows.push(row);
    }
    if options.output == OutputFormat::Json {
        println!("{}", json!(rows));
    }
    if rows.iter().all(OutcomeRow::is_clean) {
        return Ok(());
    }
    Err(CommandError::refused("a request was lost, run twice, given a wrong answer or misreported"))
}

fn selected_faults(name: Option<&str>) -> Result<Vec<TrialFault>, CommandError> {
    let Some(name) = name else { return Ok(TrialFault::ALL.to_vec()) };
    let known: Vec<&str> = TrialFault::ALL.iter().map(|fault| fault.name()).collect();
    TrialFault::parse(name).map(|fault| vec![fault]).ok_or_else(|| {
        CommandError::unusable(format!("unknown fault; use one of {}", known.join(", ")))
    })
}

/// Folder of the running program, where the daemon is built too.
pub(super) fn program_folder() -> Result<PathBuf, CommandError> {
    let program = std::env::current_exe().map_err(CommandError::unusable)?;
    Ok(program.parent().map(PathBuf::from).unwrap_or_default())
}

fn print_header() {
    println!(
        "{:<30} {:>6} {:>8} {:>8} {:>8} {:>5} {:>8} {:>8} {:>7} {:>9}",
        "fault",
        "sent",
        "answered",
        "not_run",
        "unknown",
        "lost",
        "doubled",
        "crossed",
        "untrue",
        "not ended",
    );
}

fn print_row(row: &OutcomeRow) {
    println!(
        "{:<30} {:>6} {:>8} {:>8} {:>8} {:>5} {:>8} {:>8} {:>7} {:>9}",
        row.fault,
        row.sent,
        row.answered,
        row.refused,
        row.unknown,
        row.lost,
        row.doubled,
        row.crossed,
        row.untrue,
        row.not_ended,
    );
}
