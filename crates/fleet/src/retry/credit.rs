//! Retries that an entry's own requests earn.
//!
//! Of two successive windows, requests in both may earn the retries of the second one. A request
//! therefore earns half of the ratio, which keeps the sum within the ratio of the larger window.

use std::collections::VecDeque;

use briartray_routing::retry::CREDIT_BUCKETS;

/// Fraction of the ratio that a request earns.
const EARNED_FRACTION: f64 = 0.5;

/// Tolerance for the sum of many small amounts.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Retries that the requests of the last window earned.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestCredit {
    buckets: VecDeque<CreditBucket>,
}

#[derive(Debug, Clone, Copy)]
struct CreditBucket {
    number: u64,
    requests: u32,
    /// Part of a retry that is left of what its requests earned.
    left: f64,
}

impl RequestCredit {
    /// Counts a request in counter `number`, of which `ratio` may be retried.
    pub(super) fn earn(&mut self, number: u64, ratio: f64) {
        self.expire(number);
        if self.buckets.back().is_none_or(|bucket| bucket.number != number) {
            self.buckets.push_back(CreditBucket { number, requests: 0, left: 0.0 });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.requests += 1;
            bucket.left += ratio * EARNED_FRACTION;
        }
    }

    /// Whether a whole retry is left in counter `number`.
    pub(super) fn has_retry(&mut self, number: u64) -> bool {
        self.expire(number);
        let left: f64 = self.buckets.iter().map(|bucket| bucket.left).sum();
        left + ROUNDING_TOLERANCE >= 1.0
    }

    /// Takes one retry, from the oldest requests first; `false` if none is left.
    pub(super) fn take(&mut self, number: u64) -> bool {
        if !self.has_retry(number) {
            return false;
        }
        let mut missing = 1.0;
        for bucket in &mut self.buckets {
            let taken = bucket.left.min(missing);
            bucket.left -= taken;
            missing -= taken;
        }
        true
    }

    /// Number of requests that earn retries.
    pub(super) fn requests(&self) -> u32 {
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }

    /// Whether no request earns any.
    pub(super) fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Removes what has expired in counter `number`.
    pub(super) fn expire(&mut self, number: u64) {
        while self.buckets.front().is_some_and(|bucket| bucket.number + CREDIT_BUCKETS <= number) {
            self.buckets.pop_front();
        }
    }
}
