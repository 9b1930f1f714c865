//! `briartray measure capacity`: what one more of something costs each role, and from that what
//! each role needs at the size that the design aims for.

mod child;
mod encoding;
mod lines;
mod page;
mod peers;
mod relay;
mod rows;
mod settings;
mod slope;
pub(super) mod usage;
mod window;

use std::path::PathBuf;

use gumdrop::Options;
use serde_json::json;

use self::lines::MeasuredLine;
use super::super::{CommandError, OutputFormat};

/// Watching entries at each measurement.
const WATCHERS: [usize; 3] = [3, 30, 300];

/// Connected agents at each measurement.
const AGENTS: [usize; 3] = [10, 100, 400];

/// Members of a group besides its first host.
const MEMBERS: [usize; 3] = [1, 7, 31];

/// Requests a second through entry and agent.
const RATES: [usize; 3] = [50, 100, 200];

/// Tokens of each answer at the fixed rate.
const TOKENS: [usize; 3] = [8, 32, 128];

/// Groups in a snapshot.
const GROUPS: [usize; 4] = [30, 300, 1000, 2800];

/// Groups that change in one update: one, a rack's, a zone's.
const CHANGED: [usize; 3] = [1, 12, 97];

/// Requests a second while tokens vary.
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
    progress("watching entries");
    measured.extend(lines::watchers(&repeat(&WATCHERS, options.runs))?);
    progress("connected agents");
    measured.extend(lines::sessions(&repeat(&AGENTS, options.runs))?);
    progress("members of a group");
    measured.extend(lines::members(&repeat(&MEMBERS, options.runs))?);
    progress("requests and tokens");
    let (rates, tokens) = (repeat(&RATES, options.runs), repeat(&TOKENS, options.runs));
    measured.extend(lines::serving(&rates, &tokens, FIXED_RATE)?);
    progress("snapshots");
    measured.extend(encoding::snapshot(&repeat(&GROUPS, options.runs))?);
    let groups = GROUPS[GROUPS.len() - 1];
    measured.extend(encoding::changes(&repeat(&CHANGED, options.runs), groups)?);
    report(options, &measured)
}

fn report(options: &CapacityOptions, measured: &[MeasuredLine]) -> Result<(), CommandError> {
    let rows = rows::at_design_size(measured);
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

/// Each size as often as there are runs.
fn repeat(sizes: &[usize], runs: usize) -> Vec<usize> {
    sizes.iter().flat_map(|size| std::iter::repeat_n(*size, runs.max(1))).collect()
}

fn progress(what: &str) {
    eprintln!("measuring {what}");
}
