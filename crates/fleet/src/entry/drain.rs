//! Schedule of a graceful shutdown: when an entry stops accepting connections, and when it closes
//! the remaining ones.

use std::time::Duration;

/// Time for which new connections still arrive: the load balancer probes once a second and removes
/// an entry after two failures.
const BALANCER_DELAY: Duration = Duration::from_millis(2_700);

/// Fraction of the grace period after which requests that still run are cut off.
const CUTOFF_GRACE_FRACTION: f64 = 0.95;

/// Times of a graceful shutdown, counted from the signal.
///
/// A request that is accepted late has little of the grace period left: a stream of four seconds
/// that was accepted three seconds after the signal was cut off in the middle, although another
/// entry could have served it completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    /// When the entry stops accepting connections.
    pub listen: Duration,
    /// When it cuts off requests that still run.
    pub cut: Duration,
}

impl DrainSchedule {
    /// Computes the schedule for a grace period of `grace`.
    pub fn new(grace: Duration) -> Self {
        Self { listen: BALANCER_DELAY.min(grace / 2), cut: grace.mul_f64(CUTOFF_GRACE_FRACTION) }
    }
}
