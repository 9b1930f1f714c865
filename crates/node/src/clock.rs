//! The one place that reads the monotonic clock.

use std::time::Duration;

use briartray_model::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// Reads monotonic time as a [`TimePoint`] since the reader was made.
///
/// The time counts on while the machine is suspended, which that of `Instant` does not: a lease would
/// otherwise hold after the machine wakes, and an entry would serve a key that was taken away meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct ClockReader {
    start: Duration,
}

impl ClockReader {
    /// A reader that starts at zero now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Time since the start.
    pub fn now(&self) -> TimePoint {
        let elapsed = since_boot().saturating_sub(self.start);
        TimePoint(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Time since the machine was started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
