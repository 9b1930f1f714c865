//! Which weights to load onto which host.
//!
//! Loads are slow and limited by the weight store, so the most useful ones come first: those of
//! empty hosts, which serve nothing yet, then further models for hosts that serve already, and only
//! for a model that no group serves the weights of another one are given up.

use briartray_model::names::DomainName;

use super::{GroupPlanner, PlanAction, PoolHost};
use crate::deployment::ModelSpec;

/// Part of the loads at one time that hosts with weights may take: one in so many.
const FURTHER_LOADS: usize = 2;

impl GroupPlanner<'_> {
    /// The next load.
    pub(super) fn stage(&self, wanted: &[f64]) -> Option<PlanAction> {
        self.stage_empty().or_else(|| self.stage_starved(wanted)).or_else(|| self.stage_further())
    }

    fn stage_empty(&self) -> Option<PlanAction> {
        let empty = |host: &&PoolHost| host.is_empty() && host.standby.is_none();
        let host = self.view.free.iter().find(empty)?;
        let model = self.scarcest(host)?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }

    /// Another model for a host that keeps none beside the one it is warm in, free ones first.
    ///
    /// These loads take half of the store's places at the most while callers are served: where
    /// they took all of them, empty hosts waited for several seconds to begin theirs.
    fn stage_further(&self) -> Option<PlanAction> {
        let most = self.view.engine.loads_at_once / FURTHER_LOADS;
        if self.view.serving && self.view.loading >= most {
            return None;
        }
        let mut hosts = self.view.free.iter().chain(self.grouped());
        hosts.find_map(|host| {
            if host.warm.is_none() || !host.has_room() {
                return None;
            }
            let model = self.scarcest(host)?;
            Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
        })
    }

    /// The model that `host` cannot serve and its domain has too few hosts for; else the one that
    /// is loaded soonest, since the host makes up for others that can serve the rest.
    fn scarcest(&self, host: &PoolHost) -> Option<&ModelSpec> {
        let missing = self.models().iter().filter(|model| !host.will_join(&model.name));
        let enough = |model: &ModelSpec| self.stock(&host.domain, model) >= model.size;
        missing.min_by_key(|model| (enough(model), model.load_time))
    }

    /// Hosts of `domain`, free or not, that can serve `model` or will.
    fn stock(&self, domain: &DomainName, model: &ModelSpec) -> usize {
        self.every_host()
            .filter(|host| host.domain == *domain && host.will_join(&model.name))
            .count()
    }

    /// Weights for a model that no group serves, in the domain that lacks the fewest hosts for
    /// one; those of another model are given up for it.
    fn stage_starved(&self, wanted: &[f64]) -> Option<PlanAction> {
        let index = self.starved().filter(|index| self.lacks(*index, wanted))?;
        let model = &self.models()[index];
        let mut domains = self.domains();
        domains.retain(|domain| self.free_in(domain).len() >= model.size);
        domains.sort_by_key(|domain| usize::MAX - self.held(domain, model));
        let domain = domains.first()?;
        if self.held(domain, model) >= model.size {
            return None;
        }
        let mut hosts = self.free_in(domain);
        hosts.retain(|host| host.staging.is_none() && !host.can_join(&model.name) && !host.fresh);
        hosts.sort_by_key(|host| !host.staged.is_empty());
        let host = hosts.first()?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }
}
