//! The queues of one service and the order in which they are served.

use briartray_model::names::TeamName;
use briartray_model::{SortedTable, TimePoint};

use super::limit::{LimitKey, TeamLimit};
use super::team::{TeamQueue, WaitingRequest};
use super::window::SlotWindow;

/// Every how many dispatches priority is set aside, so that low priority is slow but never stuck.
const FAIR_TURN: u64 = 8;

/// Cost of a request, in seconds of one slot, before any was answered.
const FIRST_COST: f64 = 0.1;

/// Limits by key.
pub(super) type LimitTable = SortedTable<LimitKey, TeamLimit>;

/// One service at one entry.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    pub(super) window: SlotWindow,
    pub(super) teams: SortedTable<TeamName, TeamQueue>,
    virtual_time: f64,
    dispatched: u64,
}

/// A request that leaves its queue to run.
#[derive(Debug)]
pub(super) struct PickedRequest {
    pub(super) team: TeamName,
    pub(super) request: WaitingRequest,
    /// What the team was charged, in seconds of one slot.
    pub(super) cost: f64,
}

/// What decides which team goes next.
#[derive(Debug, Clone, Copy)]
struct TurnKey {
    rank: u8,
    start: f64,
    served: u64,
}

impl TurnKey {
    fn goes_before(&self, other: &Self) -> bool {
        self.rank
            .cmp(&other.rank)
            .then(self.start.total_cmp(&other.start))
            .then(self.served.cmp(&other.served))
            .is_lt()
    }
}

impl ServiceQueue {
    /// Requests that wait.
    pub(super) fn waiting(&self) -> usize {
        self.teams.values().map(|team| team.waiting.len()).sum()
    }

    /// Takes the next request out of its queue, if a slot and its limits allow one.
    ///
    /// Each team pays for the time that its requests hold a slot, divided by its weight; the team
    /// that has paid up to the earliest virtual time goes next. A team with many requests therefore
    /// waits for itself and not in front of others.
    pub(super) fn pick(
        &mut self,
        now: TimePoint,
        limits: &mut LimitTable,
    ) -> Option<PickedRequest> {
        if !self.window.has_room(now) {
            return None;
        }
        let by_priority = self.dispatched % FAIR_TURN != FAIR_TURN - 1;
        let mut best: Option<(TurnKey, TeamName, usize)> = None;
        for (name, team) in self.teams.iter() {
            let eligible = team.waiting.iter().position(|request| {
                let limit = request.limit.as_ref().and_then(|key| limits.get_mut(key));
                limit.is_none_or(|limit| limit.has_room(now))
            });
            let Some(place) = eligible else { continue };
            let start = team.paid_until.max(self.virtual_time);
            let key = if by_priority {
                TurnKey { rank: u8::MAX - team.waiting[place].priority, start, served: team.served }
            } else {
                TurnKey { rank: 0, start: 0.0, served: team.served }
            };
            if best.as_ref().is_none_or(|(other, _, _)| key.goes_before(other)) {
                best = Some((key, name.clone(), place));
            }
        }
        let (_, name, place) = best?;
        self.dispatched += 1;
        let cost = self.window.mean_time().unwrap_or(FIRST_COST);
        let team = self.teams.get_mut(&name)?;
        let request = team.waiting.remove(place)?;
        let start = team.paid_until.max(self.virtual_time);
        team.paid_until = start + cost / team.weight;
        team.served = self.dispatched;
        if by_priority {
            self.virtual_time = start;
        }
        self.window.begin();
        Some(PickedRequest { team: name, request, cost })
    }

    /// Corrects what `team` was charged once it is known how long its request held a slot.
    pub(super) fn settle(&mut self, team: &TeamName, charged: f64, actual: f64) {
        if let Some(team) = self.teams.get_mut(team) {
            team.paid_until += (actual - charged) / team.weight;
        }
    }

    /// Forgets teams that wait for nothing and owe nothing.
    pub(super) fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, team| !team.waiting.is_empty() || team.paid_until > virtual_time);
    }

    /// Time in seconds until a request of `team` starts that has `ahead` others of its team before
    /// it; `None` while nothing is known about the speed of the service.
    pub(super) fn wait(
        &self,
        team: &TeamName,
        weight: f64,
        priority: u8,
        ahead: usize,
    ) -> Option<f64> {
        let slot = self.window.time_per_slot()?;
        let turns = ahead as f64 + 1.0;
        let others: f64 = self
            .teams
            .iter()
            .filter(|(name, _)| *name != team)
            .map(|(_, other)| {
                let above = other.above(priority) as f64;
                let equal = other.ahead_of(priority) as f64 - above;
                above + equal.min(turns * other.weight / weight)
            })
            .sum();
        Some((turns + others) * slot)
    }
}
