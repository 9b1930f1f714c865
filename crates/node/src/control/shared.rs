//! State that the control thread shares with the other threads of its role.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam::channel::Sender;

/// Leadership and failure of one control host.
#[derive(Debug)]
pub(super) struct ControlShared {
    /// Term in which this host leads; 0 when it does not.
    leading: AtomicU64,
    failure: OnceLock<String>,
    failed: Sender<()>,
}

impl ControlShared {
    /// Creates the state of a host that follows; `failed` is told of the first failure.
    pub(super) fn new(failed: Sender<()>) -> Self {
        Self { leading: AtomicU64::new(0), failure: OnceLock::new(), failed }
    }

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

    /// Records `detail` as the failure unless there is one already, and tells the owner of the role,
    /// so that the other roles shut down in order.
    pub(super) fn fail(&self, detail: &str) {
        log::error!("{detail}");
        if self.failure.set(detail.to_owned()).is_ok() {
            // Nobody listens any more when the owner has dropped the role.
            let _ = self.failed.try_send(());
        }
    }
}
