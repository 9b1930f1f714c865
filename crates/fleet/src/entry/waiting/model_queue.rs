//! Requests that wait for one model, and whose turn it is.

use briartray_model::TimePoint;
use briartray_model::names::TeamName;

use super::fairness::TeamCharges;
use super::request::{TurnOutcome, WaitRank, WaitTicket, WaitingRequest};

/// Maximum number of turns of one model between two checks. An entry has a fifth of a core, and a
/// choice looks at every group.
const MAX_TURNS_PER_CHECK: u32 = 8;

/// Places added to the expected ones when a request asks to wait: their number is rounded to the
/// nearest.
const ARRIVAL_SLACK_PLACES: f64 = 0.5;

/// Places added to the expected ones for a request that waits. It is larger than the value for
/// arrivals, so that a small change of the rate does not refuse a request right after it began to
/// wait, and the first in the order keeps its chance until its limit.
const WAITING_SLACK_PLACES: f64 = 1.0;

/// Requests that wait for one model, by ticket.
#[derive(Debug, Default)]
pub(super) struct ModelQueue {
    pub(super) requests: Vec<WaitingRequest>,
    charges: TeamCharges,
    /// The request that is choosing a target.
    turn: Option<WaitTicket>,
    /// Turns since the last check.
    turns: u32,
    /// Requests that would have been late since the last check.
    passed: Vec<WaitTicket>,
    /// Rank for which all targets were at capacity since the last change of it, if any. Other ranks
    /// may use slots that are kept from it.
    full_from: Option<WaitRank>,
}

impl ModelQueue {
    /// Whether a request of `rank` or a higher one waits for a slot. One that waits because it would
    /// be late holds up no other, which may be smaller.
    pub(super) fn precedes(&self, rank: WaitRank) -> bool {
        let waits_for_slot = |request: &WaitingRequest| {
            self.is_full_for(request.rank) || !self.passed.contains(&request.ticket)
        };
        self.requests.iter().any(|request| request.rank <= rank && waits_for_slot(request))
    }

    /// Whether all targets were at capacity for requests of `rank`.
    fn is_full_for(&self, rank: WaitRank) -> bool {
        self.full_from.is_some_and(|full| full.is_full_for(rank))
    }

    fn mark_full(&mut self, rank: WaitRank) {
        let broader = self.full_from.is_none_or(|full| !full.is_full_for(rank));
        if broader {
            self.full_from = Some(rank);
        }
    }

    /// Adds `request`, whose ticket is the newest; `tried` is the outcome of its own choice.
    pub(super) fn push(&mut self, request: WaitingRequest, tried: Option<TurnOutcome>) {
        if self.requests.is_empty() {
            // An empty queue is not checked, so what it knew of the capacity is outdated.
            self.begin_check(true);
        }
        match tried {
            Some(TurnOutcome::NoSlot) => self.mark_full(request.rank),
            Some(TurnOutcome::Late) => self.passed.push(request.ticket),
            _ => {}
        }
        if !self.waits(request.team.as_ref()) {
            self.charges.enter(request.team.as_ref());
        }
        self.requests.push(request);
    }

    /// Removes and returns the request with `ticket`.
    pub(super) fn remove(&mut self, ticket: WaitTicket) -> Option<WaitingRequest> {
        let position = self.requests.iter().position(|request| request.ticket == ticket)?;
        if self.turn == Some(ticket) {
            self.turn = None;
        }
        let removed = self.requests.remove(position);
        let requests = &self.requests;
        self.charges.remove_idle(|team| requests.iter().any(|other| other.team.as_ref() == team));
        Some(removed)
    }

    /// Allows new turns at a check. If all targets were at capacity, that requires `has_changed`: a
    /// sign that their load has changed.
    pub(super) fn begin_check(&mut self, has_changed: bool) {
        self.turns = 0;
        self.passed.clear();
        // A choice among nearly full targets is random, so repeating it without a change of capacity
        // would take more than this entry's share.
        if has_changed {
            self.full_from = None;
        }
    }

    /// Gives the next request its turn and returns its ticket; `None` if one is choosing, or none
    /// may before the next check.
    pub(super) fn next_turn(&mut self) -> Option<WaitTicket> {
        if self.turn.is_some() || self.turns >= MAX_TURNS_PER_CHECK {
            return None;
        }
        let may_try = |request: &&WaitingRequest| {
            !self.is_full_for(request.rank) && !self.passed.contains(&request.ticket)
        };
        let open: Vec<&WaitingRequest> = self.requests.iter().filter(may_try).collect();
        self.turn = first_in_order(&open, &self.charges).map(|index| open[index].ticket);
        self.turns += u32::from(self.turn.is_some());
        self.turn
    }

    /// Ends the turn of `ticket`; returns its request if it leaves the queue.
    pub(super) fn settle(
        &mut self,
        ticket: WaitTicket,
        outcome: TurnOutcome,
    ) -> Option<WaitingRequest> {
        if self.turn != Some(ticket) {
            return None;
        }
        self.turn = None;
        match outcome {
            TurnOutcome::Sent => {
                let request = self.requests.iter().find(|request| request.ticket == ticket)?;
                self.charges.charge(request.team.as_ref(), request.group_ms);
                self.remove(ticket)
            }
            TurnOutcome::Refused => self.remove(ticket),
            TurnOutcome::NoSlot => {
                let rank = self.requests.iter().find(|request| request.ticket == ticket)?.rank;
                self.mark_full(rank);
                None
            }
            TurnOutcome::Late => {
                self.passed.push(ticket);
                None
            }
        }
    }

    /// Whether `newcomer` is likely to be reached within its limit when `per_second` slots free up.
    pub(super) fn is_reachable(
        &self,
        now: TimePoint,
        newcomer: &WaitingRequest,
        per_second: f64,
    ) -> bool {
        let mut charges = self.charges.clone();
        if !self.waits(newcomer.team.as_ref()) {
            charges.enter(newcomer.team.as_ref());
        }
        let mut requests: Vec<&WaitingRequest> = self.requests.iter().collect();
        requests.push(newcomer);
        let order = dispatch_order(requests, charges);
        let position = order.iter().position(|request| request.ticket == newcomer.ticket);
        position.is_some_and(|position| {
            expected_places(now, newcomer, per_second) + ARRIVAL_SLACK_PLACES >= place(position)
        })
    }

    /// Requests that can no longer be reached within their limits when `per_second` slots free up.
    /// Each of them shortens the wait of those behind it.
    pub(super) fn unreachable(&self, now: TimePoint, per_second: f64) -> Vec<WaitTicket> {
        let mut kept = 0;
        let mut unreachable = Vec::new();
        for request in dispatch_order(self.requests.iter().collect(), self.charges.clone()) {
            let places = expected_places(now, request, per_second) + WAITING_SLACK_PLACES;
            if now >= request.expires_at || places < place(kept) {
                unreachable.push(request.ticket);
            } else {
                kept += 1;
            }
        }
        unreachable
    }

    /// Work of `team` that waits, in milliseconds of a whole group, up to and without `ticket`.
    pub(super) fn backlog_before(&self, team: Option<&TeamName>, ticket: WaitTicket) -> f64 {
        let earlier = self.requests.iter().filter(|request| request.ticket < ticket);
        let same = earlier.filter(|request| request.team.as_ref() == team);
        same.map(|request| request.group_ms).sum()
    }

    fn waits(&self, team: Option<&TeamName>) -> bool {
        self.requests.iter().any(|request| request.team.as_ref() == team)
    }
}

/// Slots that are expected to free up until `request` reaches its limit.
fn expected_places(now: TimePoint, request: &WaitingRequest, per_second: f64) -> f64 {
    request.expires_at.since(now).as_secs_f64() * per_second
}

/// Number of slots that have to free up until the request at `position` in the order is reached.
fn place(position: usize) -> f64 {
    position as f64 + 1.0
}

/// The requests in the order in which they would be dispatched if no other arrived.
fn dispatch_order(
    mut requests: Vec<&WaitingRequest>,
    mut charges: TeamCharges,
) -> Vec<&WaitingRequest> {
    let mut order = Vec::with_capacity(requests.len());
    while let Some(index) = first_in_order(&requests, &charges) {
        let request = requests.remove(index);
        charges.charge(request.team.as_ref(), request.group_ms);
        order.push(request);
    }
    order
}

/// Index of the request that is dispatched next; `None` if there is none.
fn first_in_order(requests: &[&WaitingRequest], charges: &TeamCharges) -> Option<usize> {
    let by_rank = !charges.is_fair_dispatch();
    let key = |request: &WaitingRequest| {
        (by_rank.then_some(request.rank), charges.start_tag(request.team.as_ref()), request.ticket)
    };
    let keys = requests.iter().map(|request| key(request)).enumerate();
    let first = keys.min_by(|(_, one), (_, other)| {
        one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)).then(one.2.cmp(&other.2))
    });
    first.map(|(index, _)| index)
}
