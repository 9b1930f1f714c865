//! The `briartrayd` daemon, which runs the roles that its settings file configures.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use briartray_model::settings;
use briartray_node::{RunningDaemon, logs};
use crossbeam::channel::{Receiver, bounded, select};
use gumdrop::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for invalid settings or unusable addresses, and for a role that failed.
const EXIT_UNUSABLE: u8 = 2;

/// Exit code after a second signal has aborted the work in progress.
const EXIT_ABORTED: i32 = 1;

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "settings file in YAML", meta = "FILE")]
    settings: PathBuf,
    #[options(
        no_short,
        help = "run an entry or control host for endpoints that register themselves"
    )]
    registered: bool,
}

fn main() -> ExitCode {
    let options = DaemonOptions::parse_args_default_or_exit();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("briartrayd: {message}");
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

fn run(options: &DaemonOptions) -> Result<(), String> {
    if options.registered {
        return briartray_gateway::run(&options.settings).map_err(|error| error.to_string());
    }
    let settings = settings::load(&options.settings).map_err(|error| error.to_string())?;
    logs::start(&settings.log.level);
    // Signal handlers are installed before any role starts, so that an early stop is graceful too.
    let signals = Signals::new([SIGINT, SIGTERM]).map_err(|error| error.to_string())?;
    let daemon = RunningDaemon::start(&settings).map_err(|error| error.to_string())?;
    log::info!(node = settings.node.as_str(); "daemon started");
    let stopping = Arc::new(AtomicBool::new(false));
    select! {
        recv(forward_signals(signals, Arc::clone(&stopping))) -> _ => {
            log::info!("received a stop signal; draining work in progress");
        }
        recv(daemon.failures()) -> _ => {
            stopping.store(true, Ordering::SeqCst);
            log::error!("a role failed; draining work in progress");
        }
    }
    if !daemon.drain(&settings.stop) {
        log::warn!(
            "work still in progress after draining for {} ms is dropped; raise stop.wait_ms",
            settings.stop.wait_ms
        );
    }
    match daemon.failure() {
        Some(detail) => Err(detail.to_owned()),
        None => Ok(()),
    }
}

/// Starts a thread that passes on the first stop signal, and exits the process at once on a signal
/// while it is `stopping`.
fn forward_signals(mut signals: Signals, stopping: Arc<AtomicBool>) -> Receiver<()> {
    let (sender, receiver) = bounded(1);
    std::thread::spawn(move || {
        for _ in signals.forever() {
            if stopping.swap(true, Ordering::SeqCst) {
                log::warn!("received another signal; exiting without waiting for work in progress");
                std::process::exit(EXIT_ABORTED);
            }
            // The receiver is gone only while the process ends.
            let _ = sender.send(());
        }
    });
    receiver
}
