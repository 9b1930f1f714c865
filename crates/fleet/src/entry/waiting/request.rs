//! Requests to the queue, and its answers.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{ServiceName, TeamName};

/// Identifies a waiting request at one entry; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WaitTicket(pub u64);

/// Bounds on what one entry lets wait, over all models.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitBounds {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum total size of their bodies, in bytes.
    pub body_bytes: usize,
}

/// A request that found no capacity.
#[derive(Debug, Clone, Copy)]
pub struct WaitRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Model of the request.
    pub model: &'a str,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether its caller was refused before.
    pub returned: bool,
    /// Team of the caller; requests without a team share one place in fair queueing.
    pub team: Option<&'a TeamName>,
    /// Time of a whole group that the request takes, in milliseconds.
    pub group_ms: f64,
    /// Size of its body, in bytes.
    pub body_bytes: usize,
    /// Longest time that it may wait.
    pub max_wait: Duration,
    /// Outcome of the choice that it has just made; `None` if it joins without one.
    pub tried: Option<TurnOutcome>,
}

/// Why a request does not wait, or does not wait any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitRefusal {
    /// The queue holds as many requests or bytes as it may, none of them of a lower rank.
    QueueFull,
    /// A request of a higher rank took its place in a full queue.
    Displaced,
    /// Its wait would exceed its limit, or has exceeded it.
    TooLate,
    /// The last group that served its model was lost.
    NoReplica,
}

impl WaitRefusal {
    /// Stable code of the cause, for log lines.
    pub fn code(self) -> &'static str {
        match self {
            Self::QueueFull | Self::Displaced => "queue_full",
            Self::TooLate => "too_late",
            Self::NoReplica => "no_replica",
        }
    }
}

/// Refusal of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedWait {
    /// The request.
    pub ticket: WaitTicket,
    /// Why it is refused.
    pub refusal: WaitRefusal,
}

/// Outcome of the turn of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnOutcome {
    /// It found a target and leaves the queue.
    Sent,
    /// All targets are at capacity. The others of its model would find the same, so they try only
    /// after capacity has changed.
    NoSlot,
    /// Targets have free slots, but the request would be late or would make others late. A smaller
    /// request may still be on time.
    Late,
    /// It was refused for another reason than capacity and leaves the queue.
    Refused,
}

/// Why the queue is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckCause<'a> {
    /// An own request for `model` of `service` ended, so there may be capacity for another.
    Ended {
        /// Service of the request.
        service: &'a ServiceName,
        /// Model of the request.
        model: &'a str,
    },
    /// The leader reported loads: there may be capacity for any model.
    Loads,
    /// Time has passed, which only changes forecasts.
    Tick,
}

/// A request in the queue.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub(super) ticket: WaitTicket,
    pub(super) rank: WaitRank,
    pub(super) team: Option<TeamName>,
    pub(super) group_ms: f64,
    pub(super) body_bytes: usize,
    pub(super) expires_at: TimePoint,
}

/// Rank of a request, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitRank {
    priority: u8,
    /// A new caller can still be on time, and one that returned cannot: with returned callers
    /// first, a burst leaves all slots to them, and new callers are refused and return in turn.
    returned: bool,
}

impl WaitRank {
    pub(super) fn new(priority: u8, returned: bool) -> Self {
        Self { priority, returned }
    }

    /// Whether a request of `other` finds no slot where one of this rank found none: only returned
    /// callers may use fewer slots than others.
    pub(super) fn is_full_for(self, other: Self) -> bool {
        other.returned || !self.returned
    }
}
