//! One request's progress, shared between the engine's thread and those that read the answer.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::plain_choice;

plain_choice! {
    /// How a request ended.
    pub enum TrackEnd {
        /// All of its tokens were made.
        Whole,
        /// It was cancelled.
        Cancelled,
        /// The engine stopped.
        Stopped,
    }
}

/// Tokens made so far, and the end.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct TrackState {
    pub(super) made: u32,
    pub(super) end: Option<TrackEnd>,
}

/// One request inside the engine.
#[derive(Debug)]
pub(super) struct RequestTrack {
    pub(super) number: u64,
    pub(super) id: String,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) tokens: u32,
    pub(super) priority: u8,
    pub(super) chat: bool,
    pub(super) run: u64,
    state: Mutex<TrackState>,
    changed: Condvar,
}

impl RequestTrack {
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

    /// Adds one token.
    pub(super) fn add_token(&self) {
        self.lock().made += 1;
        self.changed.notify_all();
    }

    /// Sets the end, unless there is one.
    pub(super) fn finish(&self, end: TrackEnd) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_all();
    }

    /// The state once it has more than `seen` tokens or an end, or after `limit`.
    pub(super) fn wait_beyond(&self, seen: u32, limit: Duration) -> TrackState {
        let waiting = |state: &mut TrackState| state.made <= seen && state.end.is_none();
        let guard = self.changed.wait_timeout_while(self.lock(), limit, waiting);
        *guard.unwrap_or_else(PoisonError::into_inner).0
    }

    /// The state once there is an end, or after `limit`.
    pub(super) fn wait_end(&self, limit: Duration) -> TrackState {
        let waiting = |state: &mut TrackState| state.end.is_none();
        let guard = self.changed.wait_timeout_while(self.lock(), limit, waiting);
        *guard.unwrap_or_else(PoisonError::into_inner).0
    }

    fn lock(&self) -> MutexGuard<'_, TrackState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
