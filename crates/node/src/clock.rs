//! The monotonic clock, read only here.

use std::time::Duration;

use briartray_model::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// Reads monotonic time as a [`TimePoint`] relative to the creation of the reader.
///
/// Unlike `Instant`, this clock includes the time during which the machine is suspended. Otherwise
/// a lease would still hold after the machine wakes, and an entry would serve a key that was
/// revoked meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct ClockReader {
    start: Duration,
}

impl ClockReader {
    /// Creates a reader whose time starts at zero now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Time since the reader was created, in microseconds.
    pub fn now(&self) -> TimePoint {
        let elapsed = since_boot().saturating_sub(self.start);
        TimePoint(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Time since boot, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
