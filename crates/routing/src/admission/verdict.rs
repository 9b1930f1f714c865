//! Requests to an admission queue and its answers.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{ServiceName, TeamName};
use briartray_model::rules::AdmitAction;

use super::limit::LimitKey;

/// Minimum retry time given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Maximum retry time; the load further ahead cannot be predicted.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Identifies one request at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TicketNumber(pub u64);

/// A request for admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Requested service.
    pub service: &'a ServiceName,
    /// Team of the caller.
    pub team: &'a TeamName,
    /// Admission parameters from the rules.
    pub action: &'a AdmitAction,
    /// Limit that applies to the request, if any.
    pub limit: Option<&'a LimitKey>,
    /// Deadline of the caller.
    pub deadline: TimePoint,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The team has as many waiting requests as its rule allows.
    TeamQueueFull,
    /// The entry holds as many requests as it can, and the team has its share of them.
    EntryFull,
    /// The request would miss its deadline.
    TooLate,
    /// The service has no whole replica.
    NoReplica,
}

/// Refusal of a request that was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Reason of the refusal.
    pub cause: RefusalCause,
    /// Time after which a retry is worthwhile.
    pub retry_after: Duration,
}

/// Outcome for a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// The request runs now; [`AdmissionQueue::finish`](super::AdmissionQueue::finish) or
    /// [`AdmissionQueue::requeue`](super::AdmissionQueue::requeue) must follow.
    Run,
    /// The request is refused and removed from the queue.
    Refuse(AdmissionRefusal),
}

/// Verdict on one waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionOutput {
    /// The request.
    pub ticket: TicketNumber,
    /// Its outcome.
    pub verdict: AdmissionVerdict,
}

/// Refusal because no replica is whole.
pub(super) fn no_replica() -> AdmissionRefusal {
    refuse(RefusalCause::NoReplica, 1.0)
}

/// Refusal with a retry time of `wait` seconds, limited to the allowed range.
pub(super) fn refuse(cause: RefusalCause, wait: f64) -> AdmissionRefusal {
    let wait = Duration::from_secs_f64(wait.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()));
    AdmissionRefusal { cause, retry_after: wait.max(MIN_RETRY_AFTER) }
}
