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

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "settings file in YAML", meta = "FILE")]
    settings: PathBuf,
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
    let settings = settings::load(&options.settings).map_err(|error| error.to_string())?;
    logs::start(&settings.log.level);
    // Signals are caught before any role starts, so that an early stop is a clean one too.
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|error| error.to_string())?;
    let daemon = RunningDaemon::start(&settings).map_err(|error| error.to_string())?;
    log::info!(node = settings.node.as_str(); "started");
    signals.forever().next();
    log::info!("stopping");
    daemon.stop();
    match daemon.failure() {
        Some(detail) => Err(detail.to_owned()),
        None => Ok(()),
    }
}
