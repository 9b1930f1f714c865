//! Queues of one service, and the order in which they are served.

use briartray_model::names::TeamName;
use briartray_model::{SortedTable, TimePoint};

use super::limit::{LimitKey, TeamLimit};
use super::team::{TeamQueue, WaitingRequest};
use super::window::SlotWindow;

/// Every n-th dispatch ignores priority, so that requests of low priority are slow but never
/// starve.
const PRIORITY_BYPASS_PERIOD: u64 = 8;

/// Cost of a request, in slot seconds, before the first answer.
const INITIAL_COST_SECONDS: f64 = 0.1;

/// Limits by key.
pub(super) type LimitTable = SortedTable<LimitKey, TeamLimit>;

/// State of one service at one entry.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    pub(super) window: SlotWindow,
    pub(super) teams: SortedTable<TeamName, TeamQueue>,
    virtual_time: f64,
    dispatch_count: u64,
}

/// A request taken out of its queue to run.
#[derive(Debug)]
pub(super) struct PickedRequest {
    pub(super) team: TeamName,
    pub(super) request: WaitingRequest,
    /// Cost charged to the team, in slot seconds.
    pub(super) cost: f64,
}

/// Sort key that decides which team is served next.
#[derive(Debug, Clone, Copy)]
struct DispatchKey {
    rank: u8,
    start_tag: f64,
    last_dispatch: u64,
}

impl DispatchKey {
    fn precedes(&self, other: &Self) -> bool {
        self.rank
            .cmp(&other.rank)
            .then(self.start_tag.total_cmp(&other.start_tag))
            .then(self.last_dispatch.cmp(&other.last_dispatch))
            .is_lt()
    }
}

impl ServiceQueue {
    /// Number of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        self.teams.values().map(|team| team.waiting.len()).sum()
    }

    /// Takes the next request out of its queue if a slot is free and its limits allow it.
    ///
    /// Each team is charged for the time that its requests occupy a slot, divided by its weight.
    /// The team with the earliest start tag is served next. A team with many requests therefore
    /// delays its own requests and not those of other teams.
    pub(super) fn pick(
        &mut self,
        now: TimePoint,
        limits: &mut LimitTable,
    ) -> Option<PickedRequest> {
        if !self.window.has_room(now) {
            return None;
        }
        let by_priority =
            self.dispatch_count % PRIORITY_BYPASS_PERIOD != PRIORITY_BYPASS_PERIOD - 1;
        let mut best: Option<(DispatchKey, TeamName, usize)> = None;
        for (name, team) in self.teams.iter() {
            let eligible = team.waiting.iter().position(|request| {
                let limit = request.limit.as_ref().and_then(|key| limits.get_mut(key));
                limit.is_none_or(|limit| limit.has_room(now))
            });
            let Some(position) = eligible else { continue };
            let start_tag = team.finish_tag.max(self.virtual_time);
            let key = if by_priority {
                DispatchKey {
                    rank: u8::MAX - team.waiting[position].priority,
                    start_tag,
                    last_dispatch: team.last_dispatch,
                }
            } else {
                DispatchKey { rank: 0, start_tag: 0.0, last_dispatch: team.last_dispatch }
            };
            if best.as_ref().is_none_or(|(other, _, _)| key.precedes(other)) {
                best = Some((key, name.clone(), position));
            }
        }
        let (_, name, position) = best?;
        self.dispatch_count += 1;
        let cost = self.window.mean_time().unwrap_or(INITIAL_COST_SECONDS);
        let team = self.teams.get_mut(&name)?;
        let request = team.waiting.remove(position)?;
        let start_tag = team.finish_tag.max(self.virtual_time);
        team.finish_tag = start_tag + cost / team.weight;
        team.last_dispatch = self.dispatch_count;
        if by_priority {
            self.virtual_time = start_tag;
        }
        self.window.begin();
        Some(PickedRequest { team: name, request, cost })
    }

    /// Corrects the charge of `team` once the actual slot time is known, both in slot seconds.
    pub(super) fn settle(&mut self, team: &TeamName, charged: f64, actual: f64) {
        if let Some(team) = self.teams.get_mut(team) {
            team.finish_tag += (actual - charged) / team.weight;
        }
    }

    /// Removes teams without waiting requests and without outstanding charges.
    pub(super) fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, team| !team.waiting.is_empty() || team.finish_tag > virtual_time);
    }

    /// Estimated time in seconds until a request of `team` with `ahead` requests of the same team
    /// before it starts; `None` while the service time is unknown.
    pub(super) fn expected_wait(
        &self,
        team: &TeamName,
        weight: f64,
        priority: u8,
        ahead: usize,
    ) -> Option<f64> {
        let slot_time = self.window.time_per_slot()?;
        let turns = ahead as f64 + 1.0;
        let others: f64 = self
            .teams
            .iter()
            .filter(|(name, _)| *name != team)
            .map(|(_, other)| {
                let above = other.count_above(priority) as f64;
                let equal = other.count_ahead(priority) as f64 - above;
                above + equal.min(turns * other.weight / weight)
            })
            .sum();
        Some((turns + others) * slot_time)
    }
}
