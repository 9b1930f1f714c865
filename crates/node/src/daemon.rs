//! A daemon process with the roles that its settings enable.

use std::time::{Duration, Instant};

use briartray_control::storage::StorageError;
use briartray_link::LinkError;
use briartray_model::settings::{DaemonSettings, StopSettings};
use briartray_web::ListenError;
use crossbeam::channel::Receiver;
use snafu::Snafu;

use crate::agent::AgentNode;
use crate::control::ControlNode;
use crate::entry::EntryNode;
use crate::metrics::MetricsHub;
use crate::trace::TraceHub;

/// Why the daemon could not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A link could not start.
    #[snafu(display("{source}"), context(false))]
    Link {
        /// Error of the link.
        source: LinkError,
    },
    /// An HTTP port could not start.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Error of the listener.
        source: ListenError,
    },
    /// The data folder of the control role cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// Error of the storage.
        source: StorageError,
    },
    /// A thread could not start.
    #[snafu(display("cannot start a thread: {source}; check the process limits"), context(false))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The trace file cannot be opened.
    #[snafu(display("cannot open the trace file: {source}; change trace.file or its folder"))]
    TraceFile {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file with the first rules could not be read or is invalid.
    #[snafu(display("first rules {path}: {detail}; correct the file and restart"))]
    FirstRules {
        /// Path of the file.
        path: String,
        /// Description of the error.
        detail: String,
    },
}

/// The roles that run in this process.
pub struct RunningDaemon {
    /// The control role, if enabled.
    pub control: Option<ControlNode>,
    /// The entry role, if enabled.
    pub entry: Option<EntryNode>,
    /// The agent role, if enabled.
    pub agent: Option<AgentNode>,
}

impl RunningDaemon {
    /// Starts the roles that `settings` enables.
    ///
    /// # Errors
    /// A `DaemonError` when a role cannot start; its message says how to resolve it.
    pub fn start(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        let metrics = MetricsHub::default();
        let traces = TraceHub::start(&settings.trace, &settings.node)
            .map_err(|source| DaemonError::TraceFile { source })?;
        let control = match &settings.control {
            Some(role) => Some(ControlNode::start(settings, role, &metrics)?),
            None => None,
        };
        let agent = match &settings.agent {
            Some(role) => Some(AgentNode::start(settings, role, &traces)?),
            None => None,
        };
        let entry = match &settings.entry {
            Some(role) => Some(EntryNode::start(settings, role, &metrics, &traces)?),
            None => None,
        };
        Ok(Self { control, entry, agent })
    }

    /// Drains and stops the roles for a planned stop, the entry first.
    ///
    /// Work in progress is aborted only after the settings' limit. Returns `false` when work was
    /// left.
    pub fn drain(&self, settings: &StopSettings) -> bool {
        let notice = Duration::from_millis(settings.notice_ms.into());
        let limit = Duration::from_millis(settings.wait_ms.into());
        let started = Instant::now();
        let entry = self.entry.as_ref().is_none_or(|entry| entry.drain(notice, limit));
        let left = limit.saturating_sub(started.elapsed());
        let agent = self.agent.as_ref().is_none_or(|agent| agent.drain(left));
        self.stop();
        entry && agent
    }

    /// Channel that is told when a role fails, after which the process is to be drained.
    pub fn failures(&self) -> Receiver<()> {
        let failures = |control: &ControlNode| control.failures().clone();
        self.control.as_ref().map_or_else(crossbeam::channel::never, failures)
    }

    /// Why the process cannot continue, if a role has failed.
    pub fn failure(&self) -> Option<&str> {
        self.control.as_ref().and_then(ControlNode::failure)
    }

    /// Stops the roles, the entry first.
    pub fn stop(&self) {
        if let Some(entry) = &self.entry {
            entry.stop();
        }
        if let Some(agent) = &self.agent {
            agent.stop();
        }
        if let Some(control) = &self.control {
            control.stop();
        }
    }
}
