//! Timeout after which an entry leaves a control host that gives no useful answer to its reports.
//!
//! A control host may be reachable but cut off from the other control hosts: it names no leader, or
//! one that has failed. An entry that accepted any notice from it as an answer would stay with it,
//! under outdated rules, until its lease ends, although another host leads.

use std::time::Duration;

use briartray_model::TimePoint;

use crate::message::EntryNotice;

/// Time that a report may wait for its answer. An election takes up to a second. A host that leads
/// confirms its leadership within two network trips and a disk sync, and sends other notices
/// meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that a host in a search may send nothing at all, in the first round: several network trips
/// between nearby zones. It doubles with each round, so that answers from distant regions arrive as
/// well.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of rounds after which the timeout of a search no longer grows.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// Timeout for an answer of one control host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimeout {
    waiting_since: Option<TimePoint>,
    timeout: Duration,
}

impl AnswerTimeout {
    /// Starts at `now`, for a host that is said to be the leader.
    pub fn new(now: TimePoint) -> Self {
        Self { waiting_since: Some(now), timeout: ANSWER_TIMEOUT }
    }

    /// Starts at `now`, for the next host of a search, after `rounds` rounds in which no known host
    /// was the leader.
    ///
    /// After a restart of the whole deployment, hosts start about half a second apart, and one
    /// without power does not answer at all. Entries that waited for a connect timeout on each such
    /// host found the leader long after its election, while callers waited.
    pub fn searching(now: TimePoint, rounds: u32) -> Self {
        let timeout = SEARCH_TIMEOUT * (1 << rounds.min(MAX_TIMEOUT_DOUBLINGS));
        Self { waiting_since: Some(now), timeout: timeout.min(ANSWER_TIMEOUT) }
    }

    /// Records that a report was sent.
    pub fn report_sent(&mut self, now: TimePoint) {
        self.waiting_since.get_or_insert(now);
    }

    /// Processes a notice. Only a notice of a leader counts as an answer; any other one shows that
    /// the host is up and will name the next leader as soon as there is one.
    pub fn response_received(&mut self, notice: &EntryNotice) {
        self.timeout = ANSWER_TIMEOUT;
        if notice.nonce.is_some() || notice.leads {
            self.waiting_since = None;
        }
    }

    /// Whether the entry should try another control host.
    pub fn is_expired(&self, now: TimePoint) -> bool {
        self.waiting_since.is_some_and(|since| now.since(since) >= self.timeout)
    }
}
