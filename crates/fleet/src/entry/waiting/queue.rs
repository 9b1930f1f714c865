//! The queue of one entry over all models.

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};

use super::model_queue::ModelQueue;
use super::request::{
    CheckCause, RefusedWait, TurnOutcome, WaitBounds, WaitRank, WaitRefusal, WaitRequest,
    WaitTicket, WaitingRequest,
};
use crate::entry::CompletionRate;

/// Key of a model: its service and its name.
type ModelKey = (ServiceName, String);

/// Requests that wait at one entry.
#[derive(Debug)]
pub struct WaitQueue {
    bounds: WaitBounds,
    models: SortedTable<ModelKey, ModelQueue>,
    next_ticket: WaitTicket,
    /// Requests that wait, over all models.
    waiting: usize,
    /// Total size of their bodies.
    body_bytes: usize,
    /// Requests that were refused while they waited and whose callers have not been told.
    refused: Vec<RefusedWait>,
}

impl WaitQueue {
    /// Creates an empty queue with `bounds`.
    pub fn new(bounds: WaitBounds) -> Self {
        Self {
            bounds,
            models: SortedTable::new(),
            next_ticket: WaitTicket::default(),
            waiting: 0,
            body_bytes: 0,
            refused: Vec::new(),
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Total size of the bodies of the requests that wait, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Whether a request has to join the queue without a choice of its own, since one of its rank or
    /// a higher rank waits for the same model.
    pub fn must_join(
        &self,
        service: &ServiceName,
        model: &str,
        priority: u8,
        returned: bool,
    ) -> bool {
        let rank = WaitRank::new(priority, returned);
        !self.is_empty() && self.model(service, model).is_some_and(|queue| queue.precedes(rank))
    }

    /// Adds a request; [`Self::next_turn`] gives it its turns. A full queue refuses requests of a lower
    /// rank for it, which [`Self::take_refused`] returns.
    ///
    /// # Errors
    /// A `WaitRefusal` if the request would not be reached within its limit, or the queue is full.
    pub fn offer(
        &mut self,
        now: TimePoint,
        rate: &CompletionRate,
        request: &WaitRequest<'_>,
    ) -> Result<WaitTicket, WaitRefusal> {
        let ticket = WaitTicket(self.next_ticket.0 + 1);
        let newcomer = WaitingRequest {
            ticket,
            rank: WaitRank::new(request.priority, request.returned),
            team: request.team.cloned(),
            group_ms: request.group_ms,
            body_bytes: request.body_bytes,
            expires_at: now.after(request.max_wait),
        };
        let key = (request.service.clone(), request.model.to_owned());
        let per_second = rate.per_second(now, request.service, request.model);
        let queue = self.models.get_or_insert_with(key.clone(), ModelQueue::default);
        if !queue.is_reachable(now, &newcomer, per_second) {
            return Err(WaitRefusal::TooLate);
        }
        let displaced = self.displaceable(&key, &newcomer).ok_or(WaitRefusal::QueueFull)?;
        for ticket in displaced {
            self.refuse(ticket, WaitRefusal::Displaced);
        }
        self.next_ticket = ticket;
        self.waiting += 1;
        self.body_bytes += newcomer.body_bytes;
        self.models.get_or_insert_with(key, ModelQueue::default).push(newcomer, request.tried);
        Ok(ticket)
    }

    /// Begins a check of the queue: requests may take turns again, as far as `cause` allows.
    pub fn begin_check(&mut self, cause: CheckCause<'_>) {
        for ((service, model), queue) in self.models.iter_mut() {
            queue.begin_check(match cause {
                CheckCause::Ended { service: ended, model: name } => {
                    (service, &**model) == (ended, name)
                }
                CheckCause::Loads => true,
                CheckCause::Tick => false,
            });
        }
    }

    /// Gives a request its turn to choose a target and returns its ticket. [`Self::settle`] or
    /// [`Self::cancel`] must follow; until then no other request for its model gets a turn.
    pub fn next_turn(&mut self) -> Option<WaitTicket> {
        self.models.values_mut().find_map(ModelQueue::next_turn)
    }

    /// Ends the turn of `ticket`. Without capacity, it keeps its place.
    pub fn settle(&mut self, ticket: WaitTicket, outcome: TurnOutcome) {
        let left = self.models.values_mut().find_map(|queue| queue.settle(ticket, outcome));
        self.count_left(left);
    }

    /// Removes a request whose caller has disconnected; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: WaitTicket) -> bool {
        let left = self.models.values_mut().find_map(|queue| queue.remove(ticket));
        self.count_left(left).is_some()
    }

    /// Refuses requests that have reached their limits, or can no longer be reached within them.
    pub fn expire(&mut self, now: TimePoint, rate: &CompletionRate) {
        let unreachable = |((service, model), queue): (&ModelKey, &ModelQueue)| {
            queue.unreachable(now, rate.per_second(now, service, model))
        };
        let waiting = self.models.iter().filter(|(_, queue)| !queue.requests.is_empty());
        let late: Vec<WaitTicket> = waiting.flat_map(unreachable).collect();
        for ticket in late {
            self.refuse(ticket, WaitRefusal::TooLate);
        }
    }

    /// Refuses the requests for models that are no longer served, according to `serves`.
    pub fn refuse_unserved(&mut self, serves: impl Fn(&ServiceName, &str) -> bool) {
        let unserved = self.models.iter().filter(|((service, model), queue)| {
            !queue.requests.is_empty() && !serves(service, model)
        });
        let requests = unserved.flat_map(|(_, queue)| &queue.requests);
        let lost: Vec<WaitTicket> = requests.map(|request| request.ticket).collect();
        for ticket in lost {
            self.refuse(ticket, WaitRefusal::NoReplica);
        }
    }

    /// Returns the requests that were refused while they waited, each of them once.
    pub fn take_refused(&mut self) -> Vec<RefusedWait> {
        std::mem::take(&mut self.refused)
    }

    fn model(&self, service: &ServiceName, model: &str) -> Option<&ModelQueue> {
        let wanted = (service.as_str(), model);
        self.models.find(|(service, model)| (service.as_str(), &**model).cmp(&wanted))
    }

    fn refuse(&mut self, ticket: WaitTicket, refusal: WaitRefusal) {
        if self.cancel(ticket) {
            self.refused.push(RefusedWait { ticket, refusal });
        }
    }

    fn count_left(&mut self, left: Option<WaitingRequest>) -> Option<WaitingRequest> {
        if let Some(request) = &left {
            self.waiting -= 1;
            self.body_bytes -= request.body_bytes;
        }
        left
    }

    /// Requests that have to leave so that `newcomer` fits; `None` if too few rank below it.
    fn displaceable(&self, key: &ModelKey, newcomer: &WaitingRequest) -> Option<Vec<WaitTicket>> {
        let WaitBounds { requests, body_bytes } = self.bounds;
        let mut waiting = self.waiting + 1;
        let mut bytes = self.body_bytes + newcomer.body_bytes;
        let mut displaced = Vec::new();
        if waiting <= requests && bytes <= body_bytes {
            return Some(displaced);
        }
        let own_standing = self.models.get(key)?.standing(newcomer);
        let queues = self.models.values();
        let mut others: Vec<(Standing, usize)> = queues
            .flat_map(|queue| {
                let standing = |other| (queue.standing(other), other.body_bytes);
                queue.requests.iter().map(standing)
            })
            .filter(|(standing, _)| own_standing.is_above(standing))
            .collect();
        others.sort_by(|(one, _), (other, _)| one.compare(other));
        while waiting > requests || bytes > body_bytes {
            let (lowest, size) = others.pop()?;
            displaced.push(lowest.ticket);
            waiting -= 1;
            bytes -= size;
        }
        Some(displaced)
    }
}

/// What decides which request a full queue keeps: its rank, then how much work of its team waits
/// before it, so that a team with many requests loses its own.
#[derive(Debug, Clone, Copy)]
struct Standing {
    rank: WaitRank,
    /// Work of the same team that waits for the same model before it, in milliseconds of a group.
    backlog_ms: f64,
    ticket: WaitTicket,
}

impl Standing {
    /// Whether it is kept rather than `other`; age alone displaces nobody.
    fn is_above(&self, other: &Self) -> bool {
        self.rank.cmp(&other.rank).then(self.backlog_ms.total_cmp(&other.backlog_ms)).is_lt()
    }

    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_work = self.rank.cmp(&other.rank).then(self.backlog_ms.total_cmp(&other.backlog_ms));
        by_work.then(self.ticket.cmp(&other.ticket))
    }
}

impl ModelQueue {
    fn standing(&self, request: &WaitingRequest) -> Standing {
        let backlog_ms = self.backlog_before(request.team.as_ref(), request.ticket);
        Standing { rank: request.rank, backlog_ms, ticket: request.ticket }
    }
}
