//! Start, run and shutdown of one process.

use std::path::Path;
use std::time::Instant;

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

/// Reason why a process cannot start or continue.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// The settings cannot be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Underlying error.
        source: SettingsError,
    },
    /// Links to other processes cannot be set up.
    #[snafu(display("{source}"), context(false))]
    Link {
        /// Underlying error.
        source: LinkError,
    },
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// Underlying error.
        source: StorageError,
    },
    /// A role failed while running.
    #[snafu(display("{source}"), context(false))]
    Role {
        /// Underlying error.
        source: RoleFailure,
    },
    /// A port, thread or signal handler cannot be set up.
    #[snafu(display(
        "cannot set up {what}: {source}; check the listen addresses and process limits"
    ))]
    Setup {
        /// The resource that could not be set up.
        what: &'static str,
        /// Error from the operating system.
        source: std::io::Error,
    },
}

/// Reason why a running role has to end. The service manager restarts the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RoleFailure {
    /// A command or snapshot of the replicated log cannot be decoded.
    #[snafu(display(
        "cannot decode the replicated state; run the same version on every control host"
    ))]
    State,
}

/// Runs the roles configured in the settings file at `path` until a stop signal arrives.
///
/// # Errors
/// A [`ProcessError`] if a role cannot start, or if the control role fails while running.
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
    let failure = wait_for_shutdown(signals, failures, path, &settings)?;
    let stop_deadline = Instant::now() + settings.limits.grace();
    let drained = entry.is_none_or(|entry| entry.drain(settings.limits.grace()));
    if !drained {
        log::warn!("grace period expired with requests still in progress; they are cut off");
    }
    if let Some(control) = control {
        control.stop(stop_deadline.saturating_duration_since(Instant::now()));
    }
    log::info!("stopped");
    failure.map_or(Ok(()), |failure| Err(failure.into()))
}

/// Waits for SIGTERM or SIGINT, or for a role failure. SIGHUP reads the settings file again.
fn wait_for_shutdown(
    mut signals: Signals,
    failures: &Receiver<RoleFailure>,
    path: &Path,
    settings: &GatewaySettings,
) -> Result<Option<RoleFailure>, ProcessError> {
    let (sender, receiver) = unbounded();
    let mut forward = move || signals.forever().try_for_each(|signal| sender.send(signal));
    spawn_worker("signals", WORKER_STACK_BYTES, move || {
        // Sending fails only during shutdown, after the receiver has been dropped.
        let _ = forward();
    })
    .context(SetupSnafu { what: "the signal thread" })?;
    loop {
        select! {
            recv(receiver) -> signal => match signal {
                Ok(SIGHUP) => recheck_settings(path, settings),
                signal => {
                    log::info!(signal = signal.unwrap_or_default();
                        "received stop signal; shutting down");
                    return Ok(None);
                }
            },
            recv(failures) -> failure => {
                let failure = failure.unwrap_or(RoleFailure::State);
                log::error!("control role failed; shutting down: {failure}");
                return Ok(Some(failure));
            },
        }
    }
}

fn recheck_settings(path: &Path, settings: &GatewaySettings) {
    match settings::load(path) {
        // Seeds only matter at the start: a running process already knows the control hosts.
        Ok(reloaded) => {
            log::info!(changed = reloaded.seeds != settings.seeds;
                "reloaded settings file; a running process applies no changes");
        }
        Err(error) => {
            log::error!("cannot reload settings file; keeping the current settings: {error}")
        }
    }
}
