//! `briartray demo`: runs a complete fleet on loopback in this process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use briartray_node::logs;
use gumdrop::Options;
use signal_hook::consts::{SIGINT, SIGTERM};

use super::CommandError;
use crate::demo::{DemoFleet, DemoPlan};

/// Interval between checks for a signal or the end of the time limit.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Options)]
pub(super) struct DemoOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "listening address for callers",
        meta = "ADDRESS",
        default = "127.0.0.1:8080"
    )]
    listen: SocketAddr,
    #[options(
        no_short,
        help = "listening address for operators",
        meta = "ADDRESS",
        default = "127.0.0.1:8081"
    )]
    operator: SocketAddr,
    #[options(no_short, help = "exit after this many seconds", meta = "N")]
    seconds: Option<u64>,
    #[options(
        no_short,
        help = "folder for durable state; a temporary folder by default",
        meta = "FOLDER"
    )]
    data_folder: Option<PathBuf>,
    #[options(no_short, help = "file that trace spans are appended to", meta = "FILE")]
    trace_file: Option<PathBuf>,
    #[options(no_short, help = "least severe log level", meta = "LEVEL", default = "warn")]
    log_level: String,
}

pub(super) fn run(options: &DemoOptions) -> Result<(), CommandError> {
    logs::start(&options.log_level);
    let plan = DemoPlan {
        listen: options.listen,
        operator: options.operator,
        data_folder: options.data_folder.clone(),
        trace_file: options.trace_file.clone(),
        ..DemoPlan::default()
    };
    let fleet = DemoFleet::start(&plan).map_err(CommandError::unusable)?;
    if !fleet.wait_until_ready(READY_TIMEOUT) {
        let in_time = "the fleet did not become ready in time; see the log";
        return Err(CommandError::refused(fleet.failure().unwrap_or(in_time)));
    }
    let address = fleet.caller_address();
    println!("callers    http://{address}");
    println!("operators  http://{}", fleet.operator_address());
    println!("data       {}", fleet.data_folder().display());
    println!(
        "try        curl http://{address}/v1/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"desk\",\"prompt\":\"status of lot 7\",\"max_tokens\":8,\"stream\":true}}'"
    );
    for engine in fleet.engine_addresses() {
        println!("engine     {engine}");
    }
    for service in fleet.service_addresses() {
        println!("service    {service}");
    }
    wait_until(options.seconds.map(Duration::from_secs), || fleet.failure().is_some())?;
    fleet.stop();
    fleet.failure().map_or(Ok(()), |detail| Err(CommandError::refused(detail)))
}

/// Waits for `SIGINT` or `SIGTERM`.
pub(super) fn wait_for_signal() -> Result<(), CommandError> {
    wait_until(None, || false)
}

/// Waits for `SIGINT`, `SIGTERM` or the `end`, at most for `limit`.
fn wait_until(limit: Option<Duration>, end: impl Fn() -> bool) -> Result<(), CommandError> {
    let stopped = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stopped)).map_err(CommandError::refused)?;
    }
    let started = Instant::now();
    let is_time_left = || limit.is_none_or(|limit| started.elapsed() < limit);
    while !stopped.load(Ordering::Relaxed) && is_time_left() && !end() {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    Ok(())
}
