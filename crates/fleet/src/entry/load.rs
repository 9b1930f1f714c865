//! What one entry knows of the load of one target.
//!
//! The target tells its load with each answer, with this entry's own requests in it. The rest is
//! the other entries' load, and the own requests, known exactly, are added. The last answer counts
//! alone: smoothed over several, the figure lagged a second behind, every entry found room in the
//! same full group, and requests waited for a second there instead of being refused at once.

use std::time::Duration;

use briartray_model::TimePoint;

/// Part of a target's free room that one entry may fill before it is told its load again, in
/// entries' equal parts. With more than that the entries together send more than a group has room for,
/// and the surplus waits there.
const ROOM_SHARE: f64 = 1.0;

/// Weight of a new time to the first part in the smoothed one.
const FIRST_WEIGHT: f64 = 0.25;

/// Time for which the smoothed one counts: then the target is tried as any other.
const FIRST_LASTS: Duration = Duration::from_millis(2_500);

/// Time for which what was told of the others counts in full: under load an entry gets three
/// answers a second from each group.
const FRESH: Duration = Duration::from_millis(1_000);

/// Time after that in which it loses half its weight.
const HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Age up to which what a target told itself counts for more than what the leader sums up, whose
/// parts are this old on average: one wait for the next report of each entry.
const TOLD_ITSELF: Duration = Duration::from_millis(250);

/// Time for which a target that is no longer used is told of: four reports.
const TOLD_AFTERWARDS: Duration = Duration::from_millis(1_000);

/// Load that a target told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests it runs at one time.
    pub slots: u32,
}

/// Load of one target as one entry knows it.
#[derive(Debug, Clone, Default)]
pub struct TargetLoad {
    /// Requests of this entry.
    pub own: u32,
    others: f64,
    /// When `others` was learnt.
    sampled: Option<TimePoint>,
    /// When the target told its load itself.
    told_itself: Option<TimePoint>,
    /// Requests that were sent since its load was told, less those that ended.
    grown: i32,
    /// When a request of this entry was sent there or ended, or a byte came.
    touched: Option<TimePoint>,
    /// Last byte that came from it.
    pub moved: Option<TimePoint>,
    first: Option<(TimePoint, f64)>,
    /// Oldest moment since which something of this entry waits without a byte.
    pub waiting_since: Option<TimePoint>,
    /// Silence after which it most likely stands still.
    pub silence_limit: Option<Duration>,
    /// Not chosen before this moment, since it does not answer.
    pub suspect_until: Option<TimePoint>,
}

impl TargetLoad {
    /// A request was sent.
    pub fn begin(&mut self, now: TimePoint) {
        if self.own == 0 {
            self.waiting_since = Some(now);
        }
        self.own += 1;
        self.grown += 1;
        self.touched = Some(now);
    }

    /// A request ended.
    pub fn end(&mut self, now: TimePoint) {
        self.touched = Some(now);
        self.own = self.own.saturating_sub(1);
        self.grown -= 1;
        if self.own == 0 {
            self.waiting_since = None;
        }
    }

    /// Bytes came.
    pub fn moved(&mut self, now: TimePoint) {
        self.moved = Some(now);
        self.touched = Some(now);
        self.waiting_since = Some(now);
        self.suspect_until = None;
    }

    /// The first part of an answer came after `took`.
    pub fn first_part(&mut self, now: TimePoint, took: Duration) {
        let took = took.as_secs_f64();
        let known = self.first_now(now).unwrap_or(took);
        self.first = Some((now, known + (took - known) * FIRST_WEIGHT));
    }

    /// Time to the first part of an answer lately, in seconds.
    pub fn first_now(&self, now: TimePoint) -> Option<f64> {
        self.first.filter(|(at, _)| now.since(*at) < FIRST_LASTS).map(|(_, took)| took)
    }

    /// The target told its load.
    pub fn sample(&mut self, now: TimePoint, sample: LoadSample) {
        let total = f64::from(sample.running + sample.waiting);
        self.told_itself = Some(now);
        self.learn_others(now, (total - f64::from(self.own)).max(0.0));
    }

    /// The leader told what all other entries have there.
    ///
    /// Load pattern: so many entries before the groups of a model that each has an answer of a group every
    /// few seconds. What such an answer told is long out of date when the next request is sent, and full
    /// groups get as many as empty ones.
    pub fn told_of_others(&mut self, now: TimePoint, others: u32) {
        if self.told_itself.is_none_or(|at| now.since(at) >= TOLD_ITSELF) {
            self.learn_others(now, f64::from(others));
        }
    }

    fn learn_others(&mut self, now: TimePoint, others: f64) {
        self.others = others;
        self.sampled = Some(now);
        self.grown = 0;
    }

    /// Requests it runs and holds, as far as is known.
    pub fn total(&self, now: TimePoint) -> f64 {
        f64::from(self.own) + self.others_now(now)
    }

    /// Requests that this entry may send to a target of `slots` now, one of `entries` that share
    /// it: its part of the room, less what it has sent since it was told of it. A part of a request
    /// is the chance of one.
    pub fn room(&self, now: TimePoint, slots: f64, entries: usize) -> f64 {
        let share = ROOM_SHARE / entries.max(1) as f64;
        let grown = f64::from(self.grown);
        let told = self.total(now) - grown;
        (slots - told) * share - grown
    }

    /// Time without a byte while something of this entry waits.
    pub fn silence(&self, now: TimePoint) -> Option<Duration> {
        self.waiting_since.map(|since| now.since(since))
    }

    /// Whether there is something to tell the leader of it: what it is used for, or that this ended.
    pub fn is_news(&self, now: TimePoint) -> bool {
        let lately = self.touched.is_some_and(|at| now.since(at) < TOLD_AFTERWARDS);
        self.own > 0 || lately || self.is_suspect(now)
    }

    /// Whether it is left alone for now.
    pub fn is_suspect(&self, now: TimePoint) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    fn others_now(&self, now: TimePoint) -> f64 {
        let Some(sampled) = self.sampled else { return 0.0 };
        let stale = now.since(sampled).saturating_sub(FRESH);
        let halves = stale.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.others * 0.5_f64.powf(halves)
    }
}
