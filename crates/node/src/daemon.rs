//! One daemon process: the roles its settings name.

use std::time::{Duration, Instant};

use briartray_control::storage::StorageError;
use briartray_link::LinkError;
use briartray_model::settings::{DaemonSettings, StopSettings};
use briartray_web::ListenError;
use snafu::Snafu;

use crate::agent::AgentNode;
use crate::control::ControlNode;
use crate::entry::EntryNode;
use crate::metrics::MetricsHub;
use crate::trace::TraceHub;

/// Why a role could not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A link could not start.
    #[snafu(display("{source}"), context(false))]
    Link {
        /// Why.
        source: LinkError,
    },
    /// An HTTP port could not start.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Why.
        source: ListenError,
    },
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// Why.
        source: StorageError,
    },
    /// A thread could not start.
    #[snafu(display("cannot start a thread: {source}; check the process limits"), context(false))]
    Thread {
        /// What the system said.
        source: std::io::Error,
    },
    /// The file for spans cannot be used.
    #[snafu(display("cannot write spans: {source}; change trace.file or its folder"))]
    TraceFile {
        /// What the system said.
        source: std::io::Error,
    },
    /// The first rules could not be read.
    #[snafu(display("first rules {path}: {detail}; correct the file and start again"))]
    FirstRules {
        /// The file.
        path: String,
        /// What is wrong.
        detail: String,
    },
}

/// The roles that run in this process.
pub struct RunningDaemon {
    /// The control role.
    pub control: Option<ControlNode>,
    /// The entry role.
    pub entry: Option<EntryNode>,
    /// The agent role.
    pub agent: Option<AgentNode>,
}

impl RunningDaemon {
    /// Starts the roles that `settings` names.
    ///
    /// # Errors
    /// A `DaemonError` that names the remedy.
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

    /// Ends the roles as by a planned stop, those before callers first: nothing in progress is cut
    /// off unless it outlasts the settings' limit. `false` when work was left.
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

    /// Why the process cannot go on, if so; it has raised a signal on itself then.
    pub fn failure(&self) -> Option<&str> {
        self.control.as_ref().and_then(ControlNode::failure)
    }

    /// Stops the roles, those before callers first.
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
