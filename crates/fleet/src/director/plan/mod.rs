//! Which groups to form of the hosts, and which weights to keep where.
//!
//! Loading a model takes ten times as long as joining where its weights are. A host has weights in
//! two places: those of its last group are warm in its accelerators, and it keeps others staged
//! beside them. So hosts that serve one model are given the weights of another one to keep, and
//! whichever model loses a host finds the next one among all hosts of the domain. Where each host kept
//! its own model only, a large group that lost two hosts would wait for a load with the rest of its
//! hosts idle. Hosts of one group share a fabric domain: across domains a group runs several times
//! slower.

mod form;
mod host;
mod lateness;
mod rebalance;
mod stage;
mod view;
mod wanted;

use briartray_model::SortedTable;
use briartray_model::names::{DomainName, GroupId, IncarnationId};

pub use self::host::{PlacedGroup, PoolHost};
pub use self::view::{PlanAction, PlanView};
use crate::deployment::ModelSpec;
use crate::state::GroupRecord;

/// Part of a group that may be lacking for one more to be formed. Spares would be used up for halves
/// of groups, and the next loss would wait for a spare; hosts would go to and fro between models.
const ROUND_UP: f64 = 0.2;

/// Free hosts that each domain keeps to mend its groups, beyond groups that callers need: a dead member is
/// replaced at once, also where orders get lost.
const SPARES_KEPT: usize = 1;

/// Number of a group that the log has not named yet.
const UNNAMED: GroupId = GroupId(u64::MAX);

/// Plans groups of one service.
#[derive(Debug, Clone)]
pub struct GroupPlanner<'a> {
    view: PlanView<'a>,
    /// Groups of each model that should serve; the actions of one step hardly change it.
    wanted: Vec<f64>,
    /// Positions of free hosts by domain: each domain is asked for its own several times for an action.
    free: DomainPositions,
    /// Positions of hosts that are being told to leave, by domain.
    leaving: DomainPositions,
    /// Positions of hosts whose groups are about to end, by domain.
    closing: DomainPositions,
}

/// Positions in a list of hosts, by domain.
type DomainPositions = SortedTable<DomainName, Vec<usize>>;

impl<'a> GroupPlanner<'a> {
    /// A planner for what `view` shows.
    pub fn new(view: PlanView<'a>) -> Self {
        let [free, leaving, closing] =
            [&view.free, &view.leaving, &view.closing].map(|hosts| by_domain(hosts));
        let mut planner = Self { view, wanted: Vec::new(), free, leaving, closing };
        planner.wanted = planner.wanted_groups();
        planner
    }

    /// The next action, the most urgent one; `None` when nothing is to be done.
    pub fn next(&self) -> Option<PlanAction> {
        let wanted = &self.wanted;
        self.form_missing(wanted)
            .or_else(|| self.replace_slow())
            .or_else(|| self.rebalance(wanted))
            .or_else(|| self.form_further(wanted))
            .or_else(|| self.warm_up())
            .or_else(|| self.stage(wanted))
    }

    /// Brings the view up to date with an action that was begun, so that the next one builds on it.
    pub fn carry_out(&mut self, action: PlanAction) {
        match action {
            PlanAction::Form { group, .. } => self.place(&group),
            PlanAction::Stage { host, model } => {
                self.view.loading += 1;
                if let Some(host) = self.host_mut(&host) {
                    host.staging = Some(model);
                }
            }
            PlanAction::End(group) => self.vacate(group),
        }
    }

    /// Takes the members of `group` out of the free hosts, unless it is a standby group.
    fn place(&mut self, group: &GroupRecord) {
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
            groups.push(PlacedGroup { group: UNNAMED, domain: group.domain.clone(), hosts });
        }
    }

    /// Takes `group` out of those that serve; its hosts are free in a while.
    fn vacate(&mut self, group: GroupId) {
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

    /// What decides, in a few words: groups wanted of each model, and how far demand is believed.
    pub fn summary(&self) -> String {
        let tell = |(model, wanted): (&ModelSpec, &f64)| format!("{} {wanted:.1}", model.name);
        let wanted: Vec<String> = self.models().iter().zip(&self.wanted).map(tell).collect();
        let (hosts, trust) = (self.packed_hosts(), self.view.trust);
        format!("wanted {} on {hosts} hosts, trust {trust:.1}", wanted.join(" "))
    }

    /// Models by how much they lack, the one that lacks most first.
    fn by_lack(&self, wanted: &[f64]) -> Vec<usize> {
        let models = &self.view.engine.models;
        let mut order: Vec<usize> = (0..models.len()).collect();
        order.sort_by(|a, b| {
            // At the start the large groups come first: small ones find room between them.
            let size = models[*b].size.cmp(&models[*a].size);
            let lack = self.filled(*a, wanted).total_cmp(&self.filled(*b, wanted));
            if self.view.serving { lack.then(size) } else { size.then(lack) }
        });
        order
    }

    /// Groups of the model at `index`, as a part of those wanted.
    fn filled(&self, index: usize, wanted: &[f64]) -> f64 {
        part_of(self.view.groups[index].len(), wanted[index])
    }

    /// Whether the model at `index` has fewer groups than callers need.
    fn lacks(&self, index: usize, wanted: &[f64]) -> bool {
        self.view.groups[index].len() < whole_groups(wanted[index])
    }

    /// A model that no group serves although callers ask.
    fn starved(&self) -> Option<usize> {
        if !self.view.serving {
            return None;
        }
        (0..self.view.groups.len()).find(|index| self.view.groups[*index].is_empty())
    }

    /// Free hosts of `domain` that can serve `model`, or will when their load is over.
    fn held(&self, domain: &DomainName, model: &ModelSpec) -> usize {
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
    fn grouped(&self) -> impl Iterator<Item = &PoolHost> {
        self.view.groups.iter().flatten().flat_map(|group| &group.hosts)
    }

    fn every_host(&self) -> impl Iterator<Item = &PoolHost> {
        self.view.free.iter().chain(self.coming()).chain(self.grouped())
    }

    /// Hosts of `domain` that are not free yet and will be.
    fn coming_in(&self, domain: &DomainName) -> impl Iterator<Item = &PoolHost> {
        let leaving = at_positions(&self.view.leaving, &self.leaving, domain);
        leaving.chain(at_positions(&self.view.closing, &self.closing, domain))
    }

    /// Hosts that are not free yet and will be.
    fn coming(&self) -> impl Iterator<Item = &PoolHost> {
        self.view.leaving.iter().chain(&self.view.closing)
    }

    fn models(&self) -> &'a [ModelSpec] {
        &self.view.engine.models
    }
}

/// `groups` as a part of what is `wanted`; no model is wanted less than one group.
fn part_of(groups: usize, wanted: f64) -> f64 {
    groups as f64 / wanted.max(1.0)
}

/// Whole groups for what is `wanted`.
fn whole_groups(wanted: f64) -> usize {
    ((wanted + ROUND_UP).floor() as usize).max(1)
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

/// The hosts of `domain` among `hosts`, in their order.
fn at_positions<'h>(
    hosts: &'h [PoolHost],
    positions: &'h DomainPositions,
    domain: &DomainName,
) -> impl Iterator<Item = &'h PoolHost> {
    positions.get(domain).into_iter().flatten().map(|position| &hosts[*position])
}
