//! How many groups of each model should serve.

use briartray_model::SortedTable;
use briartray_model::names::DomainName;

use super::{GroupPlanner, PoolHost, SPARES_KEPT, lateness};
use crate::deployment::ModelSpec;

/// Part of its time that a group is busy at the least before further ones are of no use.
const LEAST_BUSY: f64 = 0.5;

impl GroupPlanner<'_> {
    /// Groups of each model that should serve: all hosts but some spares, split so that the fewest
    /// callers are late; by the given shares as far as the demand is not believed yet.
    ///
    /// The split counts, not the sum: with as many groups as the sum asks for, two models that both
    /// lacked hosts took them from each other, and hosts were idle while a burst began.
    pub(super) fn wanted_groups(&self) -> Vec<f64> {
        let models = self.models();
        let work: Vec<f64> = models
            .iter()
            .zip(&self.view.demand)
            .map(|(model, asked)| asked.work_ms / 1e3 * model.size as f64)
            .collect();
        let all: f64 = work.iter().sum();
        let trust = if all > 0.0 { self.view.trust } else { 0.0 };
        let hosts = self.grouped_hosts(all, trust);
        let asked = match lateness::split(self.view.engine, &self.view.demand, hosts) {
            Some(groups) => groups,
            None => groups_of(&normalized(&work), models, hosts),
        };
        let given = groups_of(&normalized(&self.view.shares), models, hosts);
        let pairs = asked.into_iter().zip(given);
        pairs.map(|(asked, given)| asked * trust + given * (1.0 - trust)).collect()
    }

    /// Hosts that should serve when callers ask for `work` hosts kept busy.
    fn grouped_hosts(&self, work: f64, trust: f64) -> f64 {
        let most = self.packed_hosts() as f64;
        let useful = work / LEAST_BUSY;
        if trust < 1.0 { most } else { most.min(useful) }
    }

    /// Hosts that groups can hold beside the spares of their domains, in whole groups of the smallest
    /// size; groups that hold more already count whole.
    ///
    /// What a domain has over makes no group. Counted in, more groups of every model were wanted than
    /// there could be, and the model that lacked the larger part of them got none of the other's hosts.
    pub(super) fn packed_hosts(&self) -> usize {
        let smallest = self.models().iter().map(|model| model.size).min().unwrap_or(1).max(1);
        let able = |host: &&PoolHost| !host.slow && (!self.view.serving || host.has_weights());
        let mut hosts = SortedTable::new();
        for host in self.every_host().filter(able) {
            *hosts.get_or_insert_with(&host.domain, || 0_usize) += 1;
        }
        let mut grouped = SortedTable::new();
        for host in self.grouped() {
            *grouped.get_or_insert_with(&host.domain, || 0_usize) += 1;
        }
        let held = |(domain, hosts): (&&DomainName, &usize)| {
            let whole = hosts.saturating_sub(SPARES_KEPT) / smallest * smallest;
            whole.max(grouped.get(domain).copied().unwrap_or(0))
        };
        hosts.iter().map(held).sum()
    }
}

/// Groups of each model that its part of `hosts` makes.
fn groups_of(parts: &[f64], models: &[ModelSpec], hosts: f64) -> Vec<f64> {
    parts.iter().zip(models).map(|(part, model)| part * hosts / model.size as f64).collect()
}

/// `parts` of a whole; equal ones when all are nothing.
fn normalized(parts: &[f64]) -> Vec<f64> {
    let sum: f64 = parts.iter().sum();
    let equal = 1.0 / parts.len().max(1) as f64;
    parts.iter().map(|part| if sum > 0.0 { part / sum } else { equal }).collect()
}
