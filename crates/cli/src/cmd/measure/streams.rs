//! `briartray measure streams`: memory and processor time that open streams cost the entry and the
//! agents, each run as a process of its own.

use std::path::PathBuf;
use std::time::Duration;

use briartray_model::plain_value;
use briartray_standin::load::{LoadPlan, run_load};
use gumdrop::Options;
use serde_json::json;

use super::capacity::usage::{ProcessUsage, read_usage};
use crate::cmd::{CommandError, OutputFormat};
use crate::trial::{ProcessFleet, TrialPlan};

/// Engines over which the streams are distributed.
const ENGINES: usize = 4;

/// Time over which all streams are opened.
const OPENING_TIME: Duration = Duration::from_secs(4);

/// Time of one engine step: slow, so that the cost of open streams outweighs that of their tokens.
const ENGINE_STEP: Duration = Duration::from_millis(100);

/// Tokens of each stream, one a step: enough that the last stream opens before the first one ends.
const STREAM_TOKENS: u32 = 100;

#[derive(Debug, Options)]
pub(super) struct StreamsOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "streams open at one time", meta = "N", default = "1000")]
    streams: u32,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

plain_value! {
    /// Cost of the streams for all processes of one role.
    struct StreamCost {
        role: String,
        idle_kb: u64,
        peak_kb: u64,
        kb_per_stream: f64,
        cpu_seconds: f64,
    }
}

/// Usage of all processes of one role: before the streams, and the peak of their memory.
struct RoleUsage {
    role: &'static str,
    processes: Vec<u32>,
    idle: ProcessUsage,
    peak_bytes: u64,
}

impl RoleUsage {
    fn new(role: &'static str, processes: Vec<u32>) -> Self {
        let idle = total_usage(&processes);
        Self { role, processes, idle, peak_bytes: idle.resident_bytes }
    }

    fn sample_memory(&mut self) {
        self.peak_bytes = self.peak_bytes.max(total_usage(&self.processes).resident_bytes);
    }

    fn cost(&self, streams: u64) -> StreamCost {
        let grown = self.peak_bytes.saturating_sub(self.idle.resident_bytes);
        let used = total_usage(&self.processes).cpu.saturating_sub(self.idle.cpu);
        StreamCost {
            role: self.role.to_owned(),
            idle_kb: self.idle.resident_bytes / 1024,
            peak_kb: self.peak_bytes / 1024,
            kb_per_stream: grown as f64 / 1024.0 / streams.max(1) as f64,
            cpu_seconds: used.as_secs_f64(),
        }
    }
}

fn total_usage(processes: &[u32]) -> ProcessUsage {
    let mut sum = ProcessUsage::default();
    for usage in processes.iter().filter_map(|id| read_usage(*id)) {
        sum.cpu += usage.cpu;
        sum.resident_bytes += usage.resident_bytes;
    }
    sum
}

pub(super) fn run(options: &StreamsOptions) -> Result<(), CommandError> {
    let fleet = start_fleet(options.streams)?;
    let address = fleet.entry_addresses()[0];
    // The first requests include one-time setup in every process, so they are not measured.
    let warm = LoadPlan::new(address).pace(40.0, Duration::from_secs(1)).model("desk", 2);
    run_load(&warm, |_, _| {}).map_err(CommandError::refused)?;
    let agents = fleet.agents.iter().map(|agent| agent.agent.id()).collect();
    let mut entry = RoleUsage::new("entry", vec![fleet.entries[0].id()]);
    let mut agents = RoleUsage::new("agents", agents);
    let plan = LoadPlan::new(address)
        .pace(f64::from(options.streams) / OPENING_TIME.as_secs_f64(), OPENING_TIME)
        .model("desk", STREAM_TOKENS)
        .shares(1.0, 0.0);
    let report = run_load(&plan, |_, _| {
        entry.sample_memory();
        agents.sample_memory();
    });
    let report = report.map_err(CommandError::refused)?;
    let costs = [entry.cost(report.most_open), agents.cost(report.most_open)];
    match options.output {
        OutputFormat::Json => println!("{}", json!({ "load": report, "costs": costs })),
        OutputFormat::Text => {
            println!(
                "open at most {}, answered {} of {}",
                report.most_open, report.answered, report.sent
            );
            print_costs(&costs);
        }
    }
    if report.answered == report.sent && report.is_clean() {
        return Ok(());
    }
    Err(CommandError::refused("a stream was not answered; the figures are not valid"))
}

fn start_fleet(streams: u32) -> Result<ProcessFleet, CommandError> {
    let program = std::env::current_exe().map_err(CommandError::unusable)?;
    let programs = program.parent().map(PathBuf::from).unwrap_or_default();
    let document = format!(
        "services: [{{ name: desk, hosts_per_replica: 1, replicas: {ENGINES}, capacity: {streams} }}]\n\
         teams: [{{ name: default }}]\n\
         rules:\n  - rule: everyone\n    then: {{ admit: {{}}, retry: {{}}, place: {{}} }}\n"
    );
    let plan =
        TrialPlan::new(&programs).endpoints(ENGINES, 0).engine_step(ENGINE_STEP).rules(&document);
    ProcessFleet::start(&plan).map_err(CommandError::refused)
}

fn print_costs(costs: &[StreamCost]) {
    println!(
        "{:<8} {:>10} {:>10} {:>14} {:>12}",
        "role", "idle KB", "peak KB", "KB per stream", "CPU seconds"
    );
    for cost in costs {
        println!(
            "{:<8} {:>10} {:>10} {:>14.1} {:>12.2}",
            cost.role, cost.idle_kb, cost.peak_kb, cost.kb_per_stream, cost.cpu_seconds
        );
    }
}
