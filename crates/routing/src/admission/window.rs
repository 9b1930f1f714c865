//! How many requests of one service an entry keeps in flight.

use std::time::Duration;

use briartray_model::TimePoint;

/// Part of the window that is kept when replicas turn out to be full.
const CUT: f64 = 0.9;

/// Time between two cuts; refusals of one moment tell of one shortage.
const CUT_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which nothing is let through after replicas turned out to be full.
const HOLD: Duration = Duration::from_millis(10);

/// Growth of a cut window with each answer.
const GROWTH: f64 = 0.5;

/// Part of a new sample in the running service time.
const TIME_WEIGHT: f64 = 0.05;

/// Mean deviations over the mean within which nearly every request is done.
const SURE_DEVIATIONS: f64 = 2.0;

/// Slots of one service at one entry.
///
/// The window starts at the capacity of all replicas. Other entries use the same replicas, so
/// refusals of full replicas cut it and answers let it grow again: entries that share replicas
/// settle on shares of them without telling each other.
#[derive(Debug, Clone, Default)]
pub(super) struct SlotWindow {
    capacity: u64,
    limit: f64,
    running: u32,
    mean_time: Option<f64>,
    deviation: f64,
    cut_at: Option<TimePoint>,
    held_until: Option<TimePoint>,
}

impl SlotWindow {
    pub(super) fn set_capacity(&mut self, capacity: u64) {
        // A window that was not cut follows the capacity; a cut one grows by itself.
        let whole = self.limit >= self.capacity as f64;
        self.capacity = capacity;
        self.limit = if whole { capacity as f64 } else { self.limit.min(capacity as f64) };
    }

    pub(super) fn capacity(&self) -> u64 {
        self.capacity
    }

    pub(super) fn has_room(&self, now: TimePoint) -> bool {
        let held = self.held_until.is_some_and(|until| now < until);
        self.capacity > 0 && !held && f64::from(self.running) < self.limit.max(1.0).floor()
    }

    pub(super) fn begin(&mut self) {
        self.running += 1;
    }

    /// Counts a request off that ran for `took`, or came to nothing.
    pub(super) fn end(&mut self, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(took) = took else { return };
        let sample = took.as_secs_f64();
        let mean = self.mean_time.unwrap_or(sample);
        self.mean_time = Some(mean + TIME_WEIGHT * (sample - mean));
        self.deviation += TIME_WEIGHT * ((sample - mean).abs() - self.deviation);
        self.limit = (self.limit + GROWTH).min(self.capacity as f64);
    }

    /// Notes that every replica asked was full.
    ///
    /// The window stays shut for a moment: a request that goes back to its queue would otherwise
    /// leave it at once, find the same replicas full, and go round as fast as the processor allows.
    pub(super) fn cut(&mut self, now: TimePoint) {
        self.held_until = Some(now.after(HOLD));
        if self.cut_at.is_some_and(|at| now.since(at) < CUT_INTERVAL) {
            return;
        }
        self.cut_at = Some(now);
        self.limit = (self.limit.min(f64::from(self.running)) * CUT).max(1.0);
    }

    /// Mean time of a request, in seconds; `None` before the first answer.
    pub(super) fn mean_time(&self) -> Option<f64> {
        self.mean_time
    }

    /// Time in seconds that a request needs once it starts: long enough for nearly every one, but
    /// no more than half of what its caller allows, because others say little about one request.
    pub(super) fn time_needed(&self, allowed: Duration) -> f64 {
        let sure = self.mean_time.map_or(0.0, |mean| mean + SURE_DEVIATIONS * self.deviation);
        sure.min(allowed.as_secs_f64() / 2.0)
    }

    /// Time in seconds in which one slot of the whole window comes free.
    pub(super) fn time_per_slot(&self) -> Option<f64> {
        Some(self.mean_time? / self.limit.max(1.0))
    }
}
