//! Queue of the requests of one team that wait for one service.

use std::collections::VecDeque;

use briartray_model::TimePoint;

use super::limit::LimitKey;
use super::verdict::TicketNumber;

/// A waiting request.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub(super) ticket: TicketNumber,
    pub(super) priority: u8,
    pub(super) arrived: TimePoint,
    pub(super) deadline: TimePoint,
    pub(super) limit: Option<LimitKey>,
}

/// Waiting requests of one team, by descending priority and then by arrival.
#[derive(Debug, Default)]
pub(super) struct TeamQueue {
    pub(super) weight: f64,
    /// Virtual time up to which the dispatched requests are charged (the finish tag of fair
    /// queueing).
    pub(super) finish_tag: f64,
    /// Sequence number of the team's last dispatch.
    pub(super) last_dispatch: u64,
    pub(super) waiting: VecDeque<WaitingRequest>,
}

impl TeamQueue {
    /// Number of requests that would be served before a new one of `priority`.
    pub(super) fn count_ahead(&self, priority: u8) -> usize {
        self.waiting.partition_point(|request| request.priority >= priority)
    }

    /// Number of requests with a priority higher than `priority`.
    pub(super) fn count_above(&self, priority: u8) -> usize {
        self.waiting.partition_point(|request| request.priority > priority)
    }

    /// Inserts `request` by priority and then by ticket number.
    pub(super) fn push(&mut self, request: WaitingRequest) {
        let position = self.waiting.partition_point(|other| {
            (u8::MAX - other.priority, other.ticket) < (u8::MAX - request.priority, request.ticket)
        });
        self.waiting.insert(position, request);
    }

    /// Removes and returns the request with `ticket`.
    pub(super) fn remove(&mut self, ticket: TicketNumber) -> Option<WaitingRequest> {
        let position = self.waiting.iter().position(|request| request.ticket == ticket)?;
        self.waiting.remove(position)
    }
}
