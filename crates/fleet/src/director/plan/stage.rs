//! Planning of loads.
//!
//! Loads are slow and limited by the weight store, so the most useful ones come first: for empty
//! hosts, which serve nothing yet, then further models for hosts that serve already. Weights of
//! another model are given up only for a model that no group serves.

use briartray_model::SortedTable;
use briartray_model::names::DomainName;

use super::{GroupPlanner, PlanAction, PoolHost};
use crate::deployment::ModelSpec;

/// Loads beyond those that the weight store handles at full speed: two on top of eight slow all
/// down by a third, which is less than an empty host would wait.
pub(super) const MAX_EXTRA_LOADS: usize = 2;

/// Loads of the weight store that are reserved for hosts without weights.
const RESERVED_LOADS: usize = 2;

/// Loads that one domain starts per step before callers send requests.
const EARLY_LOADS_PER_DOMAIN: usize = 2;

/// Number of hosts that can serve each model, in the order of the engine's models, by domain.
type DomainSupply<'v> = SortedTable<&'v DomainName, Vec<usize>>;

impl GroupPlanner<'_> {
    /// Plans the next load.
    pub(super) fn stage(&self, wanted: &[f64]) -> Option<PlanAction> {
        let most = self.view.engine.loads_at_once;
        if self.view.serving && self.view.loading >= most + MAX_EXTRA_LOADS {
            return None;
        }
        let urgent = self.stage_last_member(wanted).or_else(|| self.stage_nearly_complete());
        let urgent = urgent.or_else(|| self.stage_empty(wanted));
        let urgent =
            urgent.or_else(|| self.stage_unserved(wanted)).or_else(|| self.stage_any_idle());
        if self.view.serving && self.view.loading >= most.saturating_sub(RESERVED_LOADS) {
            return urgent;
        }
        urgent.or_else(|| self.stage_further(wanted))
    }

    /// Plans up to `most` loads of further models for hosts that serve already, while loads are
    /// short and nothing else is left to plan. Thousands of hosts have staged weights before
    /// callers send requests only if many loads start at once. Each domain gets a few, since every
    /// load changes what its domain lacks.
    pub fn early_loads(&self, most: usize) -> Vec<PlanAction> {
        let domain_supply = self.domain_supply();
        let mut given = SortedTable::new();
        let mut loads: Vec<PlanAction> = Vec::new();
        for host in self.view.free.iter().chain(self.grouped_hosts()) {
            if loads.len() >= most || host.warm_model.is_none() || !host.has_room() {
                continue;
            }
            let given = given.get_or_insert_with(&host.domain, || 0_usize);
            if *given >= EARLY_LOADS_PER_DOMAIN {
                continue;
            }
            if let Some((_, model)) = self.least_supplied_model(host, &self.wanted, &domain_supply)
            {
                *given += 1;
                loads.push(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() });
            }
        }
        loads
    }

    /// Plans a load for the last members of a group that callers need: one or two loads put all
    /// hosts of the group to use that are already free.
    fn stage_last_member(&self, wanted: &[f64]) -> Option<PlanAction> {
        let order = self.by_shortage(wanted);
        let mut short_models = order.into_iter().filter(|index| self.is_short(*index, wanted));
        short_models.find_map(|index| {
            let model = &self.models()[index];
            let domains = self.domains();
            let mut short = domains.iter().filter(|domain| {
                let joinable_count = self.joinable_count(domain, model);
                joinable_count < model.size && joinable_count * 2 >= model.size
            });
            short.find_map(|domain| {
                let mut hosts = self.free_in(domain);
                hosts.retain(|host| {
                    !host.will_join(&model.name) && self.may_replace_weights(host, wanted)
                });
                let host = hosts.into_iter().min_by_key(|host| !host.is_empty())?;
                Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
            })
        })
    }

    /// Whether the staged weights of `host` may be replaced: their model has no shortage, or the
    /// host is warm in it.
    fn may_replace_weights(&self, host: &PoolHost, wanted: &[f64]) -> bool {
        let needed = |staged: &String| {
            let index = self.models().iter().position(|model| model.name == *staged);
            !host.is_warm(staged) && index.is_some_and(|index| self.is_short(index, wanted))
        };
        let joins = host.standby.is_some() && host.warm_model.is_none();
        host.staging.is_none() && !host.newly_seen && !joins && !host.staged.iter().any(needed)
    }

    fn stage_empty(&self, wanted: &[f64]) -> Option<PlanAction> {
        let empty = |host: &&PoolHost| host.is_empty() && host.standby.is_none();
        let host = self.view.free.iter().find(empty)?;
        if let Some(model) = self.completed_model(&host.domain) {
            return Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() });
        }
        let (_, model) = self.least_supplied_model(host, wanted, &self.domain_supply())?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }

    /// Plans a further model for a host that stages none besides the one in which it is warm: the
    /// model and domain with the fewest hosts that could replace a lost one.
    fn stage_further(&self, wanted: &[f64]) -> Option<PlanAction> {
        let domain_supply = self.domain_supply();
        let hosts = self.view.free.iter().chain(self.grouped_hosts());
        let able = hosts.filter(|host| host.warm_model.is_some() && host.has_room());
        let loads = able.filter_map(|host| {
            let (supply, model) = self.least_supplied_model(host, wanted, &domain_supply)?;
            Some((supply, host, model))
        });
        let (_, host, model) = loads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }

    /// Model that `host` cannot serve and that has the smallest supply in its domain, with that
    /// supply: the ratio of hosts that can serve it to hosts that should.
    fn least_supplied_model(
        &self,
        host: &PoolHost,
        wanted: &[f64],
        domain_supply: &DomainSupply<'_>,
    ) -> Option<(f64, &ModelSpec)> {
        let domains = domain_supply.len().max(1);
        let counts = domain_supply.get(&&host.domain)?;
        let models = self.models().iter().zip(wanted).zip(counts);
        let missing = models.filter(|((model, _), _)| !host.will_join(&model.name));
        let supplies = missing.map(|((model, wanted), counts)| {
            let needed = wanted.max(1.0) * model.size as f64 / domains as f64;
            (*counts as f64 / needed, model)
        });
        supplies.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Counts the hosts of each domain, free or not, that can serve each model now or after their
    /// current load.
    ///
    /// Computed once per plan: counting for each host would examine every pair of hosts.
    fn domain_supply(&self) -> DomainSupply<'_> {
        let mut domain_supply = DomainSupply::new();
        for host in self.all_hosts() {
            let none = || vec![0; self.models().len()];
            let counts = domain_supply.get_or_insert_with(&host.domain, none);
            for (count, model) in counts.iter_mut().zip(self.models()) {
                *count += usize::from(host.will_join(&model.name));
            }
        }
        domain_supply
    }

    /// Plans a load for a model that no group serves, in the domain that is closest to a whole
    /// group; weights of another model may be given up for it.
    fn stage_unserved(&self, wanted: &[f64]) -> Option<PlanAction> {
        let index = self.unserved_model().filter(|index| self.is_short(*index, wanted))?;
        let model = &self.models()[index];
        let mut domains = self.domains();
        domains.retain(|domain| self.free_in(domain).len() >= model.size);
        domains.sort_by_key(|domain| usize::MAX - self.joinable_count(domain, model));
        let domain = domains.first()?;
        if self.joinable_count(domain, model) >= model.size {
            return None;
        }
        let mut hosts = self.free_in(domain);
        hosts.retain(|host| {
            host.staging.is_none() && !host.can_join(&model.name) && !host.newly_seen
        });
        hosts.sort_by_key(|host| !host.staged.is_empty());
        let host = hosts.first()?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }
}
