//! The rate at which weights may be loaded.
//!
//! The weight store begins a bounded number of loads in a second, and all loads slow down when
//! too many run. A burst of repairs, as when a whole domain comes back, would ask for dozens at
//! once. The limiter counts loads that were ordered, over a sliding window.

use std::time::Duration;

use briartray_model::TimePoint;

/// Window over which loads are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Part of the store's rate that is used: orders may be carried out seconds late, and so fall
/// into the window of later ones.
const USED_PART: f64 = 0.8;

/// Counts loads against the rate of the weight store.
#[derive(Debug, Clone, Default)]
pub struct LoadLimiter {
    begun: Vec<TimePoint>,
}

impl LoadLimiter {
    /// A limiter that takes the window before `now` as used up: an earlier leader may have
    /// ordered as many loads as it could.
    pub fn used_up(now: TimePoint, rate: f64) -> Self {
        Self { begun: vec![now; allowed(rate)] }
    }

    /// Whether `count` more loads may begin at `rate` per second.
    pub fn may_begin(&self, now: TimePoint, rate: f64, count: usize) -> bool {
        let recent = self.begun.iter().filter(|at| now.since(**at) < WINDOW).count();
        recent + count <= allowed(rate)
    }

    /// Counts `count` loads.
    pub fn begin(&mut self, now: TimePoint, count: usize) {
        self.begun.retain(|at| now.since(*at) < WINDOW);
        self.begun.extend(std::iter::repeat_n(now, count));
    }
}

fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * USED_PART).floor().max(1.0) as usize
}
