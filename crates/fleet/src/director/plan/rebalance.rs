//! Giving hosts of one model's groups to a model that lacks more.
//!
//! Load pattern: hosts are lost one after the other, and by chance most of them hit one model. Its
//! callers would be refused while the groups of the other model have time to spare. Ending one of
//! those costs its callers a few late answers; its hosts serve the other model as soon as what runs
//! has ended, since they keep its weights.
//!
//! The same holds before callers ask. Hosts are heard one after the other, and where those of a domain
//! that came first made small groups, the rest no longer makes a large one. Nobody is served yet and
//! loads are short, so that is put right at once.

use briartray_model::names::DomainName;

use super::{GroupPlanner, PlacedGroup, PlanAction, PoolHost, domains_of, part_of};
use crate::deployment::ModelSpec;

/// How much better than the receiver the giver must still be served afterwards, so that the same
/// hosts do not go to and fro.
const MARGIN: f64 = 1.1;

impl GroupPlanner<'_> {
    /// Ends a group of a model that has enough of them, where that completes a group of one that
    /// lacks some.
    pub(super) fn rebalance(&self, wanted: &[f64]) -> Option<PlanAction> {
        if !self.view.serving && self.view.gathering.is_some() {
            return None;
        }
        let order = self.by_lack(wanted);
        let mut lacking = order.into_iter().filter(|index| self.lacks(*index, wanted));
        lacking.find_map(|index| self.reclaim_for(index, wanted))
    }

    /// Ends a group that runs at the pace of a slow member, where its other hosts and free ones of
    /// the domain make a whole one. Without others to take its place a slow group serves on: late
    /// answers are better than none.
    pub(super) fn replace_slow(&self) -> Option<PlanAction> {
        let models = self.models().iter().zip(&self.view.groups);
        let mut groups =
            models.flat_map(|(model, groups)| groups.iter().map(move |group| (model, group)));
        let found = groups.find(|(model, group)| {
            let slow = group.hosts.iter().any(|host| host.lasting_slow);
            let quick = |host: &&PoolHost| !host.slow && host.can_join(&model.name);
            let kept = group.hosts.iter().filter(quick).count();
            // Only hosts that are free now: with one that is about to be, the same group was formed
            // and ended forty times in two seconds.
            let free = self.free_in(&group.domain);
            slow && kept + free.iter().copied().filter(quick).count() >= model.size
        });
        found.map(|(_, group)| PlanAction::End(group.group))
    }

    /// Ends the group whose hosts complete one of the model at `index` with the least loss.
    fn reclaim_for(&self, index: usize, wanted: &[f64]) -> Option<PlanAction> {
        let model = &self.models()[index];
        let domains = domains_of(self.every_host());
        let missing = |domain| model.size.saturating_sub(self.usable(domain, model));
        if domains.iter().any(|domain| missing(domain) == 0) {
            // The hosts are there, or about to be.
            return None;
        }
        let offers = domains.iter().flat_map(|domain| {
            let others = (0..self.models().len()).filter(|other| *other != index);
            others.filter_map(move |other| self.offer(domain, other, index, wanted))
        });
        let (_, group) = offers.min_by_key(|(cost, _)| *cost)?;
        Some(PlanAction::End(group.group))
    }

    /// What the model at `giver` would have to give up in `domain` to complete a group of the one at
    /// `index`: how many groups, and the first of them. `None` when it cannot, or when it would be
    /// served worse itself.
    fn offer(
        &self,
        domain: &DomainName,
        giver: usize,
        index: usize,
        wanted: &[f64],
    ) -> Option<(usize, &PlacedGroup)> {
        let model = &self.models()[index];
        let missing = model.size.saturating_sub(self.usable(domain, model));
        let groups = &self.view.groups[giver];
        let local: Vec<&PlacedGroup> =
            groups.iter().filter(|group| group.domain == *domain).collect();
        let (cost, first) = self.cheapest(&local, model, missing)?;
        let left = groups.len().saturating_sub(cost);
        let (given, taken) = (part_of(left, wanted[giver]), self.filled(index, wanted));
        // Before callers ask, a move costs nobody anything.
        let fair = if self.view.serving { given >= taken * MARGIN } else { given > taken };
        (left > 0 && fair).then_some((cost, first))
    }

    /// How many of `groups` have to end to bring `missing` hosts for `model`, and which one first.
    fn cheapest<'g>(
        &self,
        groups: &[&'g PlacedGroup],
        model: &ModelSpec,
        missing: usize,
    ) -> Option<(usize, &'g PlacedGroup)> {
        let gives = |group: &PlacedGroup| {
            let quick = group.hosts.iter().filter(|host| !host.slow);
            quick.filter(|host| self.may_join(host, model)).count()
        };
        let mut ranked: Vec<(usize, &PlacedGroup)> =
            groups.iter().map(|group| (gives(group), *group)).collect();
        ranked.sort_by_key(|(gives, _)| usize::MAX - gives);
        let first = ranked.first().map(|(_, group)| *group)?;
        let mut brought = 0;
        let needed = ranked.iter().position(|(gives, _)| {
            brought += gives;
            brought >= missing
        })?;
        Some((needed + 1, first))
    }

    /// Hosts of `domain` that are free, or about to be, and can join a group of `model`.
    pub(super) fn usable(&self, domain: &DomainName, model: &ModelSpec) -> usize {
        let hosts = self.free_in(domain).into_iter().chain(self.coming_in(domain));
        hosts.filter(|host| !host.slow && self.may_join(host, model)).count()
    }

    /// Whether the host joins a group of `model` soon: before callers ask, a load is short.
    fn may_join(&self, host: &PoolHost, model: &ModelSpec) -> bool {
        !self.view.serving || host.can_join(&model.name)
    }
}
