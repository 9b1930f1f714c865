//! `briartray measure affinity`: time to first token with and without prefix affinity, on
//! two running demo fleets.

use std::time::Duration;

use briartray_standin::load::{LoadPlan, LoadReport, run_load};
use gumdrop::Options;
use serde_json::json;

use crate::cmd::{CommandError, OutputFormat};
use crate::demo::{DemoFleet, DemoPlan};

/// Longest wait for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for every replica to become ready and for the entry to learn of it.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Bytes of each shared prefix: 512 tokens, or 32 blocks of the engine's prefix cache.
const PREFIX_BYTES: usize = 2048;

/// Blocks in each engine's prefix cache: room for a quarter of all prefixes.
const CACHE_BLOCKS: usize = 512;

/// Number of different prefixes that the requests share.
const PREFIX_COUNT: u32 = 64;

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
    // Both fleets run at the same time, so that other load on the machine affects both equally.
    let (with_affinity, without_affinity) = std::thread::scope(|scope| {
        let without_affinity = scope.spawn(|| run_fleet(options, false));
        (run_fleet(options, true), without_affinity.join())
    });
    let without_affinity = without_affinity.map_err(|_| {
        CommandError::refused("the thread of the fleet without affinity panicked")
    })??;
    let with_affinity = with_affinity?;
    match options.output {
        OutputFormat::Json => {
            println!("{}", json!({ "ring": with_affinity, "two_choices": without_affinity }))
        }
        OutputFormat::Text => print_reports(&with_affinity, &without_affinity),
    }
    if !(with_affinity.is_clean() && without_affinity.is_clean()) {
        return Err(CommandError::refused(
            "an answer was lost, truncated or delivered to the wrong request",
        ));
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
    if !fleet.wait_until_ready(READY_TIMEOUT) {
        return Err(CommandError::refused("no replica became ready; check the log"));
    }
    std::thread::sleep(SETTLE_TIME);
    let plan = LoadPlan::new(fleet.caller_address())
        .pace(options.rate, Duration::from_secs_f64(options.seconds))
        .model("desk", 16)
        .shares(1.0, 0.0)
        .prefixes(PREFIX_COUNT, PREFIX_BYTES);
    let report = run_load(&plan, |_, _| {}).map_err(CommandError::refused);
    fleet.stop();
    report
}

fn print_reports(with_affinity: &LoadReport, without_affinity: &LoadReport) {
    println!("{:<22} {:>8} {:>8} {:>8} {:>8}", "first token, ms", "answered", "p50", "p95", "p99");
    for (name, report) in [("prefix ring", with_affinity), ("two choices", without_affinity)] {
        let first = &report.first_token;
        println!(
            "{name:<22} {:>8} {:>8.1} {:>8.1} {:>8.1}",
            report.answered, first.p50_ms, first.p95_ms, first.p99_ms
        );
    }
}
