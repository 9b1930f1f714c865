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

/// The wait for an answer of one control host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerWait {
    since: Option<TimePoint>,
}

impl AnswerWait {
    /// A conversation begins at `now`.
    pub fn new(now: TimePoint) -> Self {
        Self { since: Some(now) }
    }

    /// A report was sent.
    pub fn asked(&mut self, now: TimePoint) {
        self.since.get_or_insert(now);
    }

    /// A notice came: only what a leader says is an answer.
    pub fn heard(&mut self, notice: &EntryNotice) {
        if notice.nonce.is_some() || notice.leads {
            self.since = None;
        }
    }

    /// Whether another control host is to be tried.
    pub fn is_over(&self, now: TimePoint) -> bool {
        self.since.is_some_and(|since| now.since(since) >= PATIENCE)
    }
}
