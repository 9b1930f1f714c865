//! State that the control thread shares with the other threads of its role.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Leadership and failure of one control host.
#[derive(Debug, Default)]
pub(super) struct ControlShared {
    /// Term in which this host leads; 0 when it does not.
    leading: AtomicU64,
    failure: OnceLock<String>,
}

impl ControlShared {
    /// Term in which this host leads, if it does.
    pub(super) fn leading(&self) -> Option<u64> {
        Some(self.leading.load(Ordering::SeqCst)).filter(|term| *term > 0)
    }

    pub(super) fn set_leading(&self, term: Option<u64>) {
        self.leading.store(term.unwrap_or(0), Ordering::SeqCst);
    }

    /// The error for which the process must end, if any.
    pub(super) fn failure(&self) -> Option<&str> {
        self.failure.get().map(String::as_str)
    }

    /// Records `detail` as the failure unless there is one already, and raises SIGTERM so that the
    /// other roles shut down in order.
    pub(super) fn fail(&self, detail: &str) {
        log::error!("{detail}");
        let _ = self.failure.set(detail.to_owned());
        if let Err(error) = signal_hook::low_level::raise(signal_hook::consts::SIGTERM) {
            log::error!("cannot raise SIGTERM; stop the process by hand: {error}");
        }
    }
}
