//! Why free hosts serve no group.
//!
//! While a model lacks groups for the demand, every free host is a cost. The reason tells what would
//! put it to use: hosts of its domain, weights, or time. A model lacks groups here if the demand asks
//! for more than it has: the wanted number falls with every lost host.

use briartray_model::names::DomainName;

use super::{GroupPlanner, PoolHost};

/// Reason why a free host serves no group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleReason {
    /// It is loading weights.
    Loading,
    /// It is much slower than nominal.
    Slow,
    /// No model lacks groups.
    Spare,
    /// Its domain has fewer free hosts than a group of any lacking model.
    FewHosts,
    /// Its domain has enough free hosts for a lacking model, too few of them with its weights, and
    /// the weight store handles no further load at full speed.
    StoreBusy,
    /// The same while the weight store has room, but the host was first heard from a moment ago.
    NewlySeen,
    /// The same while the weight store has room.
    NoWeights,
    /// Hosts of its domain can form a lacking group, but are kept for a model with a larger
    /// shortage.
    Reserved,
    /// Hosts of its domain can form a lacking group, which is about to be ordered.
    Ready,
}

impl IdleReason {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loading => "loading",
            Self::Slow => "slow",
            Self::Spare => "spare",
            Self::FewHosts => "few_hosts",
            Self::StoreBusy => "store_busy",
            Self::NewlySeen => "newly_seen",
            Self::NoWeights => "no_weights",
            Self::Reserved => "reserved",
            Self::Ready => "ready",
        }
    }
}

/// Number of free hosts that serve no group for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleCount {
    /// The reason.
    pub reason: IdleReason,
    /// Number of hosts, at least one.
    pub hosts: usize,
}

impl GroupPlanner<'_> {
    /// Counts the free hosts by the reason why they serve no group, sorted by reason.
    pub fn idle_counts(&self) -> Vec<IdleCount> {
        let lacking: Vec<usize> = (0..self.models().len())
            .filter(|index| self.missing_groups(*index).is_some())
            .collect();
        let reserved = self.reserved();
        let mut reasons: Vec<IdleReason> = Vec::new();
        for domain in self.domains() {
            let kept_for = reserved.as_ref().filter(|(kept, _)| *kept == domain);
            let shared = self.domain_reason(&domain, &lacking, kept_for.map(|(_, index)| *index));
            let hosts = self.free_in(&domain);
            reasons.extend(hosts.into_iter().map(|host| host_reason(host, shared)));
        }
        reasons.sort_unstable();
        let count = |same: &[IdleReason]| IdleCount { reason: same[0], hosts: same.len() };
        reasons.chunk_by(|a, b| a == b).map(count).collect()
    }

    /// Reason that the free hosts of `domain` share, for `lacking` models by index; the hosts may be
    /// `kept_for` a model without any group.
    fn domain_reason(
        &self,
        domain: &DomainName,
        lacking: &[usize],
        kept_for: Option<usize>,
    ) -> IdleReason {
        if lacking.is_empty() {
            return IdleReason::Spare;
        }
        let hosts = self.free_in(domain);
        let possible = lacking.iter().filter(|index| hosts.len() >= self.models()[**index].size);
        let formable = possible.clone().filter(|index| {
            let model = &self.models()[**index];
            hosts.iter().filter(|host| host.can_join(&model.name)).count() >= model.size
        });
        let is_kept = |index: usize| {
            kept_for.is_some_and(|other| other != index)
                || self.is_needed_by_others(domain, index, false, &self.wanted)
        };
        if formable.clone().any(|index| !is_kept(*index)) {
            IdleReason::Ready
        } else if formable.count() > 0 {
            IdleReason::Reserved
        } else if possible.count() > 0 {
            let is_busy = self.view.loading >= self.view.engine.loads_at_once;
            if is_busy { IdleReason::StoreBusy } else { IdleReason::NoWeights }
        } else {
            IdleReason::FewHosts
        }
    }
}

/// Reason of `host`, whose domain has the reason `shared`.
fn host_reason(host: &PoolHost, shared: IdleReason) -> IdleReason {
    match shared {
        _ if host.staging.is_some() => IdleReason::Loading,
        _ if host.slow => IdleReason::Slow,
        IdleReason::NoWeights if host.newly_seen => IdleReason::NewlySeen,
        shared => shared,
    }
}

/// Describes `counts` for a log line.
pub(super) fn describe_idle(counts: &[IdleCount]) -> String {
    let describe = |count: &IdleCount| format!("{} {}", count.hosts, count.reason.as_str());
    let descriptions: Vec<String> = counts.iter().map(describe).collect();
    if descriptions.is_empty() { "none".to_owned() } else { descriptions.join(" ") }
}
