//! `briartray measure planner`: the planner compared with the naive one under the cost weightings
//! of both customers, and the time and memory of one planning round at the design size.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use briartray_placement::planner::GroupPlanner;
use briartray_placement::replay::{
    HostTrace, PlannerKind, ReplayFleet, ReplayReport, TraceEvent, TraceShape, generate_trace,
    run_trace,
};
use gumdrop::Options;
use serde_json::{Value, json};

use super::super::{CommandError, OutputFormat};

/// Cost weightings of the two customers: name, cost of one group-second of downtime, cost of one
/// stranded accelerator-second.
const WEIGHTINGS: [(&str, f64, f64); 2] =
    [("downtime first", 1000.0, 1.0), ("stranded first", 10.0, 1.0)];

/// Traces that are always replayed.
const SMALL_SHAPES: [TraceShape; 2] = [TraceShape::Parkland, TraceShape::Hollis];

/// Traces that are replayed with `--large`.
const LARGE_SHAPES: [TraceShape; 3] = [TraceShape::Design, TraceShape::Large, TraceShape::Mixed];

/// Timed rounds of each kind.
const TIMED_ROUNDS: u32 = 50;

/// Simulated time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Options)]
pub(super) struct PlannerOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "replay the fleets of 22,000 accelerators too; takes minutes")]
    large: bool,
    #[options(no_short, help = "measure only the time and memory of one round")]
    step: bool,
    #[options(no_short, help = "seed of the traces", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "replays at one time", meta = "N", default = "4")]
    threads: usize,
    #[options(no_short, help = "text or json", meta = "FORMAT")]
    output: OutputFormat,
}

/// One replay, which is one row of the table.
struct TableRow {
    shape: TraceShape,
    weighting: &'static str,
    report: ReplayReport,
}

pub(super) fn run(options: &PlannerOptions) -> Result<(), CommandError> {
    if options.step {
        print_round_costs(options.output);
        return Ok(());
    }
    let mut shapes = SMALL_SHAPES.to_vec();
    if options.large {
        shapes.extend(LARGE_SHAPES);
    }
    let rows = replay_all(&shapes, options.seed, options.threads.clamp(1, 8));
    match options.output {
        OutputFormat::Json => {
            let rows: Vec<Value> = rows
                .iter()
                .map(|row| {
                    let (shape, weighting) = (row.shape, row.weighting);
                    json!({ "shape": shape, "weighting": weighting, "report": row.report })
                })
                .collect();
            println!("{}", json!(rows));
        }
        OutputFormat::Text => print_table(&rows),
    }
    Ok(())
}

fn replay_all(shapes: &[TraceShape], seed: u64, threads: usize) -> Vec<TableRow> {
    let jobs: Vec<(TraceShape, usize, PlannerKind)> = shapes
        .iter()
        .flat_map(|shape| (0..WEIGHTINGS.len()).map(move |weighting| (*shape, weighting)))
        .flat_map(|(shape, weighting)| PlannerKind::ALL.map(|kind| (shape, weighting, kind)))
        .collect();
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, TableRow)>> = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((shape, weighting, kind)) = jobs.get(index).copied() else { return };
                    let row = replay_one(shape, WEIGHTINGS[weighting], kind, seed);
                    if let Ok(mut rows) = done.lock() {
                        rows.push((index, row));
                    }
                }
            });
        }
    });
    let mut rows = done.into_inner().unwrap_or_default();
    rows.sort_by_key(|(index, _)| *index);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn replay_one(
    shape: TraceShape,
    (weighting, downtime, stranded): (&'static str, f64, f64),
    kind: PlannerKind,
    seed: u64,
) -> TableRow {
    let mut trace = generate_trace(shape, seed);
    trace.set_cost_weights(Some(downtime), Some(stranded));
    let started = Instant::now();
    let report = run_trace(&trace, kind, &mut || started.elapsed());
    TableRow { shape, weighting, report }
}

fn print_table(rows: &[TableRow]) {
    println!(
        "| trace | weighting | planner | group-down s | stranded acc-s | weighted | of naive | above bound | of naive |"
    );
    println!("|---|---|---|---:|---:|---:|---:|---:|---:|");
    for runs in rows.chunks(PlannerKind::ALL.len()) {
        let naive = &runs[0].report;
        for row in runs {
            let report = &row.report;
            let above = report.weighted - report.weighted_bound;
            let naive_above = naive.weighted - naive.weighted_bound;
            println!(
                "| {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.3} | {:.0} | {:.3} |",
                format!("{:?}", row.shape).to_lowercase(),
                row.weighting,
                report.planner.as_str(),
                report.total.groups_down,
                report.total.stranded_total(),
                report.weighted,
                report.weighted / naive.weighted,
                above,
                above / naive_above,
            );
        }
        println!(
            "| {} | {} | bound | {:.0} | {:.0} | {:.0} | {:.3} | 0 | 0.000 |",
            format!("{:?}", runs[0].shape).to_lowercase(),
            runs[0].weighting,
            naive.total.bound_down,
            naive.total.bound_stranded,
            naive.weighted_bound,
            naive.weighted_bound / naive.weighted,
        );
    }
}

/// Time and memory of a planning round on one fleet.
struct RoundCost {
    hosts: usize,
    groups: usize,
    /// Median time of a round without changes.
    quiet: Duration,
    /// Median time of a round after the loss of a host.
    loss: Duration,
    view_kb: i64,
    planner_kb: i64,
}

fn print_round_costs(output: OutputFormat) {
    let steps = [TraceShape::Design, TraceShape::Large].map(|shape| (shape, time_rounds(shape)));
    if output == OutputFormat::Text {
        println!(
            "| fleet | hosts | groups | quiet round | round with a loss | fleet view | planner |"
        );
        println!("|---|---:|---:|---:|---:|---:|---:|");
    }
    for (shape, step) in steps {
        let name = format!("{shape:?}").to_lowercase();
        let (quiet, loss) = (step.quiet.as_micros(), step.loss.as_micros());
        match output {
            OutputFormat::Json => println!(
                "{}",
                json!({
                    "fleet": name, "hosts": step.hosts, "groups": step.groups,
                    "quiet_us": quiet as u64, "loss_us": loss as u64,
                    "view_kb": step.view_kb, "planner_kb": step.planner_kb,
                })
            ),
            OutputFormat::Text => println!(
                "| {name} | {} | {} | {quiet} us | {loss} us | {} KB | {} KB |",
                step.hosts, step.groups, step.view_kb, step.planner_kb
            ),
        }
    }
}

/// Times planning rounds on a fleet whose groups are formed, without changes and after the loss of
/// a host.
fn time_rounds(shape: TraceShape) -> RoundCost {
    let trace = generate_trace(shape, 1);
    let before = resident_kb();
    let mut fleet = fleet_at_start(&trace);
    let view_kb = resident_kb() - before;
    let before = resident_kb();
    let mut planner = GroupPlanner::with_preparation();
    form_all_groups(&mut fleet, &mut planner);
    let planner_kb = resident_kb() - before;
    let mut quiet = Vec::new();
    let mut loss = Vec::new();
    let names: Vec<_> = fleet.view().hosts.keys().cloned().collect();
    for round in 0..TIMED_ROUNDS as usize {
        quiet.push(timed_round(&mut fleet, &mut planner));
        let host = names[round * names.len() / TIMED_ROUNDS as usize].clone();
        fleet.apply(&TraceEvent::Lost { host });
        loss.push(timed_round(&mut fleet, &mut planner));
    }
    let (hosts, groups) = (fleet.view().hosts.len(), fleet.view().groups.len());
    let (quiet, loss) = (median(quiet), median(loss));
    RoundCost { hosts, groups, quiet, loss, view_kb, planner_kb }
}

fn fleet_at_start(trace: &HostTrace) -> ReplayFleet {
    let mut fleet = ReplayFleet::new(&trace.header);
    for line in trace.lines.iter().take_while(|line| line.at_ms == 0) {
        fleet.apply(&line.event);
    }
    fleet
}

fn form_all_groups(fleet: &mut ReplayFleet, planner: &mut GroupPlanner) {
    let end = fleet.now().after(Duration::from_secs(400));
    while fleet.now() < end {
        timed_round(fleet, planner);
    }
}

/// Advances the fleet by [`ROUND_INTERVAL`] and plans; returns the time spent in the planner.
fn timed_round(fleet: &mut ReplayFleet, planner: &mut GroupPlanner) -> Duration {
    let end = fleet.now().after(ROUND_INTERVAL);
    while let Some(change) = fleet.next_change().filter(|change| *change < end) {
        fleet.advance(change);
    }
    fleet.advance(end);
    let started = Instant::now();
    let round = planner.step(fleet.now(), fleet.view(), fleet.book());
    let spent = started.elapsed();
    round.actions.iter().for_each(|action| fleet.execute(action));
    spent
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

/// Resident memory of this process; zero where the system does not report it.
fn resident_kb() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
}
