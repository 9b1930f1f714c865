//! `briartray replay`: replays traces of host events through the planner and the registry, and
//! generates such traces from a seed.

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::time::Instant;

use briartray_placement::accounting::StrandedReason;
use briartray_placement::replay::{
    HostTrace, PlannerKind, ReplayReport, TraceError, TraceShape, generate_small_trace,
    generate_trace, run_trace, search_best_plan,
};
use gumdrop::Options;
use serde_json::json;

use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct ReplayOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "trace file in JSON Lines format")]
    trace: Option<String>,
    #[options(
        no_short,
        help = "generate a trace: parkland, hollis, design, large, mixed or small",
        meta = "SHAPE"
    )]
    generate: Option<String>,
    #[options(no_short, help = "random seed of a generated trace", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "write the trace to this file and replay nothing", meta = "FILE")]
    out: Option<String>,
    #[options(
        no_short,
        help = "compare the planner with an exhaustive search on this many small traces",
        meta = "N"
    )]
    exhaustive: Option<u64>,
    #[options(
        no_short,
        help = "planner to replay with: naive, unprepared or cost; all by default",
        meta = "PLANNER"
    )]
    planner: Option<PlannerKind>,
    #[options(no_short, help = "cost per second of downtime of one group", meta = "W")]
    downtime_weight: Option<f64>,
    #[options(no_short, help = "cost per second of one stranded accelerator", meta = "W")]
    stranded_weight: Option<f64>,
    #[options(no_short, help = "output format: text or json", meta = "FORMAT")]
    output: OutputFormat,
}

pub(super) fn run(options: &ReplayOptions) -> Result<(), CommandError> {
    if let Some(cases) = options.exhaustive {
        compare_with_exhaustive(options.seed, cases);
        return Ok(());
    }
    let mut trace = load(options)?;
    if let Some(path) = &options.out {
        let file = File::create(path).map_err(|error| unusable(path, &error))?;
        return trace.write(BufWriter::new(file)).map_err(CommandError::unusable);
    }
    trace.set_cost_weights(options.downtime_weight, options.stranded_weight);
    let kinds = options.planner.map_or(PlannerKind::ALL.to_vec(), |kind| vec![kind]);
    let reports: Vec<ReplayReport> = kinds.into_iter().map(|kind| replay(&trace, kind)).collect();
    match options.output {
        OutputFormat::Json => println!("{}", json!(reports)),
        OutputFormat::Text => print_reports(&reports),
    }
    // Expected outcomes apply to the cost-based planner; the others are run for comparison.
    let is_judged =
        |report: &&ReplayReport| reports.len() == 1 || report.planner == PlannerKind::Cost;
    match reports.iter().filter(is_judged).find(|report| !report.holds()) {
        Some(report) => Err(CommandError::refused(failures(report))),
        None => Ok(()),
    }
}

/// Numbers of hosts and events in a small trace, and of actions in an exhaustively searched plan.
const SMALL_TRACE_SIZE: (usize, usize, u32) = (6, 3, 3);

fn compare_with_exhaustive(seed: u64, cases: u64) {
    let (hosts, events, actions) = SMALL_TRACE_SIZE;
    let (mut best, mut planned, mut naive, mut worst) = (0.0, 0.0, 0.0, 1.0_f64);
    let mut complete = 0;
    for case in seed..seed + cases {
        let result = search_best_plan(&generate_small_trace(case, hosts, events), actions);
        best += result.best;
        planned += result.planned;
        naive += result.naive;
        worst = worst.max(result.planned / result.best.max(1.0));
        complete += u64::from(result.exhausted);
        if cases == 1 {
            for (when, action) in &result.actions {
                println!("best plan, {:.1} s: {action:?}", when.0 as f64 / 1e6);
            }
        }
    }
    println!("cases {cases}, of which {complete} were searched completely");
    println!("weighted cost: best {best:.0}, planner {planned:.0}, naive {naive:.0}");
    println!("planner over best: {:.3} in all, {worst:.3} at worst", planned / best);
    println!("naive over best: {:.3} in all", naive / best);
}

fn load(options: &ReplayOptions) -> Result<HostTrace, CommandError> {
    match (&options.trace, options.generate.as_deref()) {
        (Some(path), None) => {
            let file = File::open(path).map_err(|error| unusable(path, &error))?;
            HostTrace::read(BufReader::new(file))
                .map_err(|error: TraceError| CommandError::unusable(format!("{path}: {error}")))
        }
        (None, Some("small")) => {
            Ok(generate_small_trace(options.seed, SMALL_TRACE_SIZE.0, SMALL_TRACE_SIZE.1))
        }
        (None, Some(shape)) => {
            let shape: TraceShape = shape.parse().map_err(CommandError::unusable)?;
            Ok(generate_trace(shape, options.seed))
        }
        _ => Err(CommandError::unusable("give either a trace file or a shape with --generate")),
    }
}

fn unusable(path: &str, error: &std::io::Error) -> CommandError {
    CommandError::unusable(format!("{path}: {error}; check the path"))
}

/// Replays `trace`, measuring planning time by the wall clock.
pub(super) fn replay(trace: &HostTrace, kind: PlannerKind) -> ReplayReport {
    let started = Instant::now();
    run_trace(trace, kind, &mut || started.elapsed())
}

fn print_reports(reports: &[ReplayReport]) {
    println!(
        "{:<10} {:>14} {:>18} {:>16} {:>16} {:>8} {:>8} {:>9} {:>8}",
        "planner",
        "group-down s",
        "stranded acc-s",
        "weighted",
        "bound",
        "formed",
        "replaced",
        "dissolved",
        "rounds"
    );
    for report in reports {
        println!(
            "{:<10} {:>14.0} {:>18.0} {:>16.0} {:>16.0} {:>8} {:>8} {:>9} {:>8}",
            report.planner.as_str(),
            report.total.groups_down,
            report.total.stranded_total(),
            report.weighted,
            report.weighted_bound,
            report.formed,
            report.replaced,
            report.dissolved,
            report.rounds
        );
    }
    for report in reports {
        let planner = report.planner.as_str();
        println!("\n{planner}: stranded accelerator-seconds by reason");
        for (reason, seconds) in StrandedReason::ALL.iter().zip(report.total.stranded) {
            println!("  {:<16} {seconds:>16.0}", reason.as_str());
        }
        for (reason, count) in &report.decisions {
            println!("  decided {:<18} {count:>6} times", format!("{reason:?}"));
        }
        let mean = report.planning_seconds * 1000.0 / report.rounds.max(1) as f64;
        let longest = report.longest_round_seconds * 1000.0;
        println!("  planning {mean:.3} ms a round, {longest:.3} ms at most");
    }
}

fn failures(report: &ReplayReport) -> String {
    let failed = report.outcomes.iter().filter(|outcome| !outcome.held).map(|outcome| {
        let stated = json!(outcome.stated);
        format!("at {} ms: expected {stated}, measured {}", outcome.at_ms, outcome.measured)
    });
    let texts: Vec<String> = failed.chain(report.violations.iter().cloned()).collect();
    format!("{} outcomes or invariants failed: {}", texts.len(), texts.join("; "))
}
