//! How long a request may wait at an entry that has just started.
//!
//! When all processes stop at once and start again within a second or two, callers whose
//! connections broke reconnect at once. They reach entries that listen but do not know the rules in
//! force yet, and would be refused; most of them do not try a third time. An election and the first
//! update take about a second, so a request that waits is answered late, while a refused one is not
//! answered at all. Later there is no estimate of when the entry will reach a leader again, and
//! requests are refused at once.

use std::time::Duration;

use briartray_model::TimePoint;

/// Time after the start in which an entry expects to reach a leader: an election takes half a
/// second to one second, and control hosts may start half a second after the entry.
const STARTUP_PERIOD: Duration = Duration::from_millis(3_000);

/// Longest wait of one request: callers give up on a stream after two seconds without an event, and
/// the first event takes half a second under load.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(1_300);

/// Divisor of the caller's deadline; the rest of the time is for the answer, or for a retry.
const DEADLINE_DIVISOR: u32 = 3;

/// Wait of a process for its first update from a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartupWait {
    until: TimePoint,
}

impl StartupWait {
    /// Creates the wait of a process that started at `started`.
    pub fn new(started: TimePoint) -> Self {
        Self { until: started.after(STARTUP_PERIOD) }
    }

    /// Returns how long a request whose caller waits for `deadline` may wait.
    pub fn max_wait(&self, now: TimePoint, deadline: Duration) -> Duration {
        self.until.since(now).min(MAX_REQUEST_WAIT).min(deadline / DEADLINE_DIVISOR)
    }
}
