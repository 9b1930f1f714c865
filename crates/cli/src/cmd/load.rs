//! `briartray load`: puts open-loop load on an entry and checks every answer.

use std::io::{IsTerminal, stderr};
use std::net::SocketAddr;
use std::time::Duration;

use briartray_standin::load::{LatencySummary, LoadPlan, LoadReport, run_load};
use gumdrop::Options;

use super::{CommandError, OutputFormat};

#[derive(Debug, Options)]
pub(super) struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "address of the entry",
        meta = "ADDRESS",
        default = "127.0.0.1:8080"
    )]
    address: SocketAddr,
    #[options(no_short, help = "requests per second", meta = "N", default = "50")]
    rate: f64,
    #[options(
        no_short,
        help = "seconds during which requests are started",
        meta = "N",
        default = "10"
    )]
    seconds: f64,
    #[options(no_short, help = "random seed of the schedule", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "model to request", meta = "NAME", default = "desk")]
    model: String,
    #[options(no_short, help = "tokens per answer", meta = "N", default = "16")]
    tokens: u32,
    #[options(no_short, help = "team that requests come from; repeatable", meta = "NAME")]
    team: Vec<String>,
    #[options(
        no_short,
        help = "share of streaming requests, 0 to 1",
        meta = "SHARE",
        default = "0.5"
    )]
    stream_share: f64,
    #[options(
        no_short,
        help = "share of requests with an Idempotency-Key",
        meta = "SHARE",
        default = "0"
    )]
    keyed_share: f64,
    #[options(
        no_short,
        help = "number of prompt prefixes shared among requests",
        meta = "N",
        default = "8"
    )]
    prefixes: u32,
    #[options(no_short, help = "size of each shared prefix in bytes", meta = "N", default = "512")]
    prefix_bytes: usize,
    #[options(no_short, help = "plain service that gets a share of the calls", meta = "NAME")]
    service: Option<String>,
    #[options(
        no_short,
        help = "share of calls to the plain service",
        meta = "SHARE",
        default = "0.1"
    )]
    service_share: f64,
    #[options(no_short, help = "time limit for an answer in seconds", meta = "N", default = "60")]
    timeout: f64,
    #[options(no_short, help = "maximum number of open requests", meta = "N", default = "4000")]
    max_open: usize,
    #[options(
        no_short,
        help = "stand-in whose run log is compared with the answers; repeatable",
        meta = "ADDRESS"
    )]
    stand_in: Vec<SocketAddr>,
    #[options(no_short, help = "output format: text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

pub(super) fn run(options: &LoadOptions) -> Result<(), CommandError> {
    check_options(options)?;
    let plan = build_plan(options);
    let terminal = stderr().is_terminal();
    let progress = |sent: u64, ended: u64| {
        if terminal {
            eprint!("\rsent {sent}  ended {ended}  open {}   ", sent.saturating_sub(ended));
        }
    };
    let report = run_load(&plan, progress).map_err(CommandError::unusable)?;
    if terminal {
        eprintln!();
    }
    match options.output {
        OutputFormat::Json => println!("{}", serde_json::json!(report)),
        OutputFormat::Text => print_report(&report),
    }
    if !report.is_clean() {
        let message = "requests were lost, repeated, crossed or cut short; see the counts";
        return Err(CommandError::refused(message));
    }
    Ok(())
}

fn check_options(options: &LoadOptions) -> Result<(), CommandError> {
    let shares = [options.stream_share, options.keyed_share, options.service_share];
    if shares.iter().any(|share| !(0.0..=1.0).contains(share)) {
        return Err(CommandError::unusable("a share must be between 0 and 1"));
    }
    if !(options.rate > 0.0 && options.rate <= 100_000.0) {
        return Err(CommandError::unusable("--rate must be above 0 and at most 100000"));
    }
    if !(options.seconds > 0.0 && options.seconds <= 86_400.0) {
        return Err(CommandError::unusable("--seconds must be above 0 and at most 86400"));
    }
    if !(options.timeout > 0.0 && options.timeout <= 3_600.0) {
        return Err(CommandError::unusable("--timeout must be above 0 and at most 3600"));
    }
    Ok(())
}

fn build_plan(options: &LoadOptions) -> LoadPlan {
    let teams: Vec<&str> = options.team.iter().map(String::as_str).collect();
    let plan = LoadPlan::new(options.address)
        .pace(options.rate, Duration::from_secs_f64(options.seconds))
        .seed(options.seed)
        .model(&options.model, options.tokens)
        .teams(&teams)
        .shares(options.stream_share, options.keyed_share)
        .prefixes(options.prefixes, options.prefix_bytes)
        .bounds(Duration::from_secs_f64(options.timeout), options.max_open)
        .stand_ins(&options.stand_in);
    match &options.service {
        Some(service) => plan.service(service, options.service_share),
        None => plan,
    }
}

fn print_report(report: &LoadReport) {
    println!(
        "sent {}  answered {}  lost {}  crossed {}  short {}  repeated {}  not sent {}",
        report.sent,
        report.answered,
        report.lost,
        report.crossed,
        report.short,
        report.repeated,
        report.not_sent
    );
    for outcome in &report.outcomes {
        println!("  {:<24} {}", outcome.code, outcome.count);
    }
    println!(
        "{:<14} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "time in ms", "count", "p50", "p95", "p99", "max"
    );
    print_times("first token", &report.first_token);
    print_times("inter token", &report.inter_token);
    print_times("whole answer", &report.whole_answer);
    print_times("start delay", &report.start_delay);
    println!("most open {}  seconds {:.1}", report.most_open, report.seconds);
    if let Some(audit) = &report.audit {
        println!(
            "run logs: runs {}  doubled {}  repeated without key {}  ran though told not {}  \
             answered though not run {}",
            audit.runs, audit.doubled, audit.repeated_runs, audit.ran_untold, audit.answered_unrun
        );
    }
}

fn print_times(name: &str, times: &LatencySummary) {
    println!(
        "{name:<14} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
        times.count, times.p50_ms, times.p95_ms, times.p99_ms, times.max_ms
    );
}
