//! Retry times given to callers of one model, counted in buckets of fixed width.
//!
//! An entry of a large deployment frees one or two slots per second and model, far less than one per
//! bucket. Filling each bucket up to its own part of the slots would promise at least one return per
//! bucket, several times what the slots allow. Unused parts are therefore carried over to the
//! following buckets, up to one return, and promises of the last seconds still count.

use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use briartray_model::TimePoint;

/// Width of a bucket.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);

/// Width of a bucket, in microseconds.
const BUCKET_MICROS: u64 = BUCKET_WIDTH.as_micros() as u64;

/// Number of buckets that are kept after their time has passed. At the lowest rate that a schedule
/// uses, one slot per second, half of the slots allow one return within this time.
const PAST_BUCKETS: u64 = 20;

/// Number of buckets on each side that count when buckets are compared by how full they are. At low
/// rates most buckets are empty, and those next to a promise would look as good as others.
const NEIGHBOR_BUCKETS: u64 = 1;

/// Promised returns of one model.
#[derive(Debug, Clone, Default)]
pub(super) struct PromiseTable {
    /// Number of the first bucket in `counts`.
    first: u64,
    counts: VecDeque<u32>,
}

impl PromiseTable {
    /// Drops the buckets that no longer count at `now`.
    pub(super) fn prune(&mut self, now: TimePoint) {
        let first = bucket_number(now).saturating_sub(PAST_BUCKETS);
        let passed = usize::try_from(first.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.counts.drain(..passed.min(self.counts.len()));
        self.first = self.first.max(first);
    }

    /// Counts a return promised at `time`; ignores a time before the buckets that are kept.
    pub(super) fn record(&mut self, time: TimePoint) {
        let Some(offset) = bucket_number(time).checked_sub(self.first) else { return };
        let index = usize::try_from(offset).unwrap_or(usize::MAX);
        if index >= self.counts.len() {
            self.counts.resize(index + 1, 0);
        }
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Whether no promise counts any more.
    pub(super) fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Number of buckets that are kept.
    pub(super) fn len(&self) -> usize {
        self.counts.len()
    }

    /// The first bucket of `range` that has room for another return if `per_second` returns are
    /// allowed per second.
    pub(super) fn first_free(&self, range: RangeInclusive<u64>, per_second: f64) -> Option<u64> {
        let allowed = per_second * BUCKET_WIDTH.as_secs_f64();
        let max_credit = allowed + 1.0;
        let mut credit = max_credit;
        for number in self.first..=*range.end() {
            credit = (credit + allowed).min(max_credit) - f64::from(self.count(number));
            // A return takes 1; what is left has to be positive, so that a bucket takes no more
            // than its part, rounded up.
            if range.contains(&number) && credit > 1.0 {
                return Some(number);
            }
        }
        None
    }

    /// The bucket of `range` with the fewest promises in it and next to it; the earliest of equal
    /// ones.
    pub(super) fn least_filled(&self, range: RangeInclusive<u64>) -> u64 {
        let first = *range.start();
        let fill = |number: &u64| {
            let near = number.saturating_sub(NEIGHBOR_BUCKETS)..=number + NEIGHBOR_BUCKETS;
            let sum: u64 = near.map(|near| u64::from(self.count(near))).sum();
            (sum, self.count(*number))
        };
        range.min_by_key(fill).unwrap_or(first)
    }

    fn count(&self, number: u64) -> u32 {
        let index = number.checked_sub(self.first).and_then(|offset| usize::try_from(offset).ok());
        index.and_then(|index| self.counts.get(index)).copied().unwrap_or(0)
    }
}

/// Number of the bucket that contains `time`.
pub(super) fn bucket_number(time: TimePoint) -> u64 {
    time.0 / BUCKET_MICROS
}

/// Start of bucket `number`.
pub(super) fn bucket_start(number: u64) -> TimePoint {
    TimePoint(number * BUCKET_MICROS)
}
