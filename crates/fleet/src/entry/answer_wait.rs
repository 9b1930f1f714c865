//! How long an entry stays with a control host that does not answer its reports.
//!
//! A control host may be reachable and know nothing: cut off from the others, it names no leader, or one that
//! is gone. An entry that took any word of it for an answer would stay there under old rules until its lease
//! ends, while a leader waits elsewhere.

use std::time::Duration;

use briartray_model::TimePoint;

use crate::message::EntryNotice;

/// Time for which a report may wait for its answer. An election takes up to a second; a host that leads
/// confirms within two ways and a sync, and tells its news meanwhile.
const PATIENCE: Duration = Duration::from_millis(700);

/// Time for which a host that is tried in turn may give no word at all, in the first round: several ways
/// between near zones. It doubles with each round, so that answers from far regions are waited for as well.
const SEARCH_PATIENCE: Duration = Duration::from_millis(60);

/// Rounds after which the patience of a search grows no more.
const SEARCH_ROUNDS: u32 = 4;

/// The wait for an answer of one control host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerWait {
    since: Option<TimePoint>,
    patience: Duration,
}

impl AnswerWait {
    /// A conversation with a host that is said to lead begins at `now`.
    pub fn new(now: TimePoint) -> Self {
        Self { since: Some(now), patience: PATIENCE }
    }

    /// A conversation with the next of the known hosts begins at `now`, after `rounds` in which none of them
    /// led.
    ///
    /// Load pattern: everything was stopped at once, and the hosts start again half a second apart. One that
    /// has no power yet answers nothing, and entries that waited out the time to connect for each of them
    /// found the leader long after it was elected, while callers waited.
    pub fn searching(now: TimePoint, rounds: u32) -> Self {
        let patience = SEARCH_PATIENCE * (1 << rounds.min(SEARCH_ROUNDS));
        Self { since: Some(now), patience: patience.min(PATIENCE) }
    }

    /// A report was sent.
    pub fn asked(&mut self, now: TimePoint) {
        self.since.get_or_insert(now);
    }

    /// A notice came: only what a leader says is an answer. A host that gives any other word is up, and learns
    /// of the next leader as soon as there is one.
    pub fn heard(&mut self, notice: &EntryNotice) {
        self.patience = PATIENCE;
        if notice.nonce.is_some() || notice.leads {
            self.since = None;
        }
    }

    /// Whether another control host is to be tried.
    pub fn is_over(&self, now: TimePoint) -> bool {
        self.since.is_some_and(|since| now.since(since) >= self.patience)
    }
}
