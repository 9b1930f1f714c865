//! What the control thread tells the threads around it.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Leadership and failure of one control host.
#[derive(Debug, Default)]
pub(super) struct ControlShared {
    /// Term in which this host leads; zero when it does not.
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

    /// Why the process must end, if it must.
    pub(super) fn failure(&self) -> Option<&str> {
        self.failure.get().map(String::as_str)
    }

    /// Keeps the first reason and ends the process as a signal would, so that the other roles
    /// stop in order.
    pub(super) fn fail(&self, detail: &str) {
        log::error!("{detail}");
        let _ = self.failure.set(detail.to_owned());
        if let Err(error) = signal_hook::low_level::raise(signal_hook::consts::SIGTERM) {
            log::error!("cannot end the process by itself: {error}");
        }
    }
}
