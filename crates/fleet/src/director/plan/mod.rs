//! Planning of groups and staged weights.
//!
//! Loading a model takes ten times as long as joining a group with staged weights. A host has
//! weights in two places: those of its last group are warm in its accelerators, and others are
//! staged on the host. So hosts that serve one model stage the weights of another, and whichever
//! model loses a host finds a replacement among all hosts of the domain. If each host kept its own
//! model only, a large group that lost two hosts would wait for a load with the rest of its hosts
//! idle. Hosts of one group share a fabric domain: across domains a group is several times slower.

mod form;
mod host;
mod idle;
mod idle_reason;
mod lateness;
mod rebalance;
mod stage;
mod supply;
mod view;
mod wanted;

use briartray_model::SortedTable;
use briartray_model::names::{DomainName, GroupId, IncarnationId};

pub use self::host::{PlacedGroup, PoolHost};
use self::idle_reason::describe_idle;
pub use self::idle_reason::{IdleCount, IdleReason};
pub use self::supply::{ModelSupply, NearestDomain};
pub use self::view::{PlanAction, PlanView};
use crate::deployment::ModelSpec;
use crate::state::GroupRecord;

/// Largest fraction by which the wanted number of groups is rounded up. With more, spares would be
/// used up for groups that are only half wanted, the next loss would wait for a spare, and hosts
/// would move back and forth between models.
const ROUND_UP_FRACTION: f64 = 0.2;

/// Free hosts that each domain keeps for repairs, beyond the groups that callers need: a dead
/// member is replaced at once, even where orders get lost.
const SPARES_PER_DOMAIN: usize = 1;

/// Id of a group that the log has not assigned yet.
const PENDING_GROUP: GroupId = GroupId(u64::MAX);

/// Plans the groups of one service.
#[derive(Debug, Clone)]
pub struct GroupPlanner<'a> {
    view: PlanView<'a>,
    /// Wanted number of groups of each model; the actions of one step hardly change it.
    wanted: Vec<f64>,
    /// The same by the demand averaged over the time of a load; equal to `wanted` unless the view
    /// has `overload` set.
    steady_wanted: Vec<f64>,
    /// Positions of free hosts by domain; one action looks them up several times for each domain.
    free: DomainPositions,
    /// Positions of hosts that are ordered to leave, by domain.
    leaving: DomainPositions,
    /// Positions of hosts whose groups are ending, by domain.
    closing: DomainPositions,
}

/// Positions in a list of hosts, by domain.
type DomainPositions = SortedTable<DomainName, Vec<usize>>;

impl<'a> GroupPlanner<'a> {
    /// Creates a planner for `view`.
    pub fn new(view: PlanView<'a>) -> Self {
        let [free, leaving, closing] =
            [&view.free, &view.leaving, &view.closing].map(|hosts| by_domain(hosts));
        let mut planner =
            Self { view, wanted: Vec::new(), steady_wanted: Vec::new(), free, leaving, closing };
        planner.wanted = planner.wanted_groups(&planner.view.demand);
        planner.steady_wanted = if planner.view.overload {
            planner.wanted_groups(&planner.view.steady_demand)
        } else {
            planner.wanted.clone()
        };
        planner
    }

    /// Next action, the most urgent first; `None` when nothing is to be done.
    pub fn next(&self) -> Option<PlanAction> {
        let wanted = &self.wanted;
        self.form_missing(wanted)
            .or_else(|| self.replace_slow())
            .or_else(|| self.rebalance(wanted))
            .or_else(|| self.form_further(wanted))
            .or_else(|| self.warm_up_spare())
            .or_else(|| self.stage(wanted))
    }

    /// Applies a started action to the view, so that the next one builds on it.
    pub fn apply(&mut self, action: PlanAction) {
        match action {
            PlanAction::Form { group, .. } => self.add_group(&group),
            PlanAction::Stage { host, model } => {
                self.view.loading += 1;
                if let Some(host) = self.host_mut(&host) {
                    host.staging = Some(model);
                }
            }
            PlanAction::End(group) => self.remove_group(group),
        }
    }

    /// Moves the members of `group` from the free hosts to its groups; a standby group keeps them
    /// free.
    fn add_group(&mut self, group: &GroupRecord) {
        if group.standby {
            for member in &group.members {
                if let Some(host) = self.host_mut(&member.id) {
                    host.standby = Some(group.model.clone());
                }
            }
            return;
        }
        let is_member = |host: &PoolHost| group.members.iter().any(|member| member.id == host.id);
        let taken = |host: &mut PoolHost| is_member(host);
        let hosts = self.view.free.extract_if(.., taken).collect();
        self.free = by_domain(&self.view.free);
        let index = self.models().iter().position(|model| model.name == group.model);
        if let Some(groups) = index.and_then(|index| self.view.groups.get_mut(index)) {
            groups.push(PlacedGroup { group: PENDING_GROUP, domain: group.domain.clone(), hosts });
        }
    }

    /// Removes `group` from the serving groups; its hosts become free later.
    fn remove_group(&mut self, group: GroupId) {
        for groups in &mut self.view.groups {
            for ended in groups.extract_if(.., |placed| placed.group == group) {
                self.view.closing.extend(ended.hosts);
            }
        }
        self.closing = by_domain(&self.view.closing);
    }

    fn host_mut(&mut self, id: &IncarnationId) -> Option<&mut PoolHost> {
        let groups = self.view.groups.iter_mut().flatten();
        let grouped = groups.flat_map(|group| &mut group.hosts);
        self.view.free.iter_mut().chain(grouped).find(|host| host.id == *id)
    }

    /// Inputs of the plan as one line for the log: wanted groups of each model, hosts, trust in the
    /// demand, what models lack by their `supplies`, and why free hosts are `idle`.
    pub fn summary(&self, supplies: &[ModelSupply], idle: &[IdleCount]) -> String {
        let describe = |(model, wanted): (&ModelSpec, &f64)| format!("{} {wanted:.1}", model.name);
        let wanted: Vec<String> = self.models().iter().zip(&self.wanted).map(describe).collect();
        let (hosts, trust) = (self.groupable_hosts(), self.view.trust);
        let mut summary = format!("wanted {} on {hosts} hosts, trust {trust:.1}", wanted.join(" "));
        for supply in supplies.iter().filter(|supply| supply.lacking() > 0) {
            summary.push_str(&format!("; {}", supply.shortage()));
        }
        format!("{summary}; idle {}", describe_idle(idle))
    }

    /// Indices of the models, the largest shortage first.
    fn by_shortage(&self, wanted: &[f64]) -> Vec<usize> {
        let models = &self.view.engine.models;
        let mut order: Vec<usize> = (0..models.len()).collect();
        order.sort_by(|a, b| {
            // On a first start large groups come first: small ones fit in between.
            let size = models[*b].size.cmp(&models[*a].size);
            let shortage = self.coverage(*a, wanted).total_cmp(&self.coverage(*b, wanted));
            if self.view.serving { shortage.then(size) } else { size.then(shortage) }
        });
        order
    }

    /// Groups of the model at `index` in proportion to the wanted number.
    fn coverage(&self, index: usize, wanted: &[f64]) -> f64 {
        coverage_ratio(self.view.groups[index].len(), wanted[index])
    }

    /// Whether the model at `index` has fewer groups than callers need.
    fn is_short(&self, index: usize, wanted: &[f64]) -> bool {
        self.view.groups[index].len() < whole_groups(wanted[index])
    }

    /// Index of a model that no group serves although callers send requests.
    fn unserved_model(&self) -> Option<usize> {
        if !self.view.serving {
            return None;
        }
        (0..self.view.groups.len()).find(|index| self.view.groups[*index].is_empty())
    }

    /// Free hosts of `domain` that can join a group of `model`, now or after their current load.
    fn joinable_count(&self, domain: &DomainName, model: &ModelSpec) -> usize {
        self.free_in(domain).iter().filter(|host| host.will_join(&model.name)).count()
    }

    fn free_in(&self, domain: &DomainName) -> Vec<&PoolHost> {
        at_positions(&self.view.free, &self.free, domain).collect()
    }

    /// Domains with free hosts.
    fn domains(&self) -> Vec<DomainName> {
        self.free.keys().cloned().collect()
    }

    /// Hosts in groups that serve or form.
    fn grouped_hosts(&self) -> impl Iterator<Item = &PoolHost> {
        self.view.groups.iter().flatten().flat_map(|group| &group.hosts)
    }

    fn all_hosts(&self) -> impl Iterator<Item = &PoolHost> {
        self.view.free.iter().chain(self.soon_free()).chain(self.grouped_hosts())
    }

    /// Hosts of `domain` that are about to become free.
    fn soon_free_in(&self, domain: &DomainName) -> impl Iterator<Item = &PoolHost> {
        let leaving = at_positions(&self.view.leaving, &self.leaving, domain);
        leaving.chain(at_positions(&self.view.closing, &self.closing, domain))
    }

    /// Hosts that are about to become free.
    fn soon_free(&self) -> impl Iterator<Item = &PoolHost> {
        self.view.leaving.iter().chain(&self.view.closing)
    }

    fn models(&self) -> &'a [ModelSpec] {
        &self.view.engine.models
    }
}

/// `groups` in proportion to the `wanted` number, which counts as at least one.
fn coverage_ratio(groups: usize, wanted: f64) -> f64 {
    groups as f64 / wanted.max(1.0)
}

/// Number of whole groups for the `wanted` number; at least one.
fn whole_groups(wanted: f64) -> usize {
    ((wanted + ROUND_UP_FRACTION).floor() as usize).max(1)
}

fn domains_of<'h>(hosts: impl Iterator<Item = &'h PoolHost>) -> Vec<DomainName> {
    let mut domains: Vec<&DomainName> = hosts.map(|host| &host.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.into_iter().cloned().collect()
}

fn by_domain(hosts: &[PoolHost]) -> DomainPositions {
    let mut positions = DomainPositions::new();
    for (position, host) in hosts.iter().enumerate() {
        match positions.get_mut(&host.domain) {
            Some(known) => known.push(position),
            None => {
                positions.insert(host.domain.clone(), vec![position]);
            }
        }
    }
    positions
}

/// Hosts of `domain` in `hosts`, in their order.
fn at_positions<'h>(
    hosts: &'h [PoolHost],
    positions: &'h DomainPositions,
    domain: &DomainName,
) -> impl Iterator<Item = &'h PoolHost> {
    positions.get(domain).into_iter().flatten().map(|position| &hosts[*position])
}
