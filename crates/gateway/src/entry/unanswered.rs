//! Requests that end without an answer, and the end of a planned stop.

use std::cell::Cell;
use std::rc::Rc;

use briartray_model::TimePoint;
use http::HeaderValue;
use tokio::sync::Notify;

use super::serve::millis;
use super::state::EntryState;

/// End of a planned stop, which cuts off the requests that still run.
#[derive(Debug, Default)]
pub(super) struct CutOff {
    is_reached: Cell<bool>,
    notify: Notify,
}

impl CutOff {
    pub(super) fn reach(&self) {
        self.is_reached.set(true);
        self.notify.notify_waiters();
    }

    pub(super) async fn wait(&self) {
        if !self.is_reached.get() {
            self.notify.notified().await;
        }
    }
}

/// Records a request as unanswered when dropped, unless it was disarmed.
pub(super) struct UnansweredGuard {
    state: Rc<EntryState>,
    id: Option<HeaderValue>,
    began: TimePoint,
    /// Whether the whole request was read and admitted.
    read: bool,
    armed: bool,
}

impl UnansweredGuard {
    pub(super) fn new(state: &Rc<EntryState>, id: Option<&HeaderValue>) -> Self {
        let (state, began) = (Rc::clone(state), state.now());
        Self { state, id: id.cloned(), began, read: false, armed: true }
    }

    /// Sets whether the whole request was read and admitted.
    pub(super) fn set_read(&mut self, read: bool) {
        self.read = read;
    }

    /// Marks the request as answered.
    pub(super) fn disarm(&mut self) {
        self.armed = false;
    }

    fn cause(&self) -> &'static str {
        if std::thread::panicking() {
            "panicked"
        } else if self.state.cut_off.is_reached.get() {
            "stopped"
        } else {
            // The server drops a request when its caller closes or resets the connection.
            "caller_left"
        }
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (now, cause) = (self.state.now(), self.cause());
        self.state.metrics.count_unanswered(cause);
        if self.state.log_budget.allows(now) {
            log::info!(
                request = self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or(""),
                cause, read = self.read, ms = millis(now.since(self.began)),
                plan = self.state.held_plan();
                "request ended without an answer"
            );
        }
    }
}
