//! What is asked of an admission queue and what it answers.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{ServiceName, TeamName};
use briartray_model::rules::AdmitAction;

use super::limit::LimitKey;

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Longest such time; what lies further ahead is not known.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// One request at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TicketNumber(pub u64);

/// What asks to be let in.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Service wanted.
    pub service: &'a ServiceName,
    /// Team of the caller.
    pub team: &'a TeamName,
    /// How rules let it in.
    pub action: &'a AdmitAction,
    /// Limit it falls under.
    pub limit: Option<&'a LimitKey>,
    /// When the caller's time is over.
    pub deadline: TimePoint,
}

/// Why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// As many requests of the team wait as its rule allows.
    TeamQueueFull,
    /// The entry holds as many requests as it can, and this team has its share of them.
    EntryFull,
    /// It would not be done before its deadline.
    TooLate,
    /// The service has no whole replica.
    NoReplica,
}

/// A refusal; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// When it is worth coming back.
    pub retry_after: Duration,
}

/// What became of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It runs now; `finish` or `requeue` must follow.
    Run,
    /// It was given up.
    Refuse(AdmissionRefusal),
}

/// A verdict on one waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionOutput {
    /// Which request.
    pub ticket: TicketNumber,
    /// What becomes of it.
    pub verdict: AdmissionVerdict,
}

/// Refusal where no replica is whole.
pub(super) fn no_replica() -> AdmissionRefusal {
    refuse(RefusalCause::NoReplica, 1.0)
}

/// Refusal with the time in seconds after which it is worth coming back.
pub(super) fn refuse(cause: RefusalCause, wait: f64) -> AdmissionRefusal {
    let wait = Duration::from_secs_f64(wait.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()));
    AdmissionRefusal { cause, retry_after: wait.max(MIN_RETRY_AFTER) }
}
