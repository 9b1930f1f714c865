//! Moving hosts from groups of one model to a model with a larger shortage.
//!
//! Load pattern: hosts are lost one after the other, and by chance most losses hit one model. Its
//! callers would be refused while the groups of the other model are underused. Ending one of those
//! makes a few answers late; its hosts serve the other model as soon as running requests are
//! completed, since they keep its weights.
//!
//! The same applies before callers send requests. Hosts appear one after the other, and where the
//! first ones of a domain formed small groups, the rest no longer makes a large one. No request is
//! served yet and loads are short, so this is corrected at once.

use briartray_model::names::DomainName;

use super::{GroupPlanner, PlacedGroup, PlanAction, PoolHost, coverage_ratio, domains_of};
use crate::deployment::ModelSpec;

/// Ratio by which the donor must still be better covered than the recipient afterwards, so that the
/// same hosts do not move back and forth.
const TRANSFER_MARGIN: f64 = 1.1;

impl GroupPlanner<'_> {
    /// Ends a group of a model that has enough of them, if that completes a group of a model with a
    /// shortage.
    pub(super) fn rebalance(&self, wanted: &[f64]) -> Option<PlanAction> {
        if !self.view.serving && self.view.first_start_domains.is_some() {
            return None;
        }
        let order = self.by_shortage(wanted);
        let mut short_models = order.into_iter().filter(|index| self.is_short(*index, wanted));
        short_models.find_map(|index| self.end_donor_group(index, wanted))
    }

    /// Ends a group with a slow member if its other hosts and free ones of the domain make a whole
    /// group. Otherwise a slow group keeps serving: late answers are better than none.
    pub(super) fn replace_slow(&self) -> Option<PlanAction> {
        let models = self.models().iter().zip(&self.view.groups);
        let mut groups =
            models.flat_map(|(model, groups)| groups.iter().map(move |group| (model, group)));
        let found = groups.find(|(model, group)| {
            let slow = group.hosts.iter().any(|host| host.confirmed_slow);
            let fast = |host: &&PoolHost| !host.slow && host.can_join(&model.name);
            let kept = group.hosts.iter().filter(fast).count();
            // Only hosts that are free now count: when one about to be free counted too, the same
            // group was formed and ended forty times in two seconds.
            let free = self.free_in(&group.domain);
            slow && kept + free.iter().copied().filter(fast).count() >= model.size
        });
        found.map(|(_, group)| PlanAction::End(group.group))
    }

    /// Ends the group whose hosts complete one of the model at `index` at the least cost.
    fn end_donor_group(&self, index: usize, wanted: &[f64]) -> Option<PlanAction> {
        let model = &self.models()[index];
        let domains = domains_of(self.all_hosts());
        let missing = |domain| model.size.saturating_sub(self.usable(domain, model));
        if domains.iter().any(|domain| missing(domain) == 0) {
            // The hosts are free or about to be.
            return None;
        }
        let transfers = domains.iter().flat_map(|domain| {
            let others = (0..self.models().len()).filter(|other| *other != index);
            others.filter_map(move |other| self.find_transfer(domain, other, index, wanted))
        });
        let (_, group) = transfers.min_by_key(|(cost, _)| *cost)?;
        Some(PlanAction::End(group.group))
    }

    /// Groups that the model at `donor` has to end in `domain` to complete a group of the model at
    /// `index`: their number, and the first of them. `None` when that is impossible or would leave
    /// the donor worse off.
    fn find_transfer(
        &self,
        domain: &DomainName,
        donor: usize,
        index: usize,
        wanted: &[f64],
    ) -> Option<(usize, &PlacedGroup)> {
        let model = &self.models()[index];
        let missing = model.size.saturating_sub(self.usable(domain, model));
        let groups = &self.view.groups[donor];
        let local: Vec<&PlacedGroup> =
            groups.iter().filter(|group| group.domain == *domain).collect();
        let (cost, first) = self.cheapest_groups(&local, model, missing)?;
        let left = groups.len().saturating_sub(cost);
        let (donor_coverage, recipient_coverage) =
            (coverage_ratio(left, wanted[donor]), self.coverage(index, wanted));
        // Before callers send requests, a move costs nothing.
        let fair = if self.view.serving {
            donor_coverage >= recipient_coverage * TRANSFER_MARGIN
        } else {
            donor_coverage > recipient_coverage
        };
        (left > 0 && fair).then_some((cost, first))
    }

    /// How many of `groups` have to end to free `missing` hosts for `model`, and the first of them.
    fn cheapest_groups<'g>(
        &self,
        groups: &[&'g PlacedGroup],
        model: &ModelSpec,
        missing: usize,
    ) -> Option<(usize, &'g PlacedGroup)> {
        let contribution = |group: &PlacedGroup| {
            let fast = group.hosts.iter().filter(|host| !host.slow);
            fast.filter(|host| self.can_join_soon(host, model)).count()
        };
        let mut ranked: Vec<(usize, &PlacedGroup)> =
            groups.iter().map(|group| (contribution(group), *group)).collect();
        ranked.sort_by_key(|(contribution, _)| usize::MAX - contribution);
        let first = ranked.first().map(|(_, group)| *group)?;
        let mut gained = 0;
        let needed = ranked.iter().position(|(contribution, _)| {
            gained += contribution;
            gained >= missing
        })?;
        Some((needed + 1, first))
    }

    /// Hosts of `domain` that are free or about to be, and can join a group of `model`.
    pub(super) fn usable(&self, domain: &DomainName, model: &ModelSpec) -> usize {
        let hosts = self.free_in(domain).into_iter().chain(self.soon_free_in(domain));
        hosts.filter(|host| !host.slow && self.can_join_soon(host, model)).count()
    }

    /// Whether the host can join a group of `model` soon: before callers send requests, loads are
    /// short.
    fn can_join_soon(&self, host: &PoolHost, model: &ModelSpec) -> bool {
        !self.view.serving || host.can_join(&model.name)
    }
}
