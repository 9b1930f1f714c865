//! How fast a leader hands out a declaration.
//!
//! Each change of a declaration goes to every entry. Sent to hundreds at once it fills the leader's link for
//! half a second, heartbeats wait behind it, and the leader loses its majority in the middle of the change.

use std::time::Duration;

use briartray_model::TimePoint;

/// Bytes of declarations a second: less than half of a link of 100 Mbit/s.
const BYTES_PER_SECOND: f64 = 5e6;

/// Time ahead for which bytes may wait on the link.
const AHEAD: Duration = Duration::from_millis(100);

/// When the declarations that were sent so far have left.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SendPace {
    busy_until: TimePoint,
}

impl SendPace {
    /// Whether `bytes` more may be sent now; counts them if so.
    pub(super) fn may_send(&mut self, now: TimePoint, bytes: usize) -> bool {
        if self.busy_until > now.after(AHEAD) {
            return false;
        }
        let time = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        self.busy_until = self.busy_until.max(now).after(time);
        true
    }
}
