//! How often an entry reports to the leader.
//!
//! What entries see of groups has to be fresh, and each report costs the leader the same however many entries
//! there are. So they share what a leader can take. Entries that wait for news ask more often, since a
//! control host that does not lead names the new leader in its next answer; those that get no answer ask
//! less and less often, or hundreds of them would keep a leader that has fallen behind from catching up.

use std::time::Duration;

/// Time between two reports of one of few entries: what they see must be fresher than the time after which
/// a silent group is given up.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Part of a leader's time that each entry is given between two of its reports.
const REPORT_SHARE: Duration = Duration::from_micros(2_500);

/// Time between two reports while callers wait for news.
const ASK_AGAIN: Duration = Duration::from_millis(80);

/// Reports in a row without an answer after which the next ones come later by [`ASK_AGAIN`]. An election
/// takes as long as the first few.
const PATIENT_AFTER: u32 = 8;

/// Longest time between two reports that are not answered.
const ASK_SLOWEST: Duration = Duration::from_millis(400);

/// Time between two reports of each of `entries` that are in touch.
pub fn report_pause(entries: usize) -> Duration {
    REPORT_EVERY.max(REPORT_SHARE * u32::try_from(entries).unwrap_or(u32::MAX))
}

/// Time until the next report of an entry that is not in touch, after `unanswered` ones in a row.
pub fn ask_pause(unanswered: u32) -> Duration {
    (ASK_AGAIN * (1 + unanswered / PATIENT_AFTER)).min(ASK_SLOWEST)
}
