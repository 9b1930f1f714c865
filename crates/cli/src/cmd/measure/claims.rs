//! `briartray measure claims`: claims per second, and the latency that a claim adds to a
//! call.

use std::time::Duration;

use gumdrop::Options;
use serde_json::json;

use super::outcomes::program_folder;
use crate::cmd::{CommandError, OutputFormat};
use crate::trial::{ClaimRow, measure_claims};

#[derive(Debug, Options)]
pub(super) struct ClaimsOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "control hosts", meta = "N", default = "3")]
    controls: usize,
    #[options(no_short, help = "length of each step in seconds", meta = "N", default = "4")]
    seconds: f64,
    #[options(no_short, help = "callers at one time; may be given again", meta = "N")]
    callers: Vec<usize>,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

/// Concurrent callers of each step when the option is not given.
const DEFAULT_CALLERS: [usize; 4] = [1, 8, 32, 128];

pub(super) fn run(options: &ClaimsOptions) -> Result<(), CommandError> {
    let callers = if options.callers.is_empty() { &DEFAULT_CALLERS } else { &options.callers[..] };
    let length = Duration::from_secs_f64(options.seconds);
    let rows = measure_claims(&program_folder()?, options.controls, callers, length)
        .map_err(CommandError::refused)?;
    match options.output {
        OutputFormat::Json => println!("{}", json!(rows)),
        OutputFormat::Text => print_rows(&rows),
    }
    if rows.iter().any(|row| row.failed > 0) {
        return Err(CommandError::refused(
            "some calls failed; check whether the machine is overloaded",
        ));
    }
    Ok(())
}

fn print_rows(rows: &[ClaimRow]) {
    println!(
        "{:>8} {:>8} {:>6} {:>8} {:>7} {:>10} {:>8} {:>8}",
        "controls", "callers", "keyed", "calls", "failed", "per second", "p50 ms", "p99 ms",
    );
    for row in rows {
        println!(
            "{:>8} {:>8} {:>6} {:>8} {:>7} {:>10.0} {:>8.2} {:>8.2}",
            row.controls,
            row.callers,
            if row.keyed { "yes" } else { "no" },
            row.calls,
            row.failed,
            row.per_second,
            row.p50_ms,
            row.p99_ms,
        );
    }
}
