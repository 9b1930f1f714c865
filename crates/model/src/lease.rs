//! Terms of a rules lease: how long rules may be held without a confirmation.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Part of a lease that is not relied on, against clocks that run at different speeds.
///
/// Clocks of ordinary hosts differ by well under one part in a thousand; one part in a hundred
/// leaves room for hosts whose clock is being corrected.
const DRIFT_DIVISOR: u32 = 100;

/// Time from an entry's request within which its rules count as confirmed.
pub const LEASE_LENGTH: Duration = Duration::from_millis(3000);

/// Longest time without a confirmation unless the settings say otherwise, in milliseconds.
const DEFAULT_HOLD_MS: u64 = 10_000;

/// What an entry does once its lease has run out without a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldPolicy {
    /// Go on under the last confirmed rules for this long in all, in milliseconds, then refuse.
    BoundedMs(u64),
    /// Go on under the last confirmed rules. Changes are accepted only when every entry has
    /// adopted them or an operator has struck off the entries that did not.
    UntilForgotten,
}

/// Terms that the leader states with every grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// Time from an entry's request within which the rules count as confirmed.
    pub lease: Duration,
    /// What happens after that.
    pub hold: HoldPolicy,
}

impl Default for HoldPolicy {
    fn default() -> Self {
        Self::BoundedMs(DEFAULT_HOLD_MS)
    }
}

impl LeaseTerms {
    /// The terms with `hold` and the usual length.
    pub fn with_hold(hold: HoldPolicy) -> Self {
        Self { lease: LEASE_LENGTH, hold }
    }

    /// Time from its request for which the rules count as confirmed at the entry.
    pub fn confirmed(&self) -> Duration {
        self.lease - self.lease / DRIFT_DIVISOR
    }

    /// Time from its request for which an entry may decide; `None` without a bound.
    pub fn usable(&self) -> Option<Duration> {
        self.max_duration().map(|max_duration| max_duration - max_duration / DRIFT_DIVISOR)
    }

    /// Time from its answer for which the leader must reckon with the entry; `None` without a
    /// bound.
    pub fn max_duration(&self) -> Option<Duration> {
        match self.hold {
            HoldPolicy::BoundedMs(hold) => Some(self.lease.max(Duration::from_millis(hold))),
            HoldPolicy::UntilForgotten => None,
        }
    }
}
