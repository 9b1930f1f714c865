//! Filling up to the wanted number of groups, and letting go of groups that are no longer needed.

use std::cmp::Reverse;
use std::time::Duration;

use briartray_model::names::HostName;

use super::group_planner::RoundFrame;
use super::reason::PlanReason;
use super::service::{GroupFate, ServicePlan};

impl ServicePlan<'_> {
    /// Takes note that a group was put in the place of another in this round.
    pub(super) fn mended(&mut self) {
        self.successors += 1;
    }

    /// Groups that count as replicas: those kept and those that this round put in place of others.
    fn kept(&self) -> usize {
        self.successors + self.count(|fate| fate == GroupFate::Keep)
    }

    /// Forms groups for replicas that are missing, and ahead of groups that are to make way.
    pub(super) fn fill_up(&mut self, frame: &mut RoundFrame<'_>) {
        let mut lacking = self.wanted().saturating_sub(self.kept());
        self.held = self.held_back();
        if lacking == 0 {
            return self.stand_by(frame);
        }
        let moves = self.moves(frame);
        let plain = lacking.saturating_sub(moves.len());
        for _ in 0..plain {
            let formed = self.form_one(frame, PlanReason::MissingReplica, usize::MAX)
                || self.form_across(frame);
            if !formed {
                break;
            }
        }
        lacking -= plain;
        for (reason, rank) in moves.into_iter().take(lacking) {
            self.form_one(frame, reason, rank);
        }
    }

    /// Forms groups that nobody misses yet, as far as the rules ask for them.
    ///
    /// The hosts are idle anyway; loaded, they take over the moment a group fails.
    fn stand_by(&mut self, frame: &mut RoundFrame<'_>) {
        let most = self.wanted() + self.rules.standby as usize;
        let moving = self.count(|fate| matches!(fate, GroupFate::Move(_)));
        while self.kept() + moving + self.formed < most {
            if !self.form_one(frame, PlanReason::StandbyReplica, usize::MAX) {
                return;
            }
        }
    }

    /// Groups that need a successor, the most urgent first, with the provider rank that the
    /// successor has to stay below.
    fn moves(&self, frame: &RoundFrame<'_>) -> Vec<(PlanReason, usize)> {
        let mut moves: Vec<(bool, PlanReason, usize)> = (0..self.groups.len())
            .filter_map(|at| match self.fates[at] {
                GroupFate::Move(reason) => Some((at, reason)),
                _ => None,
            })
            .map(|(at, reason)| {
                let survey = &frame.survey.groups[self.groups[at]];
                let rank = match reason {
                    PlanReason::ProviderPreferred => {
                        survey.anchor.map_or(usize::MAX, |said| self.provider_rank(&said.provider))
                    }
                    _ => usize::MAX,
                };
                (survey.serves(), reason, rank)
            })
            .collect();
        moves.sort();
        moves.into_iter().map(|(_, reason, rank)| (reason, rank)).collect()
    }

    fn form_one(
        &mut self,
        frame: &mut RoundFrame<'_>,
        reason: PlanReason,
        below_rank: usize,
    ) -> bool {
        let size = self.size();
        // The successor of a group is a repair itself.
        let extra = [PlanReason::MissingReplica, PlanReason::StandbyReplica];
        let repairs = !extra.contains(&reason);
        let held = |at: usize| if repairs { 0 } else { self.held[at] };
        let best = (0..self.pool.places.len())
            .filter(|at| self.pool.places[*at].len() >= size + held(*at))
            .map(|at| (self.provider_rank(self.pool.places[at].provider), at))
            .filter(|(rank, _)| *rank < below_rank)
            .min_by_key(|(rank, at)| (*rank, Reverse(self.pool.places[*at].len())));
        let Some((_, at)) = best else { return false };
        let picked = self.pool.places[at].pick_set(size);
        let loads = frame.memory.loads_for(&self.pool.places[at].names(&picked));
        if !self.has_room(frame, loads) {
            return false;
        }
        let members = self.pool.places[at].take(&picked);
        self.form(frame, reason, members);
        true
    }

    /// Hosts of each place that the rules keep for repairs.
    fn held_back(&self) -> Vec<usize> {
        let places = self.pool.places.iter();
        places.map(|place| self.rules_at(place.zone, place.provider).spares as usize).collect()
    }

    /// Forms a group over several fabric domains of one provider, the last resort.
    fn form_across(&mut self, frame: &mut RoundFrame<'_>) -> bool {
        let size = self.size();
        if !self.rules.cross_domain || !self.has_room(frame, size) || self.expects_return(frame) {
            return false;
        }
        let provider = self
            .pool
            .places
            .iter()
            .map(|place| place.provider)
            .filter(|provider| self.pool.count_provider(provider) >= size)
            .min_by_key(|provider| self.provider_rank(provider));
        let Some(provider) = provider else { return false };
        let mut pools: Vec<_> =
            self.pool.places.iter_mut().filter(|place| place.provider == provider).collect();
        pools.sort_by_key(|pool| Reverse(pool.len()));
        let mut members = Vec::with_capacity(size);
        for pool in pools {
            let count = pool.len().min(size - members.len());
            members.extend(pool.take(&pool.pick_set(count)));
        }
        self.form(frame, PlanReason::CrossDomain, members);
        true
    }

    /// Whether a host of this service vanished so recently that it is still waited for.
    fn expects_return(&self, frame: &RoundFrame<'_>) -> bool {
        let limit = Duration::from_millis(self.rules.wait_ms);
        frame
            .survey
            .absent
            .iter()
            .filter(|host| host.announcement.service == self.service.name)
            .any(|host| frame.now.since(host.since) < limit)
    }

    fn form(&mut self, frame: &mut RoundFrame<'_>, reason: PlanReason, members: Vec<HostName>) {
        let load = self.load_seconds(frame, members.len());
        let cost = load * self.worth(0.0);
        frame.form(&self.service.name, members);
        self.formed += 1;
        frame.decide(&self.service.name, None, reason, (cost, None));
    }

    /// Ends groups whose successors serve, and groups beyond the wanted number.
    pub(super) fn let_go(&mut self, frame: &mut RoundFrame<'_>) {
        for at in 0..self.groups.len() {
            if matches!(self.fates[at], GroupFate::Move(_)) && self.is_spare(frame, at) {
                self.end(frame, at);
            }
        }
        self.drop_surplus(frame);
        self.roll_sizes(frame);
    }

    /// Whether enough groups serve without this one.
    fn is_spare(&self, frame: &RoundFrame<'_>, at: usize) -> bool {
        let serves = frame.survey.groups[self.groups[at]].serves();
        self.serving(frame) >= self.wanted() + usize::from(serves)
    }

    /// Ends the least useful groups beyond the wanted number.
    ///
    /// Only as many candidates as there are too many are looked at: when the least useful group
    /// still serves in place of its successor, the successor must not go instead of it.
    fn drop_surplus(&mut self, frame: &mut RoundFrame<'_>) {
        let most = self.wanted() + self.rules.standby as usize;
        let excess = self.kept().saturating_sub(most);
        if excess == 0 {
            return;
        }
        let mut order: Vec<usize> =
            (0..self.groups.len()).filter(|at| self.fates[*at] == GroupFate::Keep).collect();
        order.sort_by_key(|at| {
            let survey = &frame.survey.groups[self.groups[*at]];
            let rank = survey.anchor.map_or(usize::MAX, |said| self.provider_rank(&said.provider));
            let crosses = self.crossing_members(frame, self.groups[*at]).is_some();
            let state = match (survey.serves(), survey.missing.is_empty()) {
                (true, _) => 2,
                (false, true) => 1,
                (false, false) => 0,
            };
            (Reverse(rank), Reverse(crosses), state, Reverse(survey.group.group))
        });
        for at in order.into_iter().take(excess) {
            if self.is_spare(frame, at) {
                self.end(frame, at);
            }
        }
    }

    /// Makes room for groups of another size, one at a time, when no hosts are free for them.
    fn roll_sizes(&mut self, frame: &mut RoundFrame<'_>) {
        let size = self.size();
        let wrong = |at: &usize| self.fates[*at] == GroupFate::Move(PlanReason::NotDeclared);
        let all_serve = self.serving(frame) == self.count(|fate| fate != GroupFate::Ended);
        let room = self.pool.places.iter().any(|place| place.len() >= size);
        if all_serve
            && !room
            && let Some(at) = (0..self.groups.len()).rev().find(wrong)
        {
            self.end(frame, at);
        }
    }

    fn end(&mut self, frame: &mut RoundFrame<'_>, at: usize) {
        let group = frame.survey.groups[self.groups[at]].group.group;
        frame.dissolve(self.groups[at]);
        self.fates[at] = GroupFate::Ended;
        frame.decide(&self.service.name, Some(group), PlanReason::Surplus, (0.0, None));
    }
}
