//! `briartray measure overload`: useful answers as the load rises over what the replicas can do.
//!
//! Two fleets run at the same time under the same load, one with admission and one that hands
//! everything on, so that whatever else the machine does falls on both.

use std::net::SocketAddr;
use std::time::Duration;

use briartray_model::plain_value;
use briartray_standin::load::{LoadPlan, LoadReport, run_load};
use gumdrop::Options;
use serde_json::json;

use crate::cmd::{CommandError, OutputFormat};
use crate::demo::{DemoFleet, DemoPlan};

/// How long the fleet may take to be ready.
const READY_WAIT: Duration = Duration::from_secs(30);

/// Loads, as multiples of what the replicas can do.
const MULTIPLES: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 4.0];

/// Load of the small team, as a part of what the replicas can do.
const SMALL_SHARE: f64 = 0.1;

/// Time that callers give their requests.
const DEADLINE_MS: u32 = 2000;

/// Slots that stand for no limit at all.
const NO_LIMIT: u32 = 100_000;

/// Time between two loads, in which what is left of the first ends.
const PAUSE: Duration = Duration::from_secs(3);

#[derive(Debug, Options)]
pub(super) struct OverloadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "length of each load in seconds", meta = "N", default = "6")]
    seconds: f64,
    #[options(
        no_short,
        help = "requests that one replica runs at a time",
        meta = "N",
        default = "8"
    )]
    slots: u32,
    #[options(no_short, help = "tokens of each answer", meta = "N", default = "32")]
    tokens: u32,
    #[options(no_short, help = "time of one engine step", meta = "MS", default = "10")]
    step_ms: u64,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

plain_value! {
    /// What one team got under one load.
    struct TeamRow {
        offered: f64,
        /// Answered before the deadline, per second.
        useful: f64,
        first_p50_ms: f64,
        first_p99_ms: f64,
        refused: u64,
        /// Told that the deadline passed, or cut.
        late: u64,
        lost: u64,
    }

    /// One load on one fleet.
    struct LoadRow {
        multiple: f64,
        admission: bool,
        large: TeamRow,
        small: TeamRow,
        clean: bool,
    }
}

pub(super) fn run(options: &OverloadOptions) -> Result<(), CommandError> {
    let capacity = full_rate(options);
    let (ours, naive) = std::thread::scope(|scope| {
        let naive = scope.spawn(|| run_fleet(options, capacity, false));
        let ours = run_fleet(options, capacity, true);
        (ours, naive.join())
    });
    let naive = naive.map_err(|_| CommandError::refused("the load without admission failed"))?;
    let rows: Vec<LoadRow> = ours?.into_iter().chain(naive?).collect();
    match options.output {
        OutputFormat::Json => println!("{}", json!({ "capacity": capacity, "rows": rows })),
        OutputFormat::Text => print_rows(capacity, &rows),
    }
    if !rows.iter().all(|row| row.clean || !row.admission) {
        return Err(CommandError::refused("an answer was lost, crossed or cut short"));
    }
    Ok(())
}

/// Requests a second that two replicas can answer.
fn full_rate(options: &OverloadOptions) -> f64 {
    let answer_ms = f64::from(options.tokens) * options.step_ms as f64;
    2.0 * f64::from(options.slots) * 1000.0 / answer_ms
}

fn run_fleet(
    options: &OverloadOptions,
    capacity: f64,
    admission: bool,
) -> Result<Vec<LoadRow>, CommandError> {
    let demo = DemoPlan {
        engines: 4,
        services: 0,
        batch: options.slots as usize,
        step: Duration::from_millis(options.step_ms),
        rules: rules(if admission { options.slots } else { NO_LIMIT }, admission),
        ..DemoPlan::default()
    };
    let fleet = DemoFleet::start(&demo).map_err(CommandError::unusable)?;
    if !fleet.wait_until_ready(READY_WAIT) {
        return Err(CommandError::refused("no replica became whole; look at the log"));
    }
    // Both replicas must be whole, or half the capacity is measured.
    std::thread::sleep(PAUSE);
    let mut rows = Vec::new();
    for multiple in MULTIPLES {
        let large = (multiple - SMALL_SHARE) * capacity;
        let small = SMALL_SHARE * capacity;
        let address = fleet.caller_address();
        let engines = fleet.engine_addresses();
        let (large, small) = std::thread::scope(|scope| {
            let large = scope.spawn(|| send(options, address, &engines, "large", large));
            let small = send(options, address, &engines, "small", small);
            (large.join(), small)
        });
        let large = large.map_err(|_| CommandError::refused("the large team's load failed"))??;
        let small = small?;
        let clean = large.is_clean() && small.is_clean();
        let (large, small) = (team_row(options, &large), team_row(options, &small));
        rows.push(LoadRow { multiple, admission, large, small, clean });
        std::thread::sleep(PAUSE);
    }
    fleet.stop();
    Ok(rows)
}

fn send(
    options: &OverloadOptions,
    address: SocketAddr,
    engines: &[SocketAddr],
    team: &str,
    rate: f64,
) -> Result<LoadReport, CommandError> {
    let plan = LoadPlan::new(address)
        .pace(rate, Duration::from_secs_f64(options.seconds))
        .model("desk", options.tokens)
        .teams(&[team])
        .shares(1.0, 0.0)
        .stand_ins(engines);
    run_load(&plan, |_, _| {}).map_err(CommandError::refused)
}

fn team_row(options: &OverloadOptions, report: &LoadReport) -> TeamRow {
    let late = |code: &str| code == "deadline_passed" || code.starts_with("stream_");
    let count = |wanted: bool| {
        let ended = report.outcomes.iter().filter(|outcome| outcome.code != "answered");
        ended.filter(|outcome| late(&outcome.code) == wanted).map(|outcome| outcome.count).sum()
    };
    TeamRow {
        offered: report.sent as f64 / options.seconds,
        useful: report.answered as f64 / options.seconds,
        first_p50_ms: report.first_token.p50_ms,
        first_p99_ms: report.first_token.p99_ms,
        refused: count(false),
        late: count(true),
        lost: report.lost,
    }
}

fn rules(slots: u32, admission: bool) -> String {
    let queue = if admission { 256 } else { NO_LIMIT };
    format!(
        "services:\n  - name: desk\n    kind: engine\n    hosts_per_replica: 2\n    replicas: 2\n    \
         capacity: {slots}\nteams:\n  - name: large\n  - name: small\nrules:\n  - rule: everyone\n    \
         then:\n      admit: {{ deadline_ms: {DEADLINE_MS}, queue: {queue} }}\n"
    )
}

fn print_rows(capacity: f64, rows: &[LoadRow]) {
    println!(
        "replicas can answer {capacity:.1} requests/s; deadline {DEADLINE_MS} ms; per second:"
    );
    println!(
        "{:<12} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>6} {:>6}",
        "",
        "load",
        "offered",
        "useful",
        "large",
        "small",
        "small %",
        "p50 ms",
        "p99 ms",
        "refused",
        "late",
        "lost"
    );
    for row in rows {
        let (large, small) = (&row.large, &row.small);
        println!(
            "{:<12} {:>5.1} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>9.0} {:>9.0} {:>8} {:>6} {:>6}",
            if row.admission { "admission" } else { "none" },
            row.multiple,
            large.offered + small.offered,
            large.useful + small.useful,
            large.useful,
            small.useful,
            100.0 * small.useful / small.offered.max(f64::MIN_POSITIVE),
            small.first_p50_ms,
            small.first_p99_ms,
            large.refused + small.refused,
            large.late + small.late,
            large.lost + small.lost,
        );
    }
}
