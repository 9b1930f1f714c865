//! How long an entry that was told to end still takes requests, and when it cuts off what is left.

use std::time::Duration;

/// Time in which new connections still come: the balancer asks once a second, and takes an entry out
/// after two misses.
const STILL_CHOSEN: Duration = Duration::from_millis(2_700);

/// Part of the grace period after which what still runs is cut off.
const GRACE_PART: f64 = 0.95;

/// The times of one planned stop, from the signal on.
///
/// A request that is taken late has little of the grace period left: a stream of four seconds that
/// was taken three seconds after the signal was cut off in the middle, though its caller could have
/// been served whole elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    /// When it stops to take connections.
    pub listen: Duration,
    /// When it cuts off what still runs.
    pub cut: Duration,
}

impl DrainSchedule {
    /// The schedule of a stop that may last for `grace`.
    pub fn new(grace: Duration) -> Self {
        Self { listen: STILL_CHOSEN.min(grace / 2), cut: grace.mul_f64(GRACE_PART) }
    }
}
