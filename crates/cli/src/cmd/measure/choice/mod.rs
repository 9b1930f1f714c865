//! `briartray measure choice`: policies for choosing a replica, compared under the same seeded
//! load.
//!
//! Each policy runs against a small model of the replicas in simulated time, in one thread and
//! without network traffic.

mod model;
mod policy;
mod replica;

use std::hint::black_box;
use std::time::Instant;

use briartray_model::TimePoint;
use briartray_model::rules::RouteAction;
use briartray_routing::choice::{AttemptResult, ChoiceOutcome, ChoiceRequest, PrefixDigest};
use gumdrop::Options;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use self::model::{ModelPlan, ModelResult, run_model};
use self::policy::PolicyKind;
use crate::cmd::{CommandError, OutputFormat};

/// Choices over which the mean time of one is taken.
const TIMED_CHOICES: u32 = 200_000;

/// Policies that run concurrently.
const PARALLEL_POLICIES: usize = 4;

#[derive(Debug, Options)]
pub(super) struct ChoiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "today, design or both", meta = "SIZE", default = "both")]
    size: String,
    #[options(no_short, help = "seed of load and choices", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "load in percent of capacity", meta = "N", default = "60")]
    load_percent: u32,
    #[options(no_short, help = "policies whose name holds this text", meta = "TEXT")]
    only: Option<String>,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

pub(super) fn run(options: &ChoiceOptions) -> Result<(), CommandError> {
    let plans: Vec<ModelPlan> = match options.size.as_str() {
        "today" => vec![ModelPlan::current_size()],
        "design" => vec![ModelPlan::design_size()],
        "both" => vec![ModelPlan::current_size(), ModelPlan::design_size()],
        _ => return Err(CommandError::unusable("--size must be today, design or both")),
    };
    let mut tables = Vec::new();
    for plan in &plans {
        let plan = plan.at_load(f64::from(options.load_percent) / 100.0);
        let only = options.only.as_deref().unwrap_or_default();
        let rows = run_policies(&plan, only, options.seed);
        let cost = time_choice(&plan);
        if options.output == OutputFormat::Text {
            print_table(&plan, &rows, cost);
        }
        let rows: Vec<_> =
            rows.iter().map(|(name, row)| json!({ "policy": name, "result": row })).collect();
        tables.push(json!({ "replicas": plan.replicas, "micros": cost, "rows": rows }));
    }
    if options.output == OutputFormat::Json {
        println!("{}", json!(tables));
    }
    Ok(())
}

/// Runs each policy on a thread of its own, a few at a time; the runs share no state.
fn run_policies(plan: &ModelPlan, only: &str, seed: u64) -> Vec<(&'static str, ModelResult)> {
    let chosen: Vec<PolicyKind> =
        PolicyKind::ALL.into_iter().filter(|kind| kind.name().contains(only)).collect();
    let mut rows = Vec::new();
    for batch in chosen.chunks(PARALLEL_POLICIES) {
        std::thread::scope(|scope| {
            let runs: Vec<_> = batch
                .iter()
                .map(|kind| (kind.name(), scope.spawn(|| run_model(plan, *kind, seed))))
                .collect();
            for (name, run) in runs {
                rows.push((name, run.join().expect("the model does not panic")));
            }
        });
    }
    rows
}

fn print_table(plan: &ModelPlan, rows: &[(&str, ModelResult)], cost: f64) {
    println!(
        "{} replicas, {} entries, {} zones, {:.0} requests/s, {} prefixes; one choice {cost:.2} us",
        plan.replicas, plan.entries, plan.zones, plan.rate, plan.prefixes
    );
    println!(
        "{:<24} {:>8} {:>8} {:>8} {:>7} {:>9} {:>9}",
        "first token, ms", "p50", "p95", "p99", "hits %", "own zone %", "answered"
    );
    for (name, row) in rows {
        println!(
            "{name:<24} {:>8.1} {:>8.1} {:>8.1} {:>7.1} {:>9.1} {:>9}",
            row.p50_ms, row.p95_ms, row.p99_ms, row.hit_percent, row.own_zone_percent, row.answered
        );
    }
    println!();
}

/// Mean time of one choice and its release, in microseconds.
fn time_choice(plan: &ModelPlan) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let route = RouteAction::default();
    let mut table = policy::make_table(plan, 0);
    let started = Instant::now();
    for number in 0..TIMED_CHOICES {
        let now = TimePoint(u64::from(number) * 100);
        let prefix = Some(PrefixDigest(random.random()));
        let request = ChoiceRequest { service: "desk", route: &route, prefix, excluded: &[] };
        if let ChoiceOutcome::Chosen(record) = black_box(table.choose(now, &request, &mut random)) {
            let result = AttemptResult::Answered;
            table.release(now, record.group, result, None, &mut random);
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_CHOICES)
}
