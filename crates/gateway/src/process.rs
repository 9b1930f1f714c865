//! One process from start to stop.

use std::path::Path;

use briartray_control::storage::StorageError;
use briartray_link::LinkError;
use briartray_node::logs;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};

use crate::control::ControlProcess;
use crate::entry::EntryProcess;
use crate::settings::{self, GatewaySettings, SettingsError};

/// Why a process cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// The settings cannot be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// A conversation with other processes cannot be set up.
    #[snafu(display("{source}"), context(false))]
    Link {
        /// Why.
        source: LinkError,
    },
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// Why.
        source: StorageError,
    },
    /// A port, a thread or a signal cannot be had.
    #[snafu(display("cannot set up {what}: {source}; check addresses and process limits"))]
    Setup {
        /// What was to be set up.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Runs the roles that the settings at `path` name, until the process is told to stop.
///
/// # Errors
/// A `ProcessError` that names the remedy, when a role cannot start.
pub fn run(path: &Path) -> Result<(), ProcessError> {
    let settings = settings::load(path)?;
    logs::start_on_output(&settings.log_level);
    let signals =
        Signals::new([SIGINT, SIGTERM, SIGHUP]).context(SetupSnafu { what: "signals" })?;
    log::info!(node = settings.node_name().as_str(), zone = settings.zone.as_str(); "starting");
    let control = match &settings.control {
        Some(role) => Some(ControlProcess::start(&settings, role)?),
        None => None,
    };
    let entry = match &settings.entry {
        Some(role) => Some(EntryProcess::start(&settings, role)?),
        None => None,
    };
    wait_for_stop(signals, path, &settings);
    if let Some(entry) = entry {
        entry.drain(settings.limits.grace());
    }
    if let Some(control) = control {
        control.stop();
    }
    log::info!("stopped");
    Ok(())
}

/// Waits for a signal to stop; on a hang-up the settings are looked at again.
fn wait_for_stop(mut signals: Signals, path: &Path, settings: &GatewaySettings) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            log::info!(signal; "told to stop");
            return;
        }
        match settings::load(path) {
            // Seeds matter at the start only: a running process knows its control hosts.
            Ok(read) => {
                log::info!(changed = read.seeds != settings.seeds; "settings read again");
            }
            Err(error) => log::error!("settings stay as they are: {error}"),
        }
    }
}
