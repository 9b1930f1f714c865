//! Progress of a request, shared between the engine thread and the readers of its answer.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::plain_choice;

plain_choice! {
    /// End state of a request.
    pub enum RequestEnd {
        /// All of its tokens were generated.
        Whole,
        /// It was cancelled.
        Cancelled,
        /// The engine stopped.
        Stopped,
    }
}

/// Number of tokens generated so far, and the end state.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct RequestProgress {
    pub(super) generated: u32,
    pub(super) end: Option<RequestEnd>,
}

/// A submitted request and its progress.
#[derive(Debug)]
pub(super) struct TrackedRequest {
    pub(super) number: u64,
    pub(super) id: String,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) tokens: u32,
    pub(super) priority: u8,
    pub(super) chat: bool,
    pub(super) run: u64,
    state: Mutex<RequestProgress>,
    changed: Condvar,
}

impl TrackedRequest {
    pub(super) fn new(number: u64, run: u64, id: &str, prompt: &str) -> Self {
        Self {
            number,
            id: id.to_owned(),
            model: String::new(),
            prompt: prompt.to_owned(),
            tokens: 1,
            priority: 0,
            chat: false,
            run,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Counts a generated token and wakes the readers.
    pub(super) fn add_token(&self) {
        self.lock().generated += 1;
        self.changed.notify_all();
    }

    /// Sets the end state, unless it is already set, and wakes the readers.
    pub(super) fn finish(&self, end: RequestEnd) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_all();
    }

    /// Waits for more than `seen` tokens or the end, for at most `limit`; returns the progress.
    pub(super) fn wait_for_token(&self, seen: u32, limit: Duration) -> RequestProgress {
        let waiting = |state: &mut RequestProgress| state.generated <= seen && state.end.is_none();
        let guard = self.changed.wait_timeout_while(self.lock(), limit, waiting);
        *guard.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Waits for the end, for at most `limit`; returns the progress.
    pub(super) fn wait_end(&self, limit: Duration) -> RequestProgress {
        let waiting = |state: &mut RequestProgress| state.end.is_none();
        let guard = self.changed.wait_timeout_while(self.lock(), limit, waiting);
        *guard.unwrap_or_else(PoisonError::into_inner).0
    }

    fn lock(&self) -> MutexGuard<'_, RequestProgress> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
