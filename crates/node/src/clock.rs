//! The one place that reads the monotonic clock.

use std::time::Instant;

use briartray_model::TimePoint;

/// Reads monotonic time as a [`TimePoint`] since the reader was made.
#[derive(Debug, Clone, Copy)]
pub struct ClockReader {
    start: Instant,
}

impl ClockReader {
    /// A reader that starts at zero now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the start.
    pub fn now(&self) -> TimePoint {
        TimePoint(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
