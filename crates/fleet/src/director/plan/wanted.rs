//! Wanted number of groups of each model.

use briartray_model::SortedTable;
use briartray_model::names::DomainName;

use super::{GroupPlanner, PoolHost, SPARES_PER_DOMAIN, lateness};
use crate::deployment::ModelSpec;
use crate::message::WorkSum;

/// Utilization below which further groups of a model are of no use.
const MIN_UTILIZATION: f64 = 0.5;

impl GroupPlanner<'_> {
    /// Wanted groups of each model for `demand` per second: all hosts but some spares, split so that
    /// callers lose least; as far as the demand is not trusted, by the given shares.
    ///
    /// The split matters, not the sum: when only as many groups were wanted as the demand needs in
    /// total, two models with a shortage took hosts from each other, and hosts were idle at the
    /// start of a burst.
    pub(super) fn wanted_groups(&self, demand: &[WorkSum]) -> Vec<f64> {
        let models = self.models();
        let work: Vec<f64> = models
            .iter()
            .zip(demand)
            .map(|(model, measured)| measured.work_ms / 1e3 * model.size as f64)
            .collect();
        let all: f64 = work.iter().sum();
        let trust = if all > 0.0 { self.view.trust } else { 0.0 };
        let hosts = self.target_hosts(all, trust);
        let measured = match lateness::split_hosts(self.view.engine, demand, hosts) {
            Some(groups) => groups,
            None => group_counts(&normalized(&work), models, hosts),
        };
        let declared = group_counts(&normalized(&self.view.shares), models, hosts);
        let pairs = measured.into_iter().zip(declared);
        pairs.map(|(measured, declared)| measured * trust + declared * (1.0 - trust)).collect()
    }

    /// Number of hosts that should serve when the demand keeps `work` hosts busy.
    fn target_hosts(&self, work: f64, trust: f64) -> f64 {
        let most = self.groupable_hosts() as f64;
        let useful = work / MIN_UTILIZATION;
        if trust < 1.0 { most } else { most.min(useful) }
    }

    /// Number of hosts that groups can hold besides the spares of their domains, in whole groups of
    /// the smallest size; a domain whose groups hold more counts with these.
    ///
    /// The remainder of a domain makes no group. When it was counted, more groups of every model
    /// were wanted than could exist, and the model that lacked more of them got no hosts of the
    /// other one.
    pub(super) fn groupable_hosts(&self) -> usize {
        let smallest = self.models().iter().map(|model| model.size).min().unwrap_or(1).max(1);
        let able = |host: &&PoolHost| !host.slow && (!self.view.serving || host.has_weights());
        let mut hosts = SortedTable::new();
        for host in self.all_hosts().filter(able) {
            *hosts.get_or_insert_with(&host.domain, || 0_usize) += 1;
        }
        let mut grouped = SortedTable::new();
        for host in self.grouped_hosts() {
            *grouped.get_or_insert_with(&host.domain, || 0_usize) += 1;
        }
        let groupable = |(domain, hosts): (&&DomainName, &usize)| {
            let whole = hosts.saturating_sub(SPARES_PER_DOMAIN) / smallest * smallest;
            whole.max(grouped.get(domain).copied().unwrap_or(0))
        };
        hosts.iter().map(groupable).sum()
    }
}

/// Number of groups of each model that its part of `hosts` makes.
fn group_counts(parts: &[f64], models: &[ModelSpec], hosts: f64) -> Vec<f64> {
    parts.iter().zip(models).map(|(part, model)| part * hosts / model.size as f64).collect()
}

/// `parts` as fractions of their sum; equal fractions when all are zero.
fn normalized(parts: &[f64]) -> Vec<f64> {
    let sum: f64 = parts.iter().sum();
    let equal = 1.0 / parts.len().max(1) as f64;
    parts.iter().map(|part| if sum > 0.0 { part / sum } else { equal }).collect()
}
