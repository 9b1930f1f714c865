//! The daemon: runs the roles that its settings name.

use std::path::PathBuf;
use std::process::ExitCode;

use briartray_model::settings;
use briartray_node::{RunningDaemon, logs};
use gumdrop::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for settings or addresses that cannot be used.
const EXIT_UNUSABLE: u8 = 2;

/// Exit code when work in progress was cut off by a second signal.
const EXIT_CUT_OFF: i32 = 1;

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "settings file in YAML", meta = "FILE")]
    settings: PathBuf,
    #[options(no_short, help = "run before endpoints that announce themselves")]
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
    // Signals are caught before any role starts, so that an early stop is a clean one too.
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|error| error.to_string())?;
    let daemon = RunningDaemon::start(&settings).map_err(|error| error.to_string())?;
    log::info!(node = settings.node.as_str(); "started");
    signals.forever().next();
    log::info!("stopping");
    end_on_second_signal(signals);
    if !daemon.drain(&settings.stop) {
        log::warn!("work was left after {} ms; raise stop.wait_ms", settings.stop.wait_ms);
    }
    match daemon.failure() {
        Some(detail) => Err(detail.to_owned()),
        None => Ok(()),
    }
}

/// Ends the process at once when it is told a second time.
fn end_on_second_signal(mut signals: Signals) {
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            log::warn!("ended by a second signal; work in progress is cut off");
            std::process::exit(EXIT_CUT_OFF);
        }
    });
}
