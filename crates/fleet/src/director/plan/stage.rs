//! Which weights to load onto which host.
//!
//! Loads are slow and limited by the weight store, so the most useful ones come first: those of
//! empty hosts, which serve nothing yet, then further models for hosts that serve already, and only
//! for a model that no group serves the weights of another one are given up.

use briartray_model::SortedTable;
use briartray_model::names::DomainName;

use super::{GroupPlanner, PlanAction, PoolHost};
use crate::deployment::ModelSpec;

/// Loads beyond those that the weight store does at full speed: two of eight slow all down by a
/// third, which is less than an empty host would wait.
const EXTRA_LOADS: usize = 2;

/// Places of the weight store that are left to hosts without weights.
const KEPT_LOADS: usize = 2;

/// Loads that one domain gets in a step, before callers come.
const EARLY_PER_DOMAIN: usize = 2;

/// Hosts that can serve each model, in the order of the engine's models, by domain.
type DomainStocks<'v> = SortedTable<&'v DomainName, Vec<usize>>;

impl GroupPlanner<'_> {
    /// The next load.
    pub(super) fn stage(&self, wanted: &[f64]) -> Option<PlanAction> {
        let most = self.view.engine.loads_at_once;
        if self.view.serving && self.view.loading >= most + EXTRA_LOADS {
            return None;
        }
        let urgent = self.stage_last_member(wanted).or_else(|| self.stage_empty(wanted));
        let urgent = urgent.or_else(|| self.stage_starved(wanted));
        if self.view.serving && self.view.loading >= most.saturating_sub(KEPT_LOADS) {
            return urgent;
        }
        urgent.or_else(|| self.stage_further(wanted))
    }

    /// Further models for hosts that serve already, `most` of them, while loads are short and nothing else is
    /// left to plan: thousands of hosts have theirs before callers come only if many loads begin at once.
    /// Each domain gets a few, since every load changes what its domain lacks.
    pub fn early_loads(&self, most: usize) -> Vec<PlanAction> {
        let stocks = self.stocks();
        let mut given = SortedTable::new();
        let mut loads: Vec<PlanAction> = Vec::new();
        for host in self.view.free.iter().chain(self.grouped()) {
            if loads.len() >= most || host.warm.is_none() || !host.has_room() {
                continue;
            }
            let given = given.get_or_insert_with(&host.domain, || 0_usize);
            if *given >= EARLY_PER_DOMAIN {
                continue;
            }
            if let Some((_, model)) = self.scarcest(host, &self.wanted, &stocks) {
                *given += 1;
                loads.push(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() });
            }
        }
        loads
    }

    /// Weights for the last members of a group that callers lack: a load or two put all hosts of the
    /// group to use that are free already.
    fn stage_last_member(&self, wanted: &[f64]) -> Option<PlanAction> {
        let order = self.by_lack(wanted);
        let mut lacking = order.into_iter().filter(|index| self.lacks(*index, wanted));
        lacking.find_map(|index| {
            let model = &self.models()[index];
            let domains = self.domains();
            let mut short = domains.iter().filter(|domain| {
                let held = self.held(domain, model);
                held < model.size && held * 2 >= model.size
            });
            short.find_map(|domain| {
                let mut hosts = self.free_in(domain);
                hosts.retain(|host| !host.will_join(&model.name) && self.may_give(host, wanted));
                let host = hosts.into_iter().min_by_key(|host| !host.is_empty())?;
                Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
            })
        })
    }

    /// Whether the staged weights of `host` may be replaced: callers lack no group of their model,
    /// or the host is warm in it.
    fn may_give(&self, host: &PoolHost, wanted: &[f64]) -> bool {
        let needed = |staged: &String| {
            let index = self.models().iter().position(|model| model.name == *staged);
            !host.is_warm(staged) && index.is_some_and(|index| self.lacks(index, wanted))
        };
        let joins = host.standby.is_some() && host.warm.is_none();
        host.staging.is_none() && !host.fresh && !joins && !host.staged.iter().any(needed)
    }

    fn stage_empty(&self, wanted: &[f64]) -> Option<PlanAction> {
        let empty = |host: &&PoolHost| host.is_empty() && host.standby.is_none();
        let host = self.view.free.iter().find(empty)?;
        let (_, model) = self.scarcest(host, wanted, &self.stocks())?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }

    /// Another model for a host that keeps none beside the one it is warm in: the model and the
    /// domain where the fewest hosts could take the place of a lost one.
    fn stage_further(&self, wanted: &[f64]) -> Option<PlanAction> {
        let stocks = self.stocks();
        let hosts = self.view.free.iter().chain(self.grouped());
        let able = hosts.filter(|host| host.warm.is_some() && host.has_room());
        let loads = able.filter_map(|host| {
            let (supply, model) = self.scarcest(host, wanted, &stocks)?;
            Some((supply, host, model))
        });
        let (_, host, model) = loads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }

    /// The model that `host` cannot serve and its domain has the smallest supply of, and that
    /// supply: hosts that can serve it for each one that should.
    fn scarcest(
        &self,
        host: &PoolHost,
        wanted: &[f64],
        stocks: &DomainStocks<'_>,
    ) -> Option<(f64, &ModelSpec)> {
        let domains = stocks.len().max(1);
        let stock = stocks.get(&&host.domain)?;
        let models = self.models().iter().zip(wanted).zip(stock);
        let missing = models.filter(|((model, _), _)| !host.will_join(&model.name));
        let supplies = missing.map(|((model, wanted), stock)| {
            let needed = wanted.max(1.0) * model.size as f64 / domains as f64;
            (*stock as f64 / needed, model)
        });
        supplies.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Hosts of each domain, free or not, that can serve each model or will.
    ///
    /// Counted once for a plan: counted for each host, a plan would look at every pair of hosts.
    fn stocks(&self) -> DomainStocks<'_> {
        let mut stocks = DomainStocks::new();
        for host in self.every_host() {
            let none = || vec![0; self.models().len()];
            let stock = stocks.get_or_insert_with(&host.domain, none);
            for (count, model) in stock.iter_mut().zip(self.models()) {
                *count += usize::from(host.will_join(&model.name));
            }
        }
        stocks
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
