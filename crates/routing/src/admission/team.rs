//! Requests of one team that wait for one service.

use std::collections::VecDeque;

use briartray_model::TimePoint;

use super::limit::LimitKey;
use super::verdict::TicketNumber;

/// One waiting request.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub(super) ticket: TicketNumber,
    pub(super) priority: u8,
    pub(super) arrived: TimePoint,
    pub(super) deadline: TimePoint,
    pub(super) limit: Option<LimitKey>,
}

/// Waiting requests of one team: higher priority first, then in order of arrival.
#[derive(Debug, Default)]
pub(super) struct TeamQueue {
    pub(super) weight: f64,
    /// Virtual time at which what was dispatched so far is paid for.
    pub(super) paid_until: f64,
    /// Number of its last dispatch.
    pub(super) served: u64,
    pub(super) waiting: VecDeque<WaitingRequest>,
}

impl TeamQueue {
    /// Requests that would be served before one of `priority` that comes now.
    pub(super) fn ahead_of(&self, priority: u8) -> usize {
        self.waiting.partition_point(|request| request.priority >= priority)
    }

    /// Requests of a priority over `priority`.
    pub(super) fn above(&self, priority: u8) -> usize {
        self.waiting.partition_point(|request| request.priority > priority)
    }

    /// Puts `request` behind those that came before it.
    pub(super) fn push(&mut self, request: WaitingRequest) {
        let place = self.waiting.partition_point(|other| {
            (u8::MAX - other.priority, other.ticket) < (u8::MAX - request.priority, request.ticket)
        });
        self.waiting.insert(place, request);
    }

    /// Takes the request with `ticket` out.
    pub(super) fn remove(&mut self, ticket: TicketNumber) -> Option<WaitingRequest> {
        let place = self.waiting.iter().position(|request| request.ticket == ticket)?;
        self.waiting.remove(place)
    }
}
