//! Number of groups: forms groups that are missing and dissolves groups that are not needed.

use std::cmp::Reverse;
use std::time::Duration;

use briartray_model::names::HostName;

use super::group_planner::RoundContext;
use super::reason::PlanReason;
use super::service::{GroupDisposition, ServicePlan};

impl ServicePlan<'_> {
    /// Counts a group that has replaced another in this round.
    pub(super) fn count_successor(&mut self) {
        self.successors += 1;
    }

    /// Number of groups that count as replicas: kept ones and replacements made in this round.
    fn replica_count(&self) -> usize {
        self.successors + self.count_groups(|disposition| disposition == GroupDisposition::Keep)
    }

    /// Forms groups for missing replicas and successors of superseded groups.
    pub(super) fn form_missing(&mut self, context: &mut RoundContext<'_>) {
        let mut lacking = self.wanted().saturating_sub(self.replica_count());
        self.reserved_spares = self.reserved_by_place();
        if lacking == 0 {
            return self.form_standby(context);
        }
        let superseded = self.superseded(context);
        let without_predecessor = lacking.saturating_sub(superseded.len());
        for _ in 0..without_predecessor {
            let formed = self.form_group(context, PlanReason::MissingReplica, usize::MAX)
                || self.form_across_domains(context);
            if !formed {
                break;
            }
        }
        lacking -= without_predecessor;
        for (reason, rank) in superseded.into_iter().take(lacking) {
            self.form_group(context, reason, rank);
        }
    }

    /// Forms as many standby groups as the rules ask for.
    ///
    /// Their hosts would be idle otherwise; with weights loaded they take over as soon as another
    /// group fails.
    fn form_standby(&mut self, context: &mut RoundContext<'_>) {
        let max_groups = self.wanted() + self.rules.standby as usize;
        let superseded_groups =
            self.count_groups(|disposition| matches!(disposition, GroupDisposition::Supersede(_)));
        while self.replica_count() + superseded_groups + self.formed < max_groups {
            if !self.form_group(context, PlanReason::StandbyReplica, usize::MAX) {
                return;
            }
        }
    }

    /// Reasons of superseded groups, the most urgent first, each with the provider rank that the
    /// successor has to be below.
    fn superseded(&self, context: &RoundContext<'_>) -> Vec<(PlanReason, usize)> {
        let mut superseded: Vec<(bool, PlanReason, usize)> = (0..self.groups.len())
            .filter_map(|slot| match self.dispositions[slot] {
                GroupDisposition::Supersede(reason) => Some((slot, reason)),
                _ => None,
            })
            .map(|(slot, reason)| {
                let survey = &context.survey.groups[self.groups[slot]];
                let rank = match reason {
                    PlanReason::ProviderPreferred => {
                        survey.present_member.map_or(usize::MAX, |announcement| {
                            self.provider_rank(&announcement.provider)
                        })
                    }
                    _ => usize::MAX,
                };
                (survey.serves(), reason, rank)
            })
            .collect();
        superseded.sort();
        superseded.into_iter().map(|(_, reason, rank)| (reason, rank)).collect()
    }

    fn form_group(
        &mut self,
        context: &mut RoundContext<'_>,
        reason: PlanReason,
        below_rank: usize,
    ) -> bool {
        let size = self.size();
        // The successor of a group is a repair, so it may use the hosts reserved for repairs.
        let additions = [PlanReason::MissingReplica, PlanReason::StandbyReplica];
        let is_repair = !additions.contains(&reason);
        let reserved =
            |place_index: usize| if is_repair { 0 } else { self.reserved_spares[place_index] };
        let best = (0..self.pool.places.len())
            .filter(|place_index| {
                self.pool.places[*place_index].len() >= size + reserved(*place_index)
            })
            .map(|place_index| {
                (self.provider_rank(self.pool.places[place_index].provider), place_index)
            })
            .filter(|(rank, _)| *rank < below_rank)
            .min_by_key(|(rank, place_index)| {
                (*rank, Reverse(self.pool.places[*place_index].len()))
            });
        let Some((_, place_index)) = best else { return false };
        let picked = self.pool.places[place_index].pick_members(size);
        let loads = context.memory.loads_needed(&self.pool.places[place_index].names(&picked));
        if !self.has_load_capacity(context, loads) {
            return false;
        }
        let members = self.pool.places[place_index].take(&picked);
        self.form(context, reason, members);
        true
    }

    /// Number of hosts that the rules reserve for repairs, for each place of the pool.
    fn reserved_by_place(&self) -> Vec<usize> {
        let places = self.pool.places.iter();
        places.map(|place| self.rules_at(place.zone, place.provider).spares as usize).collect()
    }

    /// Forms a group across several fabric domains of one provider, as a last resort.
    fn form_across_domains(&mut self, context: &mut RoundContext<'_>) -> bool {
        let size = self.size();
        if !self.rules.cross_domain
            || !self.has_load_capacity(context, size)
            || self.awaits_return(context)
        {
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
            members.extend(pool.take(&pool.pick_members(count)));
        }
        self.form(context, PlanReason::CrossDomain, members);
        true
    }

    /// Whether an absent host of this service is still within the wait limit of the rules.
    fn awaits_return(&self, context: &RoundContext<'_>) -> bool {
        let limit = Duration::from_millis(self.rules.wait_ms);
        context
            .survey
            .absent
            .iter()
            .filter(|host| host.announcement.service == self.service.name)
            .any(|host| context.now.since(host.since) < limit)
    }

    fn form(&mut self, context: &mut RoundContext<'_>, reason: PlanReason, members: Vec<HostName>) {
        let load = self.load_seconds(context, members.len());
        let cost = load * self.downtime_cost_rate(0.0);
        context.form(&self.service.name, members);
        self.formed += 1;
        context.record_decision(&self.service.name, None, reason, (cost, None));
    }

    /// Dissolves superseded groups whose successors serve, and groups beyond the wanted number.
    pub(super) fn dissolve_unneeded(&mut self, context: &mut RoundContext<'_>) {
        for slot in 0..self.groups.len() {
            if matches!(self.dispositions[slot], GroupDisposition::Supersede(_))
                && self.is_expendable(context, slot)
            {
                self.dissolve_group(context, slot);
            }
        }
        self.dissolve_surplus(context);
        self.dissolve_for_resize(context);
    }

    /// Whether enough groups serve without the one in `slot`.
    fn is_expendable(&self, context: &RoundContext<'_>, slot: usize) -> bool {
        let serves = context.survey.groups[self.groups[slot]].serves();
        self.serving(context) >= self.wanted() + usize::from(serves)
    }

    /// Dissolves the least useful groups beyond the wanted number.
    ///
    /// Considers only as many candidates as there are surplus groups: if the least useful group is
    /// still needed until its successor serves, the successor must not be dissolved in its place.
    fn dissolve_surplus(&mut self, context: &mut RoundContext<'_>) {
        let max_groups = self.wanted() + self.rules.standby as usize;
        let excess = self.replica_count().saturating_sub(max_groups);
        if excess == 0 {
            return;
        }
        let mut order: Vec<usize> = (0..self.groups.len())
            .filter(|slot| self.dispositions[*slot] == GroupDisposition::Keep)
            .collect();
        order.sort_by_key(|slot| {
            let survey = &context.survey.groups[self.groups[*slot]];
            let rank = survey
                .present_member
                .map_or(usize::MAX, |announcement| self.provider_rank(&announcement.provider));
            let crosses = self.crossing_members(context, self.groups[*slot]).is_some();
            let state = match (survey.serves(), survey.missing.is_empty()) {
                (true, _) => 2,
                (false, true) => 1,
                (false, false) => 0,
            };
            (Reverse(rank), Reverse(crosses), state, Reverse(survey.group.group))
        });
        for slot in order.into_iter().take(excess) {
            if self.is_expendable(context, slot) {
                self.dissolve_group(context, slot);
            }
        }
    }

    /// Dissolves groups of another size than declared, one at a time, if there are too few free
    /// hosts to form a group of the declared size.
    fn dissolve_for_resize(&mut self, context: &mut RoundContext<'_>) {
        let size = self.size();
        let wrong_size = |slot: &usize| {
            self.dispositions[*slot] == GroupDisposition::Supersede(PlanReason::NotDeclared)
        };
        let all_serve = self.serving(context)
            == self.count_groups(|disposition| disposition != GroupDisposition::Handled);
        let can_form = self.pool.places.iter().any(|place| place.len() >= size);
        if all_serve
            && !can_form
            && let Some(slot) = (0..self.groups.len()).rev().find(wrong_size)
        {
            self.dissolve_group(context, slot);
        }
    }

    fn dissolve_group(&mut self, context: &mut RoundContext<'_>, slot: usize) {
        let group = context.survey.groups[self.groups[slot]].group.group;
        context.dissolve(self.groups[slot]);
        self.dispositions[slot] = GroupDisposition::Handled;
        context.record_decision(&self.service.name, Some(group), PlanReason::Surplus, (0.0, None));
    }
}
