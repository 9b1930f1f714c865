//! Limit on retries as a fraction of traffic.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::lease::LEASE_LENGTH;
use briartray_model::message::AllowanceUse;
use briartray_model::names::ServiceName;

use super::{AllowanceShare, AllowanceTerms};

/// Retries that need no earlier traffic, over all entries together.
pub const CALL_ALLOWANCE: AllowanceTerms =
    AllowanceTerms { retries: 20, window: Duration::from_secs(10), lease: LEASE_LENGTH };

/// Maximum number of retries that can accumulate.
const MAX_BALANCE: f64 = 100.0;

/// Token bucket for retries, filled by first attempts, and a share of the allowance.
///
/// Without a limit, an outage would turn every request into several attempts, and recovering
/// replicas would receive a multiple of their usual load. The bucket of a process that starts is
/// empty: an entry that restarts in series would otherwise retry without any traffic.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    balance: f64,
    allowance: AllowanceShare,
}

impl RetryBudget {
    /// Counts a first attempt, which adds `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.balance = (self.balance + f64::from(percent) / 100.0).min(MAX_BALANCE);
    }

    /// Takes one retry; returns `false` if none is left.
    pub fn withdraw(&mut self, now: TimePoint) -> bool {
        if self.balance >= 1.0 {
            self.balance -= 1.0;
            return true;
        }
        let has_retry = self.allowance.take(now, &CALL_ALLOWANCE);
        if !has_retry {
            self.allowance.count_refused(now, &CALL_ALLOWANCE);
        }
        has_retry
    }

    /// Returns what a renewal at `now` says about the allowance of `service`.
    pub fn report(&mut self, now: TimePoint, service: &ServiceName) -> AllowanceUse {
        self.allowance.report(now, &CALL_ALLOWANCE, service)
    }

    /// Applies the `share` in the answer to the newest renewal, which was sent at `sent_at`.
    pub fn grant(&mut self, now: TimePoint, sent_at: TimePoint, share: u64) {
        self.allowance.grant(now, sent_at, &CALL_ALLOWANCE, share);
    }

    /// Gives the share back.
    pub fn release(&mut self) {
        self.allowance.release();
    }
}
