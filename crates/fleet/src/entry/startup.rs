//! How long a request waits at an entry that has just started.
//!
//! Load pattern: all processes are stopped at once and start again within a second or two. Callers
//! whose connections broke come back at once, reach entries that listen but do not know the rules
//! in force yet, and are refused; most of them do not come a third time. An election and the first
//! news take about a second, so a request that waits for them is answered late, and a refused one
//! not at all. Later on nothing tells how long it will take to be in touch again, and a request is
//! refused at once.

use std::time::Duration;

use briartray_model::TimePoint;

/// Time after the start in which an entry expects to be in touch: an election takes half a second
/// to one second, and control hosts may start half a second after the entry.
const STARTUP: Duration = Duration::from_millis(3_000);

/// Longest wait of one request: callers give a stream up after two seconds without an event, and
/// the first one takes half a second under load.
const LONGEST_WAIT: Duration = Duration::from_millis(1_300);

/// Part of the time that the caller allows: the rest is for the answer, or for coming back.
const PATIENCE_PART: u32 = 3;

/// The wait for the first touch of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartupWait {
    until: TimePoint,
}

impl StartupWait {
    /// The wait of a process that started at `started`.
    pub fn new(started: TimePoint) -> Self {
        Self { until: started.after(STARTUP) }
    }

    /// How long a request may wait whose caller waits for `deadline`.
    pub fn patience(&self, now: TimePoint, deadline: Duration) -> Duration {
        self.until.since(now).min(LONGEST_WAIT).min(deadline / PATIENCE_PART)
    }
}
