//! Crashes as reported to a leader, and how many of them have separate causes.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::IncarnationId;

/// Time for which a crash counts.
pub(super) const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);

/// Crashes at least this far apart count separately, regardless of when their runs began. A rack
/// that loses power takes down many endpoints at once, and a popular request may run on several of
/// them.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(250);

/// Tolerance for the start of a run: ages are reported in whole milliseconds.
const START_TOLERANCE: Duration = Duration::from_millis(3);

/// Largest ratio of running times that count as alike.
const ALIKE_FACTOR: f64 = 1.25;

/// Difference of running times that always counts as alike.
const ALIKE_TOLERANCE: Duration = Duration::from_millis(50);

/// A crash of an endpoint during a run.
#[derive(Debug, Clone)]
pub(super) struct ReportedCrash {
    pub(super) at: TimePoint,
    /// Start of the run that ended in the crash.
    pub(super) started_at: TimePoint,
    pub(super) endpoint: IncarnationId,
}

/// Counts the crashes with separate causes: those far apart in time, or whose run began after the
/// previous crash. `crashes` are ordered by time.
pub(super) fn count_distinct<'a>(crashes: impl Iterator<Item = &'a ReportedCrash>) -> usize {
    let mut counted: Option<TimePoint> = None;
    let mut distinct_crashes = 0;
    for crash in crashes {
        let is_distinct = |last| {
            crash.at.since(last) >= MIN_CRASH_INTERVAL
                || crash.started_at.after(START_TOLERANCE) >= last
        };
        if counted.is_none_or(is_distinct) {
            counted = Some(crash.at);
            distinct_crashes += 1;
        }
    }
    distinct_crashes
}

/// Whether the runs that ended in `crashes` took about the same time: the longest at most
/// `ALIKE_FACTOR` times as long as the shortest, or `ALIKE_TOLERANCE` longer.
pub(super) fn ran_alike(crashes: &[ReportedCrash]) -> bool {
    let times = || crashes.iter().map(|crash| crash.at.since(crash.started_at));
    let (Some(shortest), Some(longest)) = (times().min(), times().max()) else { return false };
    longest <= shortest.mul_f64(ALIKE_FACTOR).max(shortest + ALIKE_TOLERANCE)
}

/// The time `age` before `now`, on a clock shifted forward by the lifetime of a crash. A new leader
/// learns of events from before its own clock began, whose times would otherwise be negative.
pub(super) fn time_before(now: TimePoint, age: Duration) -> TimePoint {
    let ahead = EVIDENCE_LIFETIME.saturating_sub(age);
    now.after(ahead)
}
