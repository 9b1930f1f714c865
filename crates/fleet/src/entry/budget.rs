//! The budget for sending requests again.
//!
//! When many endpoints fail at once, every request would be sent twice and the rest would drown.
//! A service may be handed only a part of its requests again within a window, over all entries.
//! Each entry keeps to its own part of the fixed allowance and to the ratio over its own requests,
//! which keeps the sum without a word between entries.

use std::time::Duration;

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};

/// Part of the allowance that is used, since entries and the deployment count windows that do
/// not begin together.
const USED_PART: f64 = 0.7;

/// Counters that make up one window.
const BUCKETS: u64 = 10;

/// What one entry may send again.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    allowance: f64,
    bucket: Duration,
    services: SortedTable<ServiceName, Vec<BucketCount>>,
}

#[derive(Debug, Clone, Default)]
struct BucketCount {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget of `ratio` of the requests within `window`, and `allowance` beyond over all
    /// entries.
    pub fn new(ratio: f64, allowance: f64, window: Duration) -> Self {
        let bucket = window / u32::try_from(BUCKETS).unwrap_or(1);
        Self { ratio, allowance, bucket, services: SortedTable::new() }
    }

    /// Counts a request for `service`.
    pub fn request(&mut self, now: TimePoint, service: &ServiceName) {
        self.bucket(now, service).requests += 1;
    }

    /// Takes one repeat out of the budget, when there is one; `entries` share the allowance.
    pub fn take(&mut self, now: TimePoint, service: &ServiceName, entries: usize) -> bool {
        self.bucket(now, service);
        let Some(counts) = self.services.get(service) else { return false };
        let requests: u32 = counts.iter().map(|count| count.requests).sum();
        let repeats: u32 = counts.iter().map(|count| count.repeats).sum();
        let share = self.allowance / entries.max(1) as f64;
        let allowed = (f64::from(requests) * self.ratio + share) * USED_PART;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(now, service).repeats += 1;
        true
    }

    fn bucket(&mut self, now: TimePoint, service: &ServiceName) -> &mut BucketCount {
        let width = u64::try_from(self.bucket.as_micros()).unwrap_or(u64::MAX).max(1);
        let number = now.0 / width;
        let counts = self.services.get_or_insert_with(service.clone(), Vec::new);
        counts.retain(|count| count.number + BUCKETS > number);
        if counts.last().is_none_or(|count| count.number != number) {
            counts.push(BucketCount { number, ..BucketCount::default() });
        }
        counts.last_mut().expect("a bucket was just added")
    }
}
