//! Monotonic time as a plain number, so that tests can set the time and replay decisions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds on the monotonic clock of one process; not comparable between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// The point `span` after this one; saturates at the largest value.
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The time from `earlier` to this point; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
