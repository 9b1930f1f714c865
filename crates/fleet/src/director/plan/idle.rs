//! Work for free hosts that cannot make a group of the model in which they are warm.
//!
//! Load pattern: losses leave six warm hosts of a large group in a domain that has no other host for
//! it. Another model is short of groups, but its weights are not staged on them, since loads go to
//! hosts that serve. They idle for the time of several losses while callers of both models are
//! refused. All rules here apply only to services whose full groups are late (`overload` of the
//! view): elsewhere the remaining groups take the load.
//!
//! Loads take longer than a wave of the demand. Whether a model is worth one is decided by the
//! demand averaged over the time of a load.

use briartray_model::names::DomainName;

use super::stage::MAX_EXTRA_LOADS;
use super::{GroupPlanner, PlanAction, PoolHost, SPARES_PER_DOMAIN, whole_groups};
use crate::deployment::ModelSpec;
use crate::message::WorkSum;

/// Utilization above which most groups of a model are full at times and callers are refused: groups
/// are meant to run with three quarters of their slots.
const MAX_UTILIZATION: f64 = 0.75;

impl GroupPlanner<'_> {
    /// Plans a load for an idle host towards a group of which free hosts make up half already: each
    /// load puts two hosts or more to use. The load of an empty host puts one to use.
    pub(super) fn stage_nearly_complete(&self) -> Option<PlanAction> {
        self.stage_idle(true)
    }

    /// Plans a load for an idle host towards any group, at the full speed of the weight store.
    pub(super) fn stage_any_idle(&self) -> Option<PlanAction> {
        self.stage_idle(false)
    }

    /// Plans a load of a model that is short of groups for a free host that is warm in another one,
    /// if free hosts of its domain then make a group sooner.
    fn stage_idle(&self, nearly_complete: bool) -> Option<PlanAction> {
        let is_store_busy = self.view.loading >= self.view.engine.loads_at_once;
        if !self.view.overload || !self.view.serving || is_store_busy {
            return None;
        }
        let mut loads: Vec<(usize, PlanAction)> = Vec::new();
        for index in self.by_shortage(&self.wanted) {
            let Some(missing) = self.missing_groups(index) else { continue };
            for domain in self.domains() {
                if self.is_reserved(&domain, index) {
                    continue;
                }
                loads.extend(self.idle_load(&domain, index, missing));
            }
            let size = self.models()[index].size;
            loads.retain(|(lacking, _)| !nearly_complete || lacking * 2 <= size);
            // The domain that lacks the fewest loads has a group first.
            if let Some((_, action)) = loads.drain(..).min_by_key(|(lacking, _)| *lacking) {
                return Some(action);
            }
        }
        None
    }

    /// Model for an empty host of `domain`: the one for whose next group free hosts there lack the
    /// fewest loads, if they make up half of it already.
    pub(super) fn completed_model(&self, domain: &DomainName) -> Option<&ModelSpec> {
        if !self.view.overload || !self.view.serving {
            return None;
        }
        let lacking = |(index, model): (usize, &ModelSpec)| {
            let missing = self.missing_groups(index)?;
            let ready = self.joinable_count(domain, model);
            let next_group = ready / model.size + 1;
            let lacking = next_group * model.size - ready;
            let is_possible = self.free_in(domain).len() >= next_group * model.size;
            let is_near = next_group <= missing && lacking * 2 <= model.size;
            (is_near && is_possible).then_some((lacking, index))
        };
        let (_, index) = self.models().iter().enumerate().filter_map(lacking).min()?;
        Some(&self.models()[index])
    }

    /// Number of groups that the model at `index` lacks for the demand, whether hosts for them exist
    /// or not; `None` if it lacks none.
    ///
    /// The wanted number does not tell: it falls with every lost host, since it is what the hosts
    /// suffice for. With it, no model was short while eight hosts of a domain idled and all groups
    /// were full.
    pub(super) fn missing_groups(&self, index: usize) -> Option<usize> {
        let busy = |demand: &[WorkSum]| demand.get(index).map_or(0.0, |sum| sum.work_ms / 1e3);
        // A wave that is over when the weights arrive is not worth a load.
        let lasting = busy(&self.view.demand).min(busy(&self.view.steady_demand));
        let needed = (lasting / MAX_UTILIZATION * self.view.trust).ceil() as usize;
        let needed = needed.max(whole_groups(self.wanted[index].min(self.steady_wanted[index])));
        let missing = needed.saturating_sub(self.view.groups[index].len());
        (missing > 0).then_some(missing)
    }

    /// Load for an idle host of `domain` towards the next of `missing` groups of the model at
    /// `index`, with the number of loads that this group lacks.
    fn idle_load(
        &self,
        domain: &DomainName,
        index: usize,
        missing: usize,
    ) -> Option<(usize, PlanAction)> {
        let model = &self.models()[index];
        let ready = self.joinable_count(domain, model);
        let mut hosts = self.free_in(domain);
        hosts.retain(|host| !host.will_join(&model.name) && self.is_idle(host));
        let next_group = ready / model.size + 1;
        let lacking = next_group * model.size - ready;
        let reserve = if self.is_short(index, &self.wanted) { 0 } else { SPARES_PER_DOMAIN };
        if next_group > missing
            || hosts.len() < lacking
            || self.free_in(domain).len() < next_group * model.size + reserve
        {
            return None;
        }
        let host = hosts.first()?;
        Some((lacking, PlanAction::Stage { host: host.id.clone(), model: model.name.clone() }))
    }

    /// Whether `host`, which is free, can take further weights and is not about to join a group of
    /// the model in which it is warm.
    fn is_idle(&self, host: &PoolHost) -> bool {
        let warm = self.models().iter().position(|model| host.is_warm(&model.name));
        let Some(index) = warm else { return false };
        let model = &self.models()[index];
        // Its own group may only wait for a load that is running.
        let ready = self.usable(&host.domain, model).max(self.joinable_count(&host.domain, model));
        let joins_soon = self.is_short(index, &self.wanted) && ready >= model.size;
        host.has_room() && !host.slow && !host.newly_seen && !joins_soon
    }

    /// Whether free hosts of `domain`, or hosts that are about to be free, can make a group of
    /// `model` within its load time: they have the weights, or load them, or can begin to.
    pub(super) fn is_completable(&self, domain: &DomainName, model: &ModelSpec) -> bool {
        let free = self.free_in(domain);
        let ready = free.iter().filter(|host| host.will_join(&model.name)).count();
        let soon = self.soon_free_in(domain).filter(|host| host.can_join(&model.name)).count();
        let may_load = |host: &&&PoolHost| {
            host.staging.is_none() && !host.newly_seen && !host.will_join(&model.name)
        };
        let loadable = free.iter().filter(may_load).count();
        // Loads that run elsewhere end within the load time as well.
        let loads = loadable.min(self.view.engine.loads_at_once + MAX_EXTRA_LOADS);
        ready + soon + loads >= model.size
    }
}
