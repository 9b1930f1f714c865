//! `briartray measure overload`: useful answers as the load rises past the capacity of the
//! replicas.
//!
//! Two fleets run at the same time under the same load, one with admission control and one that
//! forwards every request, so that other load on the machine affects both equally.

use std::net::SocketAddr;
use std::time::Duration;

use briartray_model::plain_value;
use briartray_standin::load::{LoadPlan, LoadReport, run_load};
use gumdrop::Options;
use serde_json::json;

use crate::cmd::{CommandError, OutputFormat};
use crate::demo::{DemoFleet, DemoPlan};

/// Longest wait for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Loads, as multiples of the capacity of the replicas.
const LOAD_MULTIPLES: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 4.0];

/// Load of the small team, as a share of the capacity of the replicas.
const SMALL_TEAM_SHARE: f64 = 0.1;

/// Deadline of every request.
const DEADLINE_MS: u32 = 2000;

/// Number of slots or queue places too large to be reached.
const NO_LIMIT: u32 = 100_000;

/// Wait for all replicas to become ready, and after each load for its last requests to end.
const SETTLE_TIME: Duration = Duration::from_secs(3);

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
    /// Results of one team under one load.
    struct TeamRow {
        offered: f64,
        /// Requests per second that were answered before the deadline.
        useful: f64,
        first_p50_ms: f64,
        first_p99_ms: f64,
        refused: u64,
        /// Requests that ended with a passed deadline or a broken stream.
        late: u64,
        lost: u64,
    }

    /// Results of one load on one fleet.
    struct LoadRow {
        multiple: f64,
        admission: bool,
        large: TeamRow,
        small: TeamRow,
        clean: bool,
    }
}

pub(super) fn run(options: &OverloadOptions) -> Result<(), CommandError> {
    let capacity = replica_capacity(options);
    let (with_admission, without_admission) = std::thread::scope(|scope| {
        let without_admission = scope.spawn(|| run_fleet(options, capacity, false));
        let with_admission = run_fleet(options, capacity, true);
        (with_admission, without_admission.join())
    });
    let without_admission = without_admission.map_err(|_| {
        CommandError::refused("the thread of the fleet without admission control panicked")
    })?;
    let rows: Vec<LoadRow> = with_admission?.into_iter().chain(without_admission?).collect();
    match options.output {
        OutputFormat::Json => println!("{}", json!({ "capacity": capacity, "rows": rows })),
        OutputFormat::Text => print_rows(capacity, &rows),
    }
    if !rows.iter().all(|row| row.clean || !row.admission) {
        return Err(CommandError::refused(
            "an answer was lost, truncated or delivered to the wrong request",
        ));
    }
    Ok(())
}

/// Requests per second that the two replicas can answer.
fn replica_capacity(options: &OverloadOptions) -> f64 {
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
        rules: rule_document(if admission { options.slots } else { NO_LIMIT }, admission),
        ..DemoPlan::default()
    };
    let fleet = DemoFleet::start(&demo).map_err(CommandError::unusable)?;
    if !fleet.wait_until_ready(READY_TIMEOUT) {
        return Err(CommandError::refused("no replica became ready; check the log"));
    }
    // Unless both replicas are ready, only half the capacity is measured.
    std::thread::sleep(SETTLE_TIME);
    let mut rows = Vec::new();
    for multiple in LOAD_MULTIPLES {
        let large = (multiple - SMALL_TEAM_SHARE) * capacity;
        let small = SMALL_TEAM_SHARE * capacity;
        let address = fleet.caller_address();
        let engines = fleet.engine_addresses();
        let (large, small) = std::thread::scope(|scope| {
            let large = scope.spawn(|| run_team_load(options, address, &engines, "large", large));
            let small = run_team_load(options, address, &engines, "small", small);
            (large.join(), small)
        });
        let large = large
            .map_err(|_| CommandError::refused("the thread of the large team's load panicked"))??;
        let small = small?;
        let clean = large.is_clean() && small.is_clean();
        let (large, small) = (team_row(options, &large), team_row(options, &small));
        rows.push(LoadRow { multiple, admission, large, small, clean });
        std::thread::sleep(SETTLE_TIME);
    }
    fleet.stop();
    Ok(rows)
}

fn run_team_load(
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
    let is_late = |code: &str| code == "deadline_passed" || code.starts_with("stream_");
    let count = |wanted: bool| {
        let ended = report.outcomes.iter().filter(|outcome| outcome.code != "answered");
        ended.filter(|outcome| is_late(&outcome.code) == wanted).map(|outcome| outcome.count).sum()
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

fn rule_document(slots: u32, admission: bool) -> String {
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
