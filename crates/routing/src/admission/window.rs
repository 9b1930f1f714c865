//! Concurrency window: how many requests of one service an entry keeps in flight.

use std::time::Duration;

use briartray_model::TimePoint;

/// Factor by which the window is reduced when replicas are full.
const DECREASE_FACTOR: f64 = 0.9;

/// Minimum time between two reductions; refusals close together have the same cause.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// Time without dispatches after replicas were full.
const PAUSE_AFTER_FULL: Duration = Duration::from_millis(10);

/// Amount by which a reduced window grows with each answer.
const INCREASE_PER_ANSWER: f64 = 0.5;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Number of mean deviations above the mean within which nearly all requests finish.
const SAFETY_DEVIATIONS: f64 = 2.0;

/// Slots of one service at one entry.
///
/// The window starts at the capacity of all replicas. Other entries use the same replicas, so the
/// window is reduced when replicas are full and grows with each answer (additive increase,
/// multiplicative decrease). Entries thus converge on their shares without exchanging messages.
#[derive(Debug, Clone, Default)]
pub(super) struct SlotWindow {
    capacity: u64,
    limit: f64,
    running: u32,
    mean_time: Option<f64>,
    deviation: f64,
    decreased_at: Option<TimePoint>,
    paused_until: Option<TimePoint>,
}

impl SlotWindow {
    pub(super) fn set_capacity(&mut self, capacity: u64) {
        // A window at full size follows the capacity; a reduced window grows only with answers.
        let unreduced = self.limit >= self.capacity as f64;
        self.capacity = capacity;
        self.limit = if unreduced { capacity as f64 } else { self.limit.min(capacity as f64) };
    }

    pub(super) fn capacity(&self) -> u64 {
        self.capacity
    }

    pub(super) fn has_room(&self, now: TimePoint) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        self.capacity > 0 && !paused && f64::from(self.running) < self.limit.max(1.0).floor()
    }

    pub(super) fn begin(&mut self) {
        self.running += 1;
    }

    /// Counts the end of a request; `took` is its service time, or `None` if it did not run.
    pub(super) fn end(&mut self, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(took) = took else { return };
        let sample = took.as_secs_f64();
        let mean = self.mean_time.unwrap_or(sample);
        self.mean_time = Some(mean + SERVICE_TIME_WEIGHT * (sample - mean));
        self.deviation += SERVICE_TIME_WEIGHT * ((sample - mean).abs() - self.deviation);
        self.limit = (self.limit + INCREASE_PER_ANSWER).min(self.capacity as f64);
    }

    /// Reduces the window because all replicas that were tried are full.
    ///
    /// Dispatching also pauses for a moment. A requeued request would otherwise be dispatched at
    /// once, find the same replicas full, and repeat this in a busy loop.
    pub(super) fn decrease(&mut self, now: TimePoint) {
        self.paused_until = Some(now.after(PAUSE_AFTER_FULL));
        if self.decreased_at.is_some_and(|at| now.since(at) < DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit.min(f64::from(self.running)) * DECREASE_FACTOR).max(1.0);
    }

    /// Mean service time in seconds; `None` before the first answer.
    pub(super) fn mean_time(&self) -> Option<f64> {
        self.mean_time
    }

    /// Time in seconds to reserve for a request once it starts. It is enough for nearly all
    /// requests, but at most half of `allowed`, because other requests predict the time of a single
    /// one poorly.
    pub(super) fn time_needed(&self, allowed: Duration) -> f64 {
        let estimate = self.mean_time.map_or(0.0, |mean| mean + SAFETY_DEVIATIONS * self.deviation);
        estimate.min(allowed.as_secs_f64() / 2.0)
    }

    /// Mean time in seconds until one slot of the window becomes free.
    pub(super) fn time_per_slot(&self) -> Option<f64> {
        Some(self.mean_time? / self.limit.max(1.0))
    }
}
