//! Part of the new connections that an entry accepts while it is overloaded.
//!
//! A load balancer may hand an entry most connections of a region, more than its processor can
//! serve. Each request would then wait for all before it, and all of them would be late. A
//! connection that is closed before its request is read costs its caller one round trip: the caller
//! tries again, at another entry.
//!
//! The delay of a periodic task shows how long a task waits for the traffic thread. As in CoDel, the
//! minimum over an interval counts: bursts and pauses delay some measurements, a standing queue
//! delays all of them.

use std::time::Duration;

/// Standing delay up to which the entry is not overloaded. A request waits for the thread several
/// times until its answer begins, so its own delay is a multiple of this.
const MAX_STANDING_DELAY: Duration = Duration::from_millis(15);

/// Number of measurements in an interval.
const INTERVAL_MEASUREMENTS: u32 = 4;

/// Lower bound of the factor by which one interval reduces the accepted part.
const MAX_REDUCTION: f64 = 0.5;

/// Factor by which one interval without overload increases the accepted part.
const INCREASE_FACTOR: f64 = 1.25;

/// Increase of the accepted part in addition to that.
const MIN_INCREASE: f64 = 0.01;

/// Lower bound of the accepted part: a few connections show whether the overload has ended.
const MIN_PART: f64 = 0.02;

/// Decides which new connections are accepted.
#[derive(Debug, Clone)]
pub struct AcceptGate {
    /// Accepted part of the new connections, from [`MIN_PART`] to one.
    part: f64,
    /// Accepted part of the connections since the last one that was accepted.
    credit: f64,
    /// Shortest delay in the current interval.
    min_delay: Duration,
    measurements: u32,
}

impl Default for AcceptGate {
    fn default() -> Self {
        Self { part: 1.0, credit: 0.0, min_delay: Duration::MAX, measurements: 0 }
    }
}

impl AcceptGate {
    /// Records by how much a periodic task of the traffic thread ran late.
    pub fn record_delay(&mut self, delay: Duration) {
        self.min_delay = self.min_delay.min(delay);
        self.measurements += 1;
        if self.measurements < INTERVAL_MEASUREMENTS {
            return;
        }
        self.measurements = 0;
        let standing = std::mem::replace(&mut self.min_delay, Duration::MAX);
        if standing <= MAX_STANDING_DELAY {
            self.part = (self.part * INCREASE_FACTOR + MIN_INCREASE).min(1.0);
        } else {
            let factor = MAX_STANDING_DELAY.as_secs_f64() / standing.as_secs_f64();
            self.part = (self.part * factor.max(MAX_REDUCTION)).max(MIN_PART);
        }
    }

    /// Whether to accept the next connection.
    pub fn admits(&mut self) -> bool {
        self.credit += self.part;
        let admits = self.credit >= 1.0;
        if admits {
            self.credit -= 1.0;
        }
        admits
    }

    /// Part of the new connections that is accepted, from 0 to 1.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Whether some new connections are closed.
    pub fn is_overloaded(&self) -> bool {
        self.part < 1.0
    }
}
