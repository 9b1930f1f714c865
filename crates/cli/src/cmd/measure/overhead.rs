//! `briartray measure overhead`: the same load through entry and agent, and directly to the engine.

use std::time::Duration;

use briartray_standin::load::{LatencySummary, LoadPlan, LoadReport, run_load};
use gumdrop::Options;
use serde_json::json;

use crate::cmd::{CommandError, OutputFormat};
use crate::demo::{DemoFleet, DemoPlan};

/// Longest wait for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Options)]
pub(super) struct OverheadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "requests a second on each path", meta = "N", default = "20")]
    rate: f64,
    #[options(no_short, help = "length in seconds", meta = "N", default = "20")]
    seconds: f64,
    #[options(no_short, help = "tokens of each answer", meta = "N", default = "16")]
    tokens: u32,
    #[options(no_short, help = "time of one engine step", meta = "MS", default = "8")]
    step_ms: u64,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

pub(super) fn run(options: &OverheadOptions) -> Result<(), CommandError> {
    let demo = DemoPlan {
        engines: 2,
        step: Duration::from_millis(options.step_ms),
        ..DemoPlan::default()
    };
    let fleet = DemoFleet::start(&demo).map_err(CommandError::unusable)?;
    if !fleet.wait_until_ready(READY_TIMEOUT) {
        return Err(CommandError::refused("no replica became ready; check the log"));
    }
    let first = fleet.engine_addresses()[0];
    let length = Duration::from_secs_f64(options.seconds);
    let plan = LoadPlan::new(fleet.caller_address())
        .pace(options.rate, length)
        .model("desk", options.tokens)
        .shares(1.0, 0.0);
    let direct_plan = LoadPlan { address: first, seed: 2, ..plan.clone() };
    // Both paths run at the same time, so that other load on the machine affects both equally.
    let direct = std::thread::spawn(move || run_load(&direct_plan, |_, _| {}));
    let via_entry = run_load(&plan, |_, _| {}).map_err(CommandError::refused)?;
    let direct = direct
        .join()
        .map_err(|_| CommandError::refused("the thread of the direct load panicked"))?;
    let direct = direct.map_err(CommandError::refused)?;
    fleet.stop();
    match options.output {
        OutputFormat::Json => println!("{}", json!({ "through": via_entry, "direct": direct })),
        OutputFormat::Text => print_reports(&via_entry, &direct),
    }
    if !(via_entry.is_clean() && direct.is_clean()) {
        return Err(CommandError::refused(
            "an answer was lost, truncated or delivered to the wrong request",
        ));
    }
    Ok(())
}

fn print_reports(via_entry: &LoadReport, direct: &LoadReport) {
    println!("{:<26} {:>8} {:>9} {:>9}", "time in ms", "count", "p50", "p99");
    print_line("first token, direct", &direct.first_token);
    print_line("first token, through", &via_entry.first_token);
    print_line("whole answer, direct", &direct.whole_answer);
    print_line("whole answer, through", &via_entry.whole_answer);
}

fn print_line(name: &str, times: &LatencySummary) {
    println!("{name:<26} {:>8} {:>9.2} {:>9.2}", times.count, times.p50_ms, times.p99_ms);
}
