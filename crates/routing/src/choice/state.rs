//! What one entry knows about the load and the health of one replica.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::LoadReport;

/// Age at which a report counts half and the mean of the service the other half.
const REPORT_HALF_AGE: Duration = Duration::from_millis(1000);

/// Age at which a step time counts half.
const STEP_HALF_AGE: Duration = Duration::from_secs(5);

/// Age up to which a report alone is believed that a replica is full.
///
/// Without this bound a replica that was full once, and that nobody asks any more, would look full
/// for good: no request goes there, so no newer report comes back.
const FULL_TRUST: Duration = Duration::from_millis(250);

/// First and longest push-back after a full queue.
const FULL_PUSH: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(320));

/// First and longest push-back after a replica could not be reached or was not whole.
const DOWN_PUSH: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// First and longest wait between two trials of a straggler.
const PROBE_WAIT: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Part of a new sample in the running share of failures.
const FAILURE_WEIGHT: f32 = 0.25;

/// Share of failures from which a replica is eased out.
const FAILURE_LIMIT: f32 = 0.5;

/// Part of a new sample in the running step time.
const STEP_WEIGHT: f32 = 0.3;

/// The same for a straggler, whose few trials must tell soon that it has recovered.
const TRIAL_STEP_WEIGHT: f32 = 0.7;

/// Why a replica is left alone for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PushCause {
    /// Its queue is full.
    Full,
    /// It cannot serve.
    Down,
}

/// Load and health of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct ReplicaState {
    /// Requests of this entry in flight there.
    pub(super) own: u32,
    /// Requests of others, by the last report.
    pub(super) others: u32,
    reported_at: Option<TimePoint>,
    /// Running step time in microseconds; zero while unknown.
    pub(super) step: f32,
    last_step: f32,
    failures: f32,
    pushed_until: TimePoint,
    pushed_down: bool,
    pushes: u8,
    eased: bool,
    probe_at: TimePoint,
    probes: u8,
}

impl ReplicaState {
    /// Requests in flight there, as far as can be told: own ones for certain, those of others by
    /// the last report, which gives way to the mean of the service as it grows old.
    pub(super) fn load(&self, now: TimePoint, mean_others: f32) -> f32 {
        let Some(reported_at) = self.reported_at else { return self.own as f32 + mean_others };
        let age = now.since(reported_at).as_secs_f32();
        let half = REPORT_HALF_AGE.as_secs_f32();
        let trust = half / (half + age);
        self.own as f32 + trust * self.others as f32 + (1.0 - trust) * mean_others
    }

    /// Step time over `median`, held between a half and four; an old one counts less and less, for
    /// a replica that is chosen rarely would otherwise never be seen to have become faster.
    pub(super) fn slowness(&self, now: TimePoint, median: f32) -> f32 {
        let Some(reported_at) = self.reported_at else { return 1.0 };
        if self.step == 0.0 || median == 0.0 {
            return 1.0;
        }
        let half = STEP_HALF_AGE.as_secs_f32();
        let trust = half / (half + now.since(reported_at).as_secs_f32());
        1.0 + trust * ((self.step / median).clamp(0.5, 4.0) - 1.0)
    }

    /// Whether no further request fits.
    pub(super) fn is_full(&self, now: TimePoint, capacity: u32) -> bool {
        let fresh = self.reported_at.is_some_and(|at| now.since(at) < FULL_TRUST);
        self.own >= capacity || (fresh && self.own + self.others >= capacity)
    }

    /// Until when the replica is left alone after a refusal.
    pub(super) fn pushed_until(&self) -> TimePoint {
        self.pushed_until
    }

    /// Whether the replica is left alone because it cannot serve, not because it is full.
    pub(super) fn is_down(&self, now: TimePoint) -> bool {
        self.pushed_down && now < self.pushed_until
    }

    /// Whether the replica is a straggler that is not due for a trial.
    pub(super) fn is_held_back(&self, now: TimePoint) -> bool {
        self.eased && (self.own > 0 || now < self.probe_at)
    }

    /// Whether the replica counts as a straggler.
    pub(super) fn is_eased(&self) -> bool {
        self.eased
    }

    /// Takes a report in, which counts no more the attempt that brought it.
    ///
    /// A report says how many requests run there in all. Those of this entry are known better and
    /// newer from its own count, so only the rest is kept.
    pub(super) fn report(&mut self, now: TimePoint, report: &LoadReport) {
        self.others = (report.in_flight + report.queued).saturating_sub(self.own);
        self.reported_at = Some(now);
        if report.step_micros > 0 {
            let sample = report.step_micros as f32;
            let weight = if self.eased { TRIAL_STEP_WEIGHT } else { STEP_WEIGHT };
            let first = self.step == 0.0;
            self.step = if first { sample } else { blend(self.step, sample, weight) };
            self.last_step = sample;
        }
    }

    /// Counts a good answer.
    pub(super) fn succeed(&mut self) {
        self.failures = blend(self.failures, 0.0, FAILURE_WEIGHT);
        self.pushes = 0;
        self.pushed_until = TimePoint(0);
    }

    /// Counts an answer that broke off.
    pub(super) fn fail(&mut self) {
        self.failures = blend(self.failures, 1.0, FAILURE_WEIGHT);
    }

    /// Leaves the replica alone for a short while that grows; `jitter` is in zero to one.
    pub(super) fn push_back(&mut self, now: TimePoint, cause: PushCause, jitter: f64) {
        let (first, longest) = match cause {
            PushCause::Full => FULL_PUSH,
            PushCause::Down => DOWN_PUSH,
        };
        self.pushed_until = now.after(grown(first, longest, self.pushes, jitter));
        self.pushed_down = cause == PushCause::Down;
        self.pushes = self.pushes.saturating_add(1);
    }

    /// Eases the replica out when it was not and is far slower than `slow_step` allows.
    pub(super) fn notice(&mut self, now: TimePoint, slow_step: f32) {
        if !self.eased && slow_step > 0.0 && self.step > slow_step {
            self.judge(now, slow_step, 1.0);
        }
    }

    /// Eases the replica out when it is far slower than `slow_step` allows or fails too often, and
    /// lets it back in when it no longer is.
    pub(super) fn judge(&mut self, now: TimePoint, slow_step: f32, jitter: f64) {
        let slow = slow_step > 0.0 && self.step > slow_step;
        let bad = slow || self.failures >= FAILURE_LIMIT;
        if !bad {
            if std::mem::take(&mut self.eased) {
                // What it was like as a straggler must not be held against it.
                self.step = self.last_step;
            }
            self.probes = 0;
            return;
        }
        let trial_was_good = self.last_step <= slow_step && self.failures < FAILURE_LIMIT;
        if trial_was_good {
            self.probes = 0;
        }
        let (first, longest) = PROBE_WAIT;
        self.probe_at = now.after(grown(first, longest, self.probes, jitter));
        self.probes = self.probes.saturating_add(1);
        self.eased = true;
    }
}

fn blend(old: f32, sample: f32, weight: f32) -> f32 {
    old + weight * (sample - old)
}

/// `first` doubled `times` times, at most `longest`, of which half is jittered.
fn grown(first: Duration, longest: Duration, times: u8, jitter: f64) -> Duration {
    let doubled = first.saturating_mul(1 << u32::from(times.min(16)));
    doubled.min(longest).mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
