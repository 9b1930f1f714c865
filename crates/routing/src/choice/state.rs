//! Load and health of one replica as seen by one entry.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::LoadReport;

/// Age at which a report and the mean of the service have equal weight (a half each).
const REPORT_HALF_WEIGHT_AGE: Duration = Duration::from_millis(1000);

/// Age at which a step time has half of its initial weight.
const STEP_HALF_WEIGHT_AGE: Duration = Duration::from_secs(5);

/// Maximum age of a report that may mark a replica as full on its own.
///
/// Without this limit a replica that was full once would look full forever: it would get no
/// requests, and so no newer report would arrive.
const FULL_REPORT_MAX_AGE: Duration = Duration::from_millis(250);

/// Initial and maximum backoff after a replica refused because its queue was full.
const FULL_BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(320));

/// Initial and maximum backoff after a replica was unreachable or its group was not whole.
const DOWN_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Initial and maximum interval between two probes of an ejected replica.
const PROBE_INTERVAL: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Weight of a new sample in the moving average of failures.
const FAILURE_WEIGHT: f32 = 0.25;

/// Failure rate from which a replica is ejected.
const FAILURE_RATE_LIMIT: f32 = 0.5;

/// Weight of a new sample in the moving average of step times.
const STEP_WEIGHT: f32 = 0.3;

/// The same for an ejected replica: its few probes must show quickly that it has recovered.
const PROBE_STEP_WEIGHT: f32 = 0.7;

/// Why a replica gets no requests for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BackoffCause {
    /// The queue is full.
    Full,
    /// The replica is unavailable.
    Down,
}

/// Load and health of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct ReplicaState {
    /// Requests of this entry in flight on the replica.
    pub(super) own_load: u32,
    /// Requests of other entries, from the last report.
    pub(super) other_load: u32,
    reported_at: Option<TimePoint>,
    /// Moving average of the step time in microseconds; zero if unknown.
    pub(super) mean_step_micros: f32,
    last_step_micros: f32,
    failure_rate: f32,
    backoff_until: TimePoint,
    down: bool,
    backoffs: u8,
    ejected: bool,
    probe_at: TimePoint,
    probe_count: u8,
}

impl ReplicaState {
    /// Estimates the requests in flight on the replica. The count of this entry's own requests is
    /// exact. The reported count of the others gives way to `mean_other`, the mean of the service,
    /// as the report ages.
    pub(super) fn load(&self, now: TimePoint, mean_other: f32) -> f32 {
        let Some(reported_at) = self.reported_at else { return self.own_load as f32 + mean_other };
        let age = now.since(reported_at).as_secs_f32();
        let half = REPORT_HALF_WEIGHT_AGE.as_secs_f32();
        let weight = half / (half + age);
        self.own_load as f32 + weight * self.other_load as f32 + (1.0 - weight) * mean_other
    }

    /// Step time relative to `median_step_micros`, clamped to the range from a half to four. Its
    /// influence fades with age: a replica that is rarely chosen could otherwise never show that it
    /// has become faster.
    pub(super) fn slowdown(&self, now: TimePoint, median_step_micros: f32) -> f32 {
        let Some(reported_at) = self.reported_at else { return 1.0 };
        if self.mean_step_micros == 0.0 || median_step_micros == 0.0 {
            return 1.0;
        }
        let half = STEP_HALF_WEIGHT_AGE.as_secs_f32();
        let weight = half / (half + now.since(reported_at).as_secs_f32());
        1.0 + weight * ((self.mean_step_micros / median_step_micros).clamp(0.5, 4.0) - 1.0)
    }

    /// Whether the replica has no capacity left for another request.
    pub(super) fn is_full(&self, now: TimePoint, capacity: u32) -> bool {
        let fresh = self.reported_at.is_some_and(|at| now.since(at) < FULL_REPORT_MAX_AGE);
        self.own_load >= capacity || (fresh && self.own_load + self.other_load >= capacity)
    }

    /// End of the current backoff.
    pub(super) fn backoff_until(&self) -> TimePoint {
        self.backoff_until
    }

    /// Whether the current backoff is due to unavailability and not to a full queue.
    pub(super) fn is_down(&self, now: TimePoint) -> bool {
        self.down && now < self.backoff_until
    }

    /// Whether the replica is ejected and not yet due for a probe.
    pub(super) fn awaits_probe(&self, now: TimePoint) -> bool {
        self.ejected && (self.own_load > 0 || now < self.probe_at)
    }

    /// Whether the replica is ejected.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Stores a load report, which must not include the attempt that carried it.
    ///
    /// A report counts all requests on the replica. This entry's own count of its requests is more
    /// exact and more recent, so only the remainder is stored.
    pub(super) fn record_report(&mut self, now: TimePoint, report: &LoadReport) {
        self.other_load = (report.in_flight + report.queued).saturating_sub(self.own_load);
        self.reported_at = Some(now);
        if report.step_micros > 0 {
            let sample = report.step_micros as f32;
            let weight = if self.ejected { PROBE_STEP_WEIGHT } else { STEP_WEIGHT };
            let first = self.mean_step_micros == 0.0;
            self.mean_step_micros =
                if first { sample } else { moving_average(self.mean_step_micros, sample, weight) };
            self.last_step_micros = sample;
        }
    }

    /// Records a successful answer.
    pub(super) fn record_success(&mut self) {
        self.failure_rate = moving_average(self.failure_rate, 0.0, FAILURE_WEIGHT);
        self.backoffs = 0;
        self.backoff_until = TimePoint(0);
    }

    /// Records an answer that broke off.
    pub(super) fn record_failure(&mut self) {
        self.failure_rate = moving_average(self.failure_rate, 1.0, FAILURE_WEIGHT);
    }

    /// Starts or extends an exponential backoff; `jitter` is between zero and one.
    pub(super) fn back_off(&mut self, now: TimePoint, cause: BackoffCause, jitter: f64) {
        let (first, longest) = match cause {
            BackoffCause::Full => FULL_BACKOFF,
            BackoffCause::Down => DOWN_BACKOFF,
        };
        self.backoff_until = now.after(jittered_backoff(first, longest, self.backoffs, jitter));
        self.down = cause == BackoffCause::Down;
        self.backoffs = self.backoffs.saturating_add(1);
    }

    /// Makes the replica unavailable for `wait`, as its endpoint asked.
    pub(super) fn back_off_for(&mut self, now: TimePoint, wait: Duration) {
        self.backoff_until = self.backoff_until.max(now.after(wait));
        self.down = true;
    }

    /// Ejects a replica that is not ejected yet and whose step time exceeds `slow_step_micros`.
    pub(super) fn eject_if_slow(&mut self, now: TimePoint, slow_step_micros: f32) {
        if !self.ejected && slow_step_micros > 0.0 && self.mean_step_micros > slow_step_micros {
            self.update_ejection(now, slow_step_micros, 1.0);
        }
    }

    /// Ejects a replica whose step time exceeds `slow_step_micros` or that fails too often, and
    /// readmits it once neither is the case.
    pub(super) fn update_ejection(&mut self, now: TimePoint, slow_step_micros: f32, jitter: f64) {
        let slow = slow_step_micros > 0.0 && self.mean_step_micros > slow_step_micros;
        let unhealthy = slow || self.failure_rate >= FAILURE_RATE_LIMIT;
        if !unhealthy {
            if std::mem::take(&mut self.ejected) {
                // The slow samples from before the recovery must not count any more.
                self.mean_step_micros = self.last_step_micros;
            }
            self.probe_count = 0;
            return;
        }
        let probe_succeeded =
            self.last_step_micros <= slow_step_micros && self.failure_rate < FAILURE_RATE_LIMIT;
        if probe_succeeded {
            self.probe_count = 0;
        }
        let (first, longest) = PROBE_INTERVAL;
        self.probe_at = now.after(jittered_backoff(first, longest, self.probe_count, jitter));
        self.probe_count = self.probe_count.saturating_add(1);
        self.ejected = true;
    }
}

fn moving_average(old: f32, sample: f32, weight: f32) -> f32 {
    old + weight * (sample - old)
}

/// Returns `first` doubled `doublings` times, at most `longest`; half of the result is jittered.
fn jittered_backoff(first: Duration, longest: Duration, doublings: u8, jitter: f64) -> Duration {
    let doubled = first.saturating_mul(1 << u32::from(doublings.min(16)));
    doubled.min(longest).mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
