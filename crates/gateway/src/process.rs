//! One process from start to stop.

use std::path::Path;

use briartray_control::storage::FileAccess;
use briartray_control::storage::StorageError;
use briartray_link::LinkError;
use briartray_node::logs;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, unbounded};
use crossbeam::select;
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
    /// A role had to end.
    #[snafu(display("{source}"), context(false))]
    Role {
        /// Why.
        source: RoleFailure,
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

/// Why a role that runs has to end. The platform starts the process again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RoleFailure {
    /// What was agreed on does not read.
    #[snafu(display("agreed state does not read; run the same version on every control host"))]
    State,
}

/// Runs the roles that the settings at `path` name, until the process is told to stop.
///
/// # Errors
/// A `ProcessError` that names the remedy, when a role cannot start.
pub fn run(path: &Path) -> Result<(), ProcessError> {
    let settings = settings::load(path)?;
    logs::start_on_stdout(&settings.log_level);
    let signals =
        Signals::new([SIGINT, SIGTERM, SIGHUP]).context(SetupSnafu { what: "signals" })?;
    log::info!(node = settings.node_name().as_str(), zone = settings.zone.as_str(); "starting");
    let control = match &settings.control {
        Some(role) => Some(ControlProcess::start(&settings, role, Box::new(FileAccess::default))?),
        None => None,
    };
    let entry = match &settings.entry {
        Some(role) => Some(EntryProcess::start(&settings, role)?),
        None => None,
    };
    let never = crossbeam::channel::never();
    let failures = control.as_ref().map_or(&never, ControlProcess::failures);
    let failure = wait_for_end(signals, failures, path, &settings)?;
    let whole = entry.is_none_or(|entry| entry.drain(settings.limits.grace()));
    if !whole {
        log::warn!("requests were left when the time for a stop was over");
    }
    if let Some(control) = control {
        control.stop();
    }
    log::info!("stopped");
    failure.map_or(Ok(()), |failure| Err(failure.into()))
}

/// Waits for a signal to stop, or for a role that cannot go on; on a hang-up the settings are
/// looked at again.
fn wait_for_end(
    mut signals: Signals,
    failures: &Receiver<RoleFailure>,
    path: &Path,
    settings: &GatewaySettings,
) -> Result<Option<RoleFailure>, ProcessError> {
    let (told, queue) = unbounded();
    let mut forward = move || signals.forever().try_for_each(|signal| told.send(signal));
    spawn_worker("signals", WORKER_STACK_BYTES, move || {
        // The channel is closed when the process ends anyway.
        let _ = forward();
    })
    .context(SetupSnafu { what: "the thread for signals" })?;
    loop {
        select! {
            recv(queue) -> signal => match signal {
                Ok(SIGHUP) => look_again(path, settings),
                signal => {
                    log::info!(signal = signal.unwrap_or_default(); "told to stop");
                    return Ok(None);
                }
            },
            recv(failures) -> failure => {
                let failure = failure.unwrap_or(RoleFailure::State);
                log::error!("ending: {failure}");
                return Ok(Some(failure));
            },
        }
    }
}

fn look_again(path: &Path, settings: &GatewaySettings) {
    match settings::load(path) {
        // Seeds matter at the start only: a running process knows its control hosts.
        Ok(read) => {
            log::info!(changed = read.seeds != settings.seeds; "settings read again");
        }
        Err(error) => log::error!("settings stay as they are: {error}"),
    }
}
