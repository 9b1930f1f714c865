//! `briartray measure capacity`: the cost for each role of one more entry, agent, request and the
//! like, and the resources that each role needs at the design size, extrapolated from these costs.

mod daemon;
mod encoding;
mod lines;
mod page;
mod peers;
mod regression;
mod relay;
mod rows;
mod settings;
pub(super) mod usage;
mod window;

use std::path::PathBuf;

use gumdrop::Options;
use serde_json::json;

use self::lines::MeasuredLine;
use super::super::{CommandError, OutputFormat};

/// Numbers of watching entries to measure.
const WATCHER_COUNTS: [usize; 3] = [3, 30, 300];

/// Numbers of connected agents to measure.
const AGENT_COUNTS: [usize; 3] = [10, 100, 400];

/// Numbers of group members to measure, without the first host.
const MEMBER_COUNTS: [usize; 3] = [1, 7, 31];

/// Request rates through entry and agent, per second.
const REQUEST_RATES: [usize; 3] = [50, 100, 200];

/// Tokens of each answer at [`FIXED_RATE`].
const ANSWER_TOKENS: [usize; 3] = [8, 32, 128];

/// Numbers of groups in a snapshot.
const SNAPSHOT_GROUPS: [usize; 4] = [30, 300, 1000, 2800];

/// Numbers of groups that change in one update: one group, a rack's groups, a zone's groups.
const CHANGED_GROUPS: [usize; 3] = [1, 12, 97];

/// Requests per second while the number of tokens varies.
const FIXED_RATE: usize = 40;

#[derive(Debug, Options)]
pub(in crate::cmd) struct CapacityOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "runs of every measurement", meta = "N", default = "2")]
    runs: usize,
    #[options(no_short, help = "page whose tables are rewritten", meta = "FILE")]
    page: Option<PathBuf>,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

pub(in crate::cmd) fn run(options: &CapacityOptions) -> Result<(), CommandError> {
    let mut measured = Vec::new();
    print_progress("watching entries");
    measured.extend(lines::watchers(&repeat_sizes(&WATCHER_COUNTS, options.runs))?);
    print_progress("connected agents");
    measured.extend(lines::agent_sessions(&repeat_sizes(&AGENT_COUNTS, options.runs))?);
    print_progress("members of a group");
    measured.extend(lines::members(&repeat_sizes(&MEMBER_COUNTS, options.runs))?);
    print_progress("requests and tokens");
    let (rates, tokens) =
        (repeat_sizes(&REQUEST_RATES, options.runs), repeat_sizes(&ANSWER_TOKENS, options.runs));
    measured.extend(lines::serving(&rates, &tokens, FIXED_RATE)?);
    print_progress("snapshots");
    measured.extend(encoding::snapshot(&repeat_sizes(&SNAPSHOT_GROUPS, options.runs))?);
    let groups = SNAPSHOT_GROUPS[SNAPSHOT_GROUPS.len() - 1];
    measured.extend(encoding::changes(&repeat_sizes(&CHANGED_GROUPS, options.runs), groups)?);
    report(options, &measured)
}

fn report(options: &CapacityOptions, measured: &[MeasuredLine]) -> Result<(), CommandError> {
    let rows = rows::design_size_rows(measured);
    if let Some(page) = &options.page {
        page::rewrite(page, measured, &rows)?;
    }
    match options.output {
        OutputFormat::Json => println!("{}", json!({ "lines": measured, "rows": rows })),
        OutputFormat::Text => {
            println!("{}\n{}", page::line_table(measured), page::row_table(&rows));
        }
    }
    Ok(())
}

/// Repeats each size once per run.
fn repeat_sizes(sizes: &[usize], runs: usize) -> Vec<usize> {
    sizes.iter().flat_map(|size| std::iter::repeat_n(*size, runs.max(1))).collect()
}

fn print_progress(what: &str) {
    eprintln!("measuring {what}");
}
