//! Rate limit for sending deployment plans to entries.
//!
//! Each change of the plan goes to every entry. Sent to hundreds of entries at once, it would fill
//! the leader's network link for half a second. Heartbeats would wait behind it, and the leader
//! would lose its majority during the change.

use std::time::Duration;

use briartray_model::TimePoint;

/// Maximum rate of sent plans, in bytes per second: less than half of a 100 Mbit/s link.
const BYTES_PER_SECOND: f64 = 5e6;

/// Maximum backlog of sent bytes, as transmission time.
const MAX_BACKLOG: Duration = Duration::from_millis(100);

/// Tracks when the plans sent so far will have been transmitted.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SendPacer {
    busy_until: TimePoint,
}

impl SendPacer {
    /// Whether `bytes` more may be sent now; if so, counts them as sent.
    pub(super) fn may_send(&mut self, now: TimePoint, bytes: usize) -> bool {
        if self.busy_until > now.after(MAX_BACKLOG) {
            return false;
        }
        let time = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        self.busy_until = self.busy_until.max(now).after(time);
        true
    }
}
