//! Terms of the retry allowance.

use std::time::Duration;

use briartray_model::TimePoint;

/// Number of counters in one window.
const WINDOW_BUCKETS: u64 = 40;

/// Counters by which the arrival of a retry may lag behind its count. An arrival then falls into no
/// other window than one in which the retry was allowed.
const DELAY_BUCKETS: u64 = 4;

/// Counters for which a retry from the allowance counts. A retry may have been counted at the end of
/// its counter, so one more is kept.
pub(super) const SPENT_BUCKETS: u64 = WINDOW_BUCKETS + DELAY_BUCKETS + 1;

/// Counters for which a request may earn a part of a retry.
pub const CREDIT_BUCKETS: u64 = WINDOW_BUCKETS - DELAY_BUCKETS;

/// Retries that need no earlier requests, and how they are leased to entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceTerms {
    /// Retries per window and service, over all entries together.
    pub retries: u64,
    /// Window over which retries are counted.
    pub window: Duration,
    /// Lifetime of a share, counted from the entry's report.
    pub lease: Duration,
}

impl AllowanceTerms {
    /// Number of the counter at `now`.
    pub fn bucket_at(&self, now: TimePoint) -> u64 {
        let width = u64::try_from(self.bucket_width().as_micros()).unwrap_or(u64::MAX);
        now.0 / width.max(1)
    }

    /// Time for which a retry counts.
    pub(super) fn spent_time(&self) -> Duration {
        self.bucket_width() * u32::try_from(SPENT_BUCKETS).unwrap_or(u32::MAX)
    }

    fn bucket_width(&self) -> Duration {
        self.window / u32::try_from(WINDOW_BUCKETS).unwrap_or(1)
    }
}
