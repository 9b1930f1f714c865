//! `briartray measure affinity`: first tokens with and without prefix affinity on real fleets.

use std::time::Duration;

use briartray_standin::load::{LoadPlan, LoadReport, run_load};
use gumdrop::Options;
use serde_json::json;

use crate::cmd::{CommandError, OutputFormat};
use crate::demo::{DemoFleet, DemoPlan};

/// How long the fleet may take to be ready.
const READY_WAIT: Duration = Duration::from_secs(30);

/// Time in which every replica becomes whole and is known to the entry.
const SETTLE: Duration = Duration::from_secs(3);

/// Bytes of each shared prefix: 512 tokens, or 32 blocks of the engine's cache.
const PREFIX_BYTES: usize = 2048;

/// Blocks in each engine's cache: a quarter of all prefixes.
const CACHE_BLOCKS: usize = 512;

/// Prefixes shared among the requests.
const PREFIXES: u32 = 64;

#[derive(Debug, Options)]
pub(super) struct AffinityOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "requests a second on each fleet", meta = "N", default = "80")]
    rate: f64,
    #[options(no_short, help = "length in seconds", meta = "N", default = "15")]
    seconds: f64,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

pub(super) fn run(options: &AffinityOptions) -> Result<(), CommandError> {
    // Both fleets run at the same time, so that whatever else the machine does falls on both.
    let (with, without) = std::thread::scope(|scope| {
        let without = scope.spawn(|| run_fleet(options, false));
        (run_fleet(options, true), without.join())
    });
    let without = without.map_err(|_| CommandError::refused("the second fleet failed"))??;
    let with = with?;
    match options.output {
        OutputFormat::Json => println!("{}", json!({ "ring": with, "two_choices": without })),
        OutputFormat::Text => print_both(&with, &without),
    }
    if !(with.is_clean() && without.is_clean()) {
        return Err(CommandError::refused("an answer was lost, crossed or cut short"));
    }
    Ok(())
}

fn run_fleet(options: &AffinityOptions, affinity: bool) -> Result<LoadReport, CommandError> {
    let demo = DemoPlan {
        engines: 8,
        services: 0,
        cache_blocks: CACHE_BLOCKS,
        rules: format!(
            "services:\n  - name: desk\n    replicas: 8\n    capacity: 64\nrules:\n  - rule: \
             everyone\n    then:\n      route: {{ prefix_affinity: {affinity} }}\n"
        ),
        ..DemoPlan::default()
    };
    let fleet = DemoFleet::start(&demo).map_err(CommandError::unusable)?;
    if !fleet.wait_until_ready(READY_WAIT) {
        return Err(CommandError::refused("no replica became whole; look at the log"));
    }
    std::thread::sleep(SETTLE);
    let plan = LoadPlan::new(fleet.caller_address())
        .pace(options.rate, Duration::from_secs_f64(options.seconds))
        .model("desk", 16)
        .shares(1.0, 0.0)
        .prefixes(PREFIXES, PREFIX_BYTES);
    let report = run_load(&plan, |_, _| {}).map_err(CommandError::refused);
    fleet.stop();
    report
}

fn print_both(with: &LoadReport, without: &LoadReport) {
    println!("{:<22} {:>8} {:>8} {:>8} {:>8}", "first token, ms", "answered", "p50", "p95", "p99");
    for (name, report) in [("prefix ring", with), ("two choices", without)] {
        let first = &report.first_token;
        println!(
            "{name:<22} {:>8} {:>8.1} {:>8.1} {:>8.1}",
            report.answered, first.p50_ms, first.p95_ms, first.p99_ms
        );
    }
}
