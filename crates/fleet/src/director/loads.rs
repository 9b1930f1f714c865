//! Rate limit for loading weights.
//!
//! The weight store starts a bounded number of loads per second, and all loads slow down when too
//! many run. A burst of repairs, such as when a whole domain comes back, would ask for dozens at
//! once. The limiter counts ordered loads in a sliding window.
//!
//! Before callers send requests, loads are not limited by the store. But the leader learns of the
//! first request a moment late, and orders are carried out some time after they are sent. So even
//! then at most as many loads are ordered in that moment as may start after it.

use std::time::Duration;

use briartray_model::TimePoint;

/// Window in which loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// Window in which loads are counted before callers send requests: the time until the first report
/// of a serving entry arrives and earlier orders are carried out.
const IDLE_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the store's rate that is used: orders may be carried out seconds late and so fall
/// into a later window.
const USED_FRACTION: f64 = 0.8;

/// Counts loads against the rate of the weight store.
#[derive(Debug, Clone, Default)]
pub struct LoadLimiter {
    started: Vec<TimePoint>,
}

impl LoadLimiter {
    /// A limiter that counts `count` loads, ordered by an earlier leader, as started at `now`.
    pub fn inherited(now: TimePoint, count: usize) -> Self {
        Self { started: vec![now; count] }
    }

    /// Whether `count` more loads may start at `rate` per second; `serving` tells whether callers
    /// send requests.
    pub fn may_start(&self, now: TimePoint, rate: f64, count: usize, serving: bool) -> bool {
        let window = if serving { LOAD_WINDOW } else { IDLE_WINDOW };
        let recent = self.started.iter().filter(|at| now.since(**at) < window).count();
        recent + count <= max_loads(rate)
    }

    /// Records `count` loads as started.
    pub fn record_starts(&mut self, now: TimePoint, count: usize) {
        self.started.retain(|at| now.since(*at) < LOAD_WINDOW);
        self.started.extend(std::iter::repeat_n(now, count));
    }
}

fn max_loads(rate: f64) -> usize {
    (rate * LOAD_WINDOW.as_secs_f64() * USED_FRACTION).floor().max(1.0) as usize
}
