//! The rate at which weights may be loaded.
//!
//! The weight store begins a bounded number of loads in a second, and all loads slow down when
//! too many run. A burst of repairs, as when a whole domain comes back, would ask for dozens at
//! once. The limiter counts loads that were ordered, over a sliding window.
//!
//! Before callers ask, loads do not count. When the first one does is known here only a moment later, and an
//! order is carried out some time after it was given. So even then no more are staged in that moment than
//! may count as begun after it.

use std::time::Duration;

use briartray_model::TimePoint;

/// Window over which loads are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// As above before callers ask: the time in which the first report of an entry that serves comes, and
/// orders that were given before it are carried out.
const FREE_WINDOW: Duration = Duration::from_secs(1);

/// Part of the store's rate that is used: orders may be carried out seconds late, and so fall
/// into the window of later ones.
const USED_PART: f64 = 0.8;

/// Counts loads against the rate of the weight store.
#[derive(Debug, Clone, Default)]
pub struct LoadLimiter {
    begun: Vec<TimePoint>,
}

impl LoadLimiter {
    /// A limiter that takes `count` loads, which an earlier leader has ordered, as begun at `now`.
    pub fn inherited(now: TimePoint, count: usize) -> Self {
        Self { begun: vec![now; count] }
    }

    /// Whether `count` more loads may begin at `rate` per second; `serving` tells whether callers ask.
    pub fn may_begin(&self, now: TimePoint, rate: f64, count: usize, serving: bool) -> bool {
        let window = if serving { WINDOW } else { FREE_WINDOW };
        let recent = self.begun.iter().filter(|at| now.since(**at) < window).count();
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
