//! Terms of a rules lease: how long an entry may apply its rules without a confirmation from
//! control.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The holder gives up one part in this many of a lease, as a margin for clocks that run at
/// different rates.
///
/// Clocks of ordinary hosts differ by well under one part in a thousand; one part in a hundred
/// also covers hosts whose clock is being slewed.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Time from an entry's request for which its rules count as confirmed.
pub const LEASE_LENGTH: Duration = Duration::from_millis(3000);

/// Default for the longest time without a confirmation, in milliseconds.
const DEFAULT_HOLD_MS: u64 = 10_000;

/// What an entry does when its lease has expired without a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldPolicy {
    /// Keep applying the last confirmed rules until this time after the request, in
    /// milliseconds, then refuse.
    BoundedMs(u64),
    /// Keep applying the last confirmed rules without a limit. Changes are accepted only when
    /// every entry has adopted them or an operator has removed the entries that did not.
    UntilForgotten,
}

/// Terms that the leader sends with every grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// Time from the entry's request for which the rules count as confirmed.
    pub lease: Duration,
    /// What the entry does after that.
    pub hold: HoldPolicy,
}

impl Default for HoldPolicy {
    fn default() -> Self {
        Self::BoundedMs(DEFAULT_HOLD_MS)
    }
}

impl LeaseTerms {
    /// Terms with `hold` and the length [`LEASE_LENGTH`].
    pub fn with_hold(hold: HoldPolicy) -> Self {
        Self { lease: LEASE_LENGTH, hold }
    }

    /// Time from the entry's request for which the entry treats the rules as confirmed.
    pub fn confirmed(&self) -> Duration {
        self.lease - self.lease / CLOCK_DRIFT_DIVISOR
    }

    /// Time from the entry's request for which the entry may make decisions; `None` when unlimited.
    pub fn usable(&self) -> Option<Duration> {
        self.max_duration().map(|max_duration| max_duration - max_duration / CLOCK_DRIFT_DIVISOR)
    }

    /// Time from the leader's answer for which the leader must assume that the entry may apply
    /// its rules; `None` when unlimited.
    pub fn max_duration(&self) -> Option<Duration> {
        match self.hold {
            HoldPolicy::BoundedMs(hold) => Some(self.lease.max(Duration::from_millis(hold))),
            HoldPolicy::UntilForgotten => None,
        }
    }
}
