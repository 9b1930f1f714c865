//! Times at which refused callers are told to return.
//!
//! A return that meets a free slot is worth a late answer; one that is refused again is worth
//! nothing. Returns are therefore spread over the slots that are about to become free, of which new
//! requests get the other half.

use std::time::Duration;

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::MIN_RETURN_DELAY;
use super::promises::{PromiseTable, bucket_number, bucket_start};

/// Fraction of the slots that become free which is promised to returning callers.
const RETURN_FRACTION: f64 = 0.5;

/// Earliest return in a free bucket. Bursts last for seconds, so callers that return sooner meet the
/// same load and are refused again.
const FIRST_RETURN_DELAY: Duration = Duration::from_millis(700);

/// Latest return, which bounds the number of buckets. A rate of the last second says little about
/// later times.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(5);

/// Callers return at most after this part of their remaining time, less `RETURN_MARGIN`.
const REMAINING_DIVISOR: u32 = 3;

/// Time by which a return is planned before the caller's limit, for the way of the refusal.
const RETURN_MARGIN: Duration = Duration::from_millis(50);

/// If the limit of a caller's time is shorter than this, the caller has less than 0.3 s left, and
/// no further attempt can be answered. It is told `MIN_RETURN_DELAY` so that it does not repeat at once.
const MIN_LIMIT: Duration = Duration::from_millis(50);

/// Range of the delays while the rate of slots that become free is not known. Requests end on each
/// group within 0.1 s, and the repair of a group takes one to two seconds.
const UNKNOWN_RATE_DELAYS: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_millis(1_900));

/// Slots per second below which the rate counts as unknown: one end within the last second is
/// chance.
const MIN_RATE: f64 = 1.0;

/// Maximum number of models with promises. Models come from the declaration, which has a few.
const MAX_MODELS: usize = 64;

/// A refused request.
#[derive(Debug, Clone, Copy)]
pub struct ReturnQuery<'a> {
    /// Service that refused it.
    pub service: &'a ServiceName,
    /// Model of the request, which the service declares.
    pub model: &'a str,
    /// Slots of the model that become free to this entry per second; 0 if not known.
    pub per_second: f64,
    /// Time until the caller's deadline.
    pub left: Duration,
    /// Whether the caller has returned before. It does not return another time, so it takes no
    /// place that another caller could use.
    pub has_returned: bool,
}

/// Retry times that one entry has given to callers. Lost with the entry.
#[derive(Debug, Clone)]
pub struct ReturnSchedule {
    models: SortedTable<(ServiceName, String), PromiseTable>,
    random: ChaCha8Rng,
}

impl ReturnSchedule {
    /// Creates an empty schedule whose times within buckets are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { models: SortedTable::new(), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Time after which the caller of a request that was refused at `now` is told to return.
    pub fn retry_after(&mut self, now: TimePoint, query: &ReturnQuery<'_>) -> Duration {
        let limit = (query.left / REMAINING_DIVISOR).saturating_sub(RETURN_MARGIN);
        if limit < MIN_LIMIT {
            return MIN_RETURN_DELAY;
        }
        let limit = limit.min(MAX_RETURN_DELAY);
        if query.has_returned {
            return self.draw_unknown(limit);
        }
        self.prune(now);
        let key = (query.service.clone(), query.model.to_owned());
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(&key) {
            return self.draw_unknown(limit);
        }
        let delay = if query.per_second < MIN_RATE {
            self.draw_unknown(limit)
        } else {
            // A limit below the first return leaves the time from the shortest delay on.
            let earliest = match limit {
                limit if limit > FIRST_RETURN_DELAY => FIRST_RETURN_DELAY,
                limit => limit.min(MIN_RETURN_DELAY),
            };
            let promises = self.promises(now, &key);
            let range = bucket_number(now.after(earliest))..=bucket_number(now.after(limit));
            let free = promises.first_free(range.clone(), query.per_second * RETURN_FRACTION);
            let number = free.unwrap_or_else(|| promises.least_filled(range));
            let from = bucket_start(number).since(now).max(earliest);
            let until = bucket_start(number + 1).since(now).min(limit);
            self.draw(from, until)
        };
        self.promises(now, &key).record(now.after(delay));
        delay
    }

    /// Number of buckets that are kept over all models.
    pub fn bucket_count(&self) -> usize {
        self.models.values().map(PromiseTable::len).sum()
    }

    fn promises(&mut self, now: TimePoint, key: &(ServiceName, String)) -> &mut PromiseTable {
        let promises = self.models.get_or_insert_with(key.clone(), PromiseTable::default);
        promises.prune(now);
        promises
    }

    /// Drops passed buckets and models without promises.
    fn prune(&mut self, now: TimePoint) {
        self.models.retain(|_, promises| {
            promises.prune(now);
            !promises.is_empty()
        });
    }

    /// Draws a delay for a caller without a place in the schedule, of at most `limit`.
    fn draw_unknown(&mut self, limit: Duration) -> Duration {
        let (from, until) = UNKNOWN_RATE_DELAYS;
        // A short limit keeps some spread.
        let from = from.min((limit / 2).max(MIN_RETURN_DELAY));
        self.draw(from.min(limit), until.min(limit))
    }

    /// Draws a delay from `from` up to `until`; `from` if there is nothing in between.
    fn draw(&mut self, from: Duration, until: Duration) -> Duration {
        let spread = until.saturating_sub(from);
        from + spread.mul_f64(self.random.random_range(0.0..1.0))
    }
}
