//! Interval between an entry's reports to the leader.
//!
//! What entries observe of groups has to be recent, but each report costs the leader the same time,
//! however many entries there are. So the interval grows with the number of entries. Entries that
//! wait for a leader report more often, since a control host that is not the leader names the new
//! one in its answer. Entries without an answer back off; otherwise hundreds of them would keep an
//! overloaded leader from catching up.

use std::time::Duration;

/// Shortest interval: observations must be more recent than the silence after which a group is
/// considered stopped.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Part of a leader's time that each entry's report may take.
const LEADER_TIME_PER_REPORT: Duration = Duration::from_micros(2_500);

/// Interval while callers wait for a leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// Number of consecutive unanswered reports after which the interval grows by [`RETRY_INTERVAL`].
/// An election takes as long as the first few.
const REPORTS_PER_BACKOFF_STEP: u32 = 8;

/// Longest interval between unanswered reports.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Returns the interval between reports of each of `entries` entries that hold a lease.
pub fn report_interval(entries: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(LEADER_TIME_PER_REPORT * u32::try_from(entries).unwrap_or(u32::MAX))
}

/// Returns the time until the next report of an entry without a lease, after `unanswered` reports
/// in a row had no answer.
pub fn retry_interval(unanswered: u32) -> Duration {
    (RETRY_INTERVAL * (1 + unanswered / REPORTS_PER_BACKOFF_STEP)).min(MAX_RETRY_INTERVAL)
}
