//! One entry's estimate of the load on one target.
//!
//! A target reports its load with each answer, and that includes the requests of this entry. The
//! remainder is the load of the other entries, to which the entry's own requests, known exactly,
//! are added. Only the last answer counts: a smoothed value lagged a second behind, every entry saw
//! free capacity in the same full group, and requests waited there for a second instead of being
//! refused at once.

use std::time::Duration;

use briartray_model::TimePoint;

use super::forecast::{PassMeter, UnreadPrompts};

/// Part of a target's free capacity, divided equally among the entries, that an entry may fill
/// until it learns the load again. With a larger part the entries together send more than a group
/// has capacity for, and the surplus waits there.
const FREE_CAPACITY_PART: f64 = 1.0;

/// Weight of a new measurement in the smoothed time to the first part.
const FIRST_PART_WEIGHT: f64 = 0.25;

/// Time for which the smoothed value is valid; after that the target counts as no slower than
/// others.
const FIRST_PART_VALIDITY: Duration = Duration::from_millis(2_500);

/// Time for which the load of the other entries counts in full: under load an entry gets three
/// answers a second from each group.
const OTHERS_FRESH_FOR: Duration = Duration::from_millis(1_000);

/// Half-life of that load afterwards.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Time for which the load that a target reported itself takes precedence over the leader's total.
/// The parts of that total are this old on average: one report interval of each entry.
const SELF_REPORT_PRECEDENCE: Duration = Duration::from_millis(250);

/// Time for which a target that is no longer in use is still reported: four reports.
const REPORTED_AFTER_USE: Duration = Duration::from_millis(1_000);

/// Load that a target reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
}

/// Estimated load and health of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetLoad {
    /// Unfinished requests of this entry.
    pub own_requests: u32,
    others: f64,
    /// When `others` was updated.
    others_updated_at: Option<TimePoint>,
    /// When the target last reported its load itself.
    self_reported_at: Option<TimePoint>,
    /// Requests of this entry that were sent since `others` was updated, minus those that ended.
    sent_since_update: i32,
    /// When a request of this entry was last sent or ended, or a byte arrived.
    last_used_at: Option<TimePoint>,
    /// When the last byte arrived.
    pub last_byte_at: Option<TimePoint>,
    smoothed_first_part: Option<(TimePoint, f64)>,
    /// Since when a request of this entry has waited without a byte.
    pub waiting_since: Option<TimePoint>,
    /// Silence after which the target has most likely stopped.
    pub silence_limit: Option<Duration>,
    /// End of the time in which it is not chosen because it did not respond.
    pub suspect_until: Option<TimePoint>,
    /// Prompts there without a first event.
    pub unread: UnreadPrompts,
    /// Time of its passes, as measured by this entry's streams.
    pub pass: PassMeter,
}

impl TargetLoad {
    /// Records that a request was sent.
    pub fn begin(&mut self, now: TimePoint) {
        if self.own_requests == 0 {
            self.waiting_since = Some(now);
        }
        self.own_requests += 1;
        self.sent_since_update += 1;
        self.last_used_at = Some(now);
    }

    /// Records that a request ended.
    pub fn end(&mut self, now: TimePoint) {
        self.last_used_at = Some(now);
        self.own_requests = self.own_requests.saturating_sub(1);
        self.sent_since_update -= 1;
        if self.own_requests == 0 {
            self.waiting_since = None;
        }
    }

    /// Records that bytes arrived.
    pub fn moved(&mut self, now: TimePoint) {
        self.last_byte_at = Some(now);
        self.last_used_at = Some(now);
        self.waiting_since = Some(now);
        self.suspect_until = None;
    }

    /// Whether bytes have arrived after `at`.
    pub fn has_moved_after(&self, at: TimePoint) -> bool {
        self.last_byte_at.is_some_and(|byte| byte > at)
    }

    /// Records that the first part of an answer arrived `took` after the request.
    pub fn first_part(&mut self, now: TimePoint, took: Duration) {
        let took = took.as_secs_f64();
        let known = self.recent_first_part(now).unwrap_or(took);
        self.smoothed_first_part = Some((now, known + (took - known) * FIRST_PART_WEIGHT));
    }

    /// Smoothed time to the first part of an answer, in seconds; `None` without a recent one.
    pub fn recent_first_part(&self, now: TimePoint) -> Option<f64> {
        self.smoothed_first_part
            .filter(|(at, _)| now.since(*at) < FIRST_PART_VALIDITY)
            .map(|(_, took)| took)
    }

    /// Records the load that the target reported.
    pub fn sample(&mut self, now: TimePoint, sample: LoadSample) {
        let total = f64::from(sample.running + sample.waiting);
        self.self_reported_at = Some(now);
        self.set_others(now, (total - f64::from(self.own_requests)).max(0.0));
    }

    /// Records the leader's total of the requests that all other entries have there.
    ///
    /// With many entries in front of the groups of a model, each entry gets an answer from a given
    /// group only every few seconds. The load in such an answer is outdated by the time of the next
    /// request, and full groups would get as many requests as empty ones.
    pub fn record_others(&mut self, now: TimePoint, others: u32) {
        if self.self_reported_at.is_none_or(|at| now.since(at) >= SELF_REPORT_PRECEDENCE) {
            self.set_others(now, f64::from(others));
        }
    }

    fn set_others(&mut self, now: TimePoint, others: f64) {
        self.others = others;
        self.others_updated_at = Some(now);
        self.sent_since_update = 0;
    }

    /// Estimated number of requests that the target runs and holds.
    pub fn total(&self, now: TimePoint) -> f64 {
        f64::from(self.own_requests) + self.current_other_requests(now)
    }

    /// Number of requests that this entry may send now to a target with `slots` slots: its part
    /// `fraction` of the free capacity, minus what it sent since it learned the load. A fraction is
    /// the probability of one more request.
    pub fn free_share(&self, now: TimePoint, slots: f64, fraction: f64) -> f64 {
        let share = FREE_CAPACITY_PART * fraction;
        let sent_since_update = f64::from(self.sent_since_update);
        let known_total = self.total(now) - sent_since_update;
        (slots - known_total) * share - sent_since_update
    }

    /// Time since the load of the other entries became known; `None` if it never was.
    pub fn known_age(&self, now: TimePoint) -> Option<Duration> {
        self.others_updated_at.map(|at| now.since(at))
    }

    /// Time that a request of this entry has waited without a byte; `None` if none waits.
    pub fn silence(&self, now: TimePoint) -> Option<Duration> {
        self.waiting_since.map(|since| now.since(since))
    }

    /// Whether to report the target to the leader: it is in use, or was until recently.
    pub fn needs_report(&self, now: TimePoint) -> bool {
        let lately = self.last_used_at.is_some_and(|at| now.since(at) < REPORTED_AFTER_USE);
        self.own_requests > 0 || lately || self.is_suspect(now)
    }

    /// Whether it is currently not to be chosen.
    pub fn is_suspect(&self, now: TimePoint) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    fn current_other_requests(&self, now: TimePoint) -> f64 {
        let Some(updated_at) = self.others_updated_at else { return 0.0 };
        let stale = now.since(updated_at).saturating_sub(OTHERS_FRESH_FOR);
        let halves = stale.as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64();
        self.others * 0.5_f64.powf(halves)
    }
}
