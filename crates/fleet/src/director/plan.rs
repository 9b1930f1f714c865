//! Which groups to form of the free hosts, and which weights to stage ahead.
//!
//! Loading a model takes ten times as long as joining where its weights are staged, and a host
//! keeps few models. So a group is formed of hosts that have its weights, and free hosts are given
//! the weights that the next repair will want. Hosts of one group share a fabric domain: across
//! domains a group runs several times slower.

use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName, ZoneName};

use crate::deployment::{EngineModel, ModelSpec};
use crate::state::{GroupHost, GroupRecord};

/// Part of the hosts that serve in groups at the start; the rest waits to mend them. A host is
/// lost every three seconds on the worst days seen, and loads take four times as long.
const GROUPED_PART: f64 = 0.8;

/// Part of its time that a group is planned to be busy. Arrivals come in clumps, and entries do not
/// know each other's last requests.
const BUSY_PART: f64 = 0.9;

/// Free hosts with the weights of a model that each domain keeps beyond its groups.
const SPARES_KEPT: usize = 1;

/// A host that is in no group.
#[derive(Debug, Clone, PartialEq)]
pub struct FreeHost {
    /// Its endpoint.
    pub id: IncarnationId,
    /// Where it listens.
    pub address: String,
    /// Its fabric domain.
    pub domain: DomainName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Models whose weights it has.
    pub staged: Vec<String>,
    /// Model that it is loading.
    pub staging: Option<String>,
    /// Model that it can join a group of at once.
    pub warm: Option<String>,
    /// Whether it has just been heard for the first time: when a domain comes back, its hosts are
    /// heard one after the other, and the first ones would be given other weights although they
    /// form a group with those that follow.
    pub fresh: bool,
    /// Whether it is in a standby group.
    pub standby: bool,
}

impl FreeHost {
    fn has(&self, model: &str) -> bool {
        self.staging.is_none() && self.staged.iter().any(|staged| staged == model)
    }

    fn is_warm(&self, model: &str) -> bool {
        self.has(model) && self.warm.as_deref() == Some(model)
    }

    fn will_have(&self, model: &str) -> bool {
        match &self.staging {
            Some(staging) => staging == model,
            None => self.has(model),
        }
    }
}

/// What the planner looks at, for one service.
#[derive(Debug, Clone)]
pub struct PlanView<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its engine.
    pub engine: &'a EngineModel,
    /// Hosts in no group that serves.
    pub free: Vec<FreeHost>,
    /// Groups that serve or form with their domains, by model in the order of the engine's models.
    pub groups: Vec<Vec<(GroupId, DomainName)>>,
    /// Hosts that are alive.
    pub hosts: usize,
    /// Work that callers ask for by model, in groups kept busy; `None` before it is known.
    pub demand: Option<Vec<f64>>,
    /// Domains known so far, while hosts are still heard for the first time.
    pub gathering: Option<usize>,
    /// Whether callers have begun to ask: before that, loads cost a tenth of their time.
    pub serving: bool,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Form a group; `loads` of its members have to load the weights first.
    Form {
        /// The group.
        group: GroupRecord,
        /// Members without the weights.
        loads: usize,
    },
    /// Let a group end in peace, so that its hosts can serve a model that has none.
    End(GroupId),
    /// Stage a model on a free host.
    Stage {
        /// The host.
        host: IncarnationId,
        /// The model.
        model: String,
    },
}

/// Plans groups of one service.
#[derive(Debug, Clone)]
pub struct GroupPlanner<'a> {
    view: PlanView<'a>,
}

impl<'a> GroupPlanner<'a> {
    /// A planner for what `view` shows.
    pub fn new(view: PlanView<'a>) -> Self {
        Self { view }
    }

    /// Groups of each model that should serve: what callers ask for, or the declared shares of
    /// the work while that is not known.
    pub fn targets(&self) -> Vec<usize> {
        match &self.view.demand {
            Some(demand) => {
                demand.iter().map(|busy| ((busy / BUSY_PART).ceil() as usize).max(1)).collect()
            }
            None => self.shares(),
        }
    }

    fn shares(&self) -> Vec<usize> {
        let models = &self.view.engine.models;
        let grouped = self.view.hosts as f64 * GROUPED_PART;
        let total: f64 = models.iter().map(|model| model.share).sum();
        let part = |model: &ModelSpec| {
            let share = if total > 0.0 { model.share / total } else { 1.0 / models.len() as f64 };
            ((grouped * share / model.size as f64).round() as usize).max(1)
        };
        models.iter().map(part).collect()
    }

    /// The next action, the most urgent one; `None` when nothing is to be done.
    pub fn next(&self) -> Option<PlanAction> {
        let targets = self.targets();
        self.form(&targets)
            .or_else(|| self.warm_up())
            .or_else(|| self.stage(&targets))
            .or_else(|| self.reclaim())
    }

    /// Models by how much they lack, the one that lacks most first.
    fn by_lack(&self, targets: &[usize]) -> Vec<usize> {
        let models = &self.view.engine.models;
        let filled = |index: usize| self.filled(index, targets);
        let mut order: Vec<usize> = (0..models.len()).collect();
        order.sort_by(|a, b| {
            // At the start the large groups come first: small ones find room between them.
            let size = models[*b].size.cmp(&models[*a].size);
            let lack = filled(*a).total_cmp(&filled(*b));
            if self.view.serving { lack.then(size) } else { size.then(lack) }
        });
        order
    }

    /// Groups of the model at `index`, as a part of those wanted.
    fn filled(&self, index: usize, targets: &[usize]) -> f64 {
        self.view.groups[index].len() as f64 / targets[index] as f64
    }

    /// Forms a group of a model that is below its target, or a further one of hosts that no
    /// repair would miss.
    fn form(&self, targets: &[usize]) -> Option<PlanAction> {
        let order = self.by_lack(targets);
        let below = order.iter().filter(|index| self.view.groups[**index].len() < targets[**index]);
        let missing = below.copied().find_map(|index| self.form_of(index, 0, targets));
        missing
            .or_else(|| order.iter().find_map(|index| self.form_of(*index, SPARES_KEPT, targets)))
    }

    /// A group of the model at `index` in the domain that has fewest of them, which leaves at
    /// least `spares` hosts with its weights.
    fn form_of(&self, index: usize, spares: usize, targets: &[usize]) -> Option<PlanAction> {
        let model = &self.view.engine.models[index];
        let mut best: Option<(usize, usize, usize, Vec<&FreeHost>)> = None;
        for domain in self.domains() {
            if self.reserved().is_some_and(|(held, other)| held == domain && other != index) {
                continue;
            }
            let mut hosts = self.free_in(&domain);
            hosts.retain(|host| host.staging.is_none());
            let with_weights = hosts.iter().filter(|host| host.has(&model.name)).count();
            // Spares serve their own domain only: where no group is left to mend, they are of most
            // use as one.
            let same = self.view.groups[index].iter().filter(|(_, other)| *other == domain).count();
            if same >= self.most_in_domain(index, targets) {
                continue;
            }
            let alone = same == 0;
            let kept = if alone { 0 } else { spares };
            if spares > 0 && with_weights < model.size + kept {
                continue;
            }
            let taken = hosts.len();
            // Hosts without any weights first among those that must load: they serve no repair.
            hosts.sort_by_key(|host| {
                (!host.has(&model.name), !host.staged.is_empty(), !host.is_warm(&model.name))
            });
            hosts.truncate(model.size);
            let loads = hosts.iter().filter(|host| !host.has(&model.name)).count();
            if hosts.len() < model.size || (loads > 0 && self.view.serving) {
                continue;
            }
            // Spread over the domains, since a whole domain can go dark.
            let rank = (loads, same, usize::MAX - taken);
            if best.as_ref().is_none_or(|(a, b, c, _)| rank < (*a, *b, *c)) {
                best = Some((rank.0, rank.1, rank.2, hosts));
            }
        }
        let (loads, _, _, hosts) = best?;
        Some(PlanAction::Form { group: self.record(model, &hosts), loads })
    }

    /// The domain whose free hosts are kept for a model that has no group at all: the one that
    /// has most of its weights, among those with hosts enough.
    fn reserved(&self) -> Option<(DomainName, usize)> {
        let index = self.starved()?;
        let model = &self.view.engine.models[index];
        let mut domains = self.domains();
        domains.retain(|domain| self.free_in(domain).len() >= model.size);
        let domain = domains.into_iter().max_by_key(|domain| self.held(domain, model))?;
        Some((domain, index))
    }

    /// A model that callers ask for and no group serves.
    fn starved(&self) -> Option<usize> {
        if !self.view.serving {
            return None;
        }
        (0..self.view.groups.len()).find(|index| self.view.groups[*index].is_empty())
    }

    /// Ends a group of another model where that gives a starved one hosts enough.
    ///
    /// Without this a few losses in each domain could leave a large model without any group for
    /// good: its hosts wait in all domains, and none has enough of them.
    fn reclaim(&self) -> Option<PlanAction> {
        let index = self.starved()?;
        if self.reserved().is_some() {
            return None;
        }
        let model = &self.view.engine.models[index];
        let mut domains = self.domains();
        domains.sort_by_key(|domain| usize::MAX - self.held(domain, model));
        domains.iter().find_map(|domain| {
            let missing = model.size.checked_sub(self.free_in(domain).len())?;
            let others = self.view.engine.models.iter().zip(&self.view.groups);
            let mut groups = others.filter(|(other, groups)| {
                // Never the last group of a model.
                groups.len() > 1 && other.size >= missing
            });
            groups.find_map(|(_, groups)| {
                let group = groups.iter().find(|(_, place)| place == domain)?;
                Some(PlanAction::End(group.0))
            })
        })
    }

    /// Groups of a model that one domain takes. While hosts are still heard for the first time,
    /// each domain gets its part, so that the domains heard first do not get all of them.
    fn most_in_domain(&self, index: usize, targets: &[usize]) -> usize {
        match self.view.gathering {
            Some(domains) => targets[index].div_ceil(domains.max(1)),
            None => usize::MAX,
        }
    }

    /// Lets a spare join a group of its own, so that its model is warm when it is needed.
    fn warm_up(&self) -> Option<PlanAction> {
        self.view.free.iter().filter(|host| !host.standby).find_map(|host| {
            let model = self.view.engine.models.iter().find(|model| host.has(&model.name))?;
            if host.is_warm(&model.name) {
                return None;
            }
            let group = GroupRecord { standby: true, ..self.record(model, &[host]) };
            Some(PlanAction::Form { group, loads: 0 })
        })
    }

    fn record(&self, model: &ModelSpec, hosts: &[&FreeHost]) -> GroupRecord {
        let member =
            |host: &&FreeHost| GroupHost { id: host.id.clone(), address: host.address.clone() };
        GroupRecord {
            service: self.view.service.clone(),
            model: model.name.clone(),
            domain: hosts[0].domain.clone(),
            zone: hosts[0].zone.clone(),
            members: hosts.iter().map(member).collect(),
            standby: false,
        }
    }

    /// Stages what is lacking most: weights for a group that is missing, then one spare of each
    /// model in each domain, then whatever an empty host can be of use for.
    fn stage(&self, targets: &[usize]) -> Option<PlanAction> {
        self.stage_missing(targets).or_else(|| self.stage_spare()).or_else(|| self.stage_empty())
    }

    /// Completes a group that is missing, in the domain that lacks the fewest hosts for it.
    fn stage_missing(&self, targets: &[usize]) -> Option<PlanAction> {
        let order = self.by_lack(targets);
        order.into_iter().find_map(|index| {
            let model = &self.view.engine.models[index];
            let mut domains = self.domains();
            // Weights that are on their way to a domain may be enough for the groups that lack.
            let coming: usize =
                domains.iter().map(|domain| self.held(domain, model) / model.size).sum();
            let groups = self.view.groups[index].len();
            if groups + coming >= targets[index] {
                return None;
            }
            let starved = self.starved() == Some(index);
            domains.retain(|domain| {
                // Hosts that a lost member left behind are of no use until they are completed.
                let left_over = !self.held(domain, model).is_multiple_of(model.size);
                (starved || left_over) && self.free_in(domain).len() >= model.size
            });
            domains.sort_by_key(|domain| usize::MAX - self.held(domain, model) % model.size);
            domains.iter().find_map(|domain| {
                // One host more than is there makes a whole group: worth the spare of a model
                // that lacks nothing.
                let last = self.held(domain, model) % model.size == model.size - 1;
                let gives = |other: usize| starved || (last && self.filled(other, targets) >= 1.0);
                self.stage_in(domain, model, gives)
            })
        })
    }

    /// Spares for the largest groups first: a large group without a spare idles all its hosts,
    /// while two small ones that lose a host each leave the hosts of one.
    fn stage_spare(&self) -> Option<PlanAction> {
        let mut models: Vec<&ModelSpec> = self.view.engine.models.iter().collect();
        models.sort_by_key(|model| usize::MAX - model.size);
        let domains = self.domains();
        models.iter().find_map(|model| {
            let mut lacking =
                domains.iter().filter(|domain| self.held(domain, model) < SPARES_KEPT);
            lacking.find_map(|domain| self.stage_in(domain, model, |_| false))
        })
    }

    fn stage_empty(&self) -> Option<PlanAction> {
        let empty = |host: &&FreeHost| host.staged.is_empty() && host.staging.is_none();
        let host = self.view.free.iter().find(empty)?;
        let models = &self.view.engine.models;
        let held = |model: &ModelSpec| self.held(&host.domain, model) as f64 / model.size as f64;
        let model = models.iter().min_by(|a, b| held(a).total_cmp(&held(b)))?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }

    /// Stages `model` on a host of `domain` that is empty, or holds the weights of a model that
    /// `gives` them up; models are named by their position.
    ///
    /// A host that has weights is seldom worth taking: loading takes longer than the mean time to
    /// the next loss in its domain, and by then the other model lacks it. Where spares were given
    /// other weights whenever another model was served worse, a day earned a tenth less.
    fn stage_in(
        &self,
        domain: &DomainName,
        model: &ModelSpec,
        gives: impl Fn(usize) -> bool,
    ) -> Option<PlanAction> {
        let models = &self.view.engine.models;
        let mut hosts = self.free_in(domain);
        hosts.retain(|host| host.staging.is_none() && !host.has(&model.name));
        hosts.sort_by_key(|host| !host.staged.is_empty());
        let host = hosts.into_iter().find(|host| {
            let held = models.iter().position(|other| host.has(&other.name));
            held.is_none_or(|other| !host.fresh && gives(other))
        })?;
        Some(PlanAction::Stage { host: host.id.clone(), model: model.name.clone() })
    }

    /// Free hosts of `domain` that have the weights of `model`, or will have them.
    fn held(&self, domain: &DomainName, model: &ModelSpec) -> usize {
        self.free_in(domain).iter().filter(|host| host.will_have(&model.name)).count()
    }

    fn free_in(&self, domain: &DomainName) -> Vec<&FreeHost> {
        self.view.free.iter().filter(|host| host.domain == *domain).collect()
    }

    fn domains(&self) -> Vec<DomainName> {
        let mut domains: Vec<DomainName> =
            self.view.free.iter().map(|host| host.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        domains
    }
}
