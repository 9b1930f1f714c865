//! Which groups to form of the free hosts, and which weights to stage ahead.
//!
//! Loading a model takes ten times as long as joining where its weights are staged, and a host
//! keeps few models. So a group is formed of hosts that have its weights, and free hosts are given
//! the weights that the next repair will want. Hosts of one group share a fabric domain: across
//! domains a group runs several times slower.

use briartray_model::names::{DomainName, IncarnationId, ServiceName, ZoneName};

use crate::deployment::{EngineModel, ModelSpec};
use crate::state::{GroupHost, GroupRecord};

/// Part of the hosts that serve in groups at the start; the rest waits to mend them. A host is
/// lost every three seconds on the worst days seen, and loads take four times as long.
const GROUPED_PART: f64 = 0.8;

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
}

impl FreeHost {
    fn has(&self, model: &str) -> bool {
        self.staging.is_none() && self.staged.iter().any(|staged| staged == model)
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
    /// Hosts in no group.
    pub free: Vec<FreeHost>,
    /// Groups by model that serve or form, in the order of the engine's models.
    pub groups: Vec<usize>,
    /// Hosts that are alive.
    pub hosts: usize,
    /// Work that callers ask for by model, in groups kept busy; `None` before it is known.
    pub demand: Option<Vec<f64>>,
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

    /// Groups of each model that should serve.
    pub fn targets(&self) -> Vec<usize> {
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
        self.form().or_else(|| self.stage())
    }

    /// Forms a group of the model that is furthest below its target.
    fn form(&self) -> Option<PlanAction> {
        let targets = self.targets();
        let models = &self.view.engine.models;
        let filled = |index: usize| self.view.groups[index] as f64 / targets[index] as f64;
        let mut order: Vec<usize> = (0..models.len()).collect();
        order.sort_by(|a, b| filled(*a).total_cmp(&filled(*b)));
        order.into_iter().find_map(|index| {
            let surplus = self.view.groups[index] >= targets[index];
            let model = &models[index];
            // Beyond the target a group is worth its hosts only when they would wait idle anyway.
            if surplus && self.spares_after(model) < self.spares_wanted() {
                return None;
            }
            self.form_of(model, surplus)
        })
    }

    fn spares_wanted(&self) -> usize {
        let part = 1.0 - GROUPED_PART;
        ((self.view.hosts as f64) * part * 0.5).round() as usize
    }

    fn spares_after(&self, model: &ModelSpec) -> usize {
        self.view.free.len().saturating_sub(model.size)
    }

    fn form_of(&self, model: &ModelSpec, surplus: bool) -> Option<PlanAction> {
        let mut best: Option<(usize, usize, Vec<&FreeHost>)> = None;
        for domain in self.domains() {
            let mut hosts: Vec<&FreeHost> = self
                .view
                .free
                .iter()
                .filter(|host| host.domain == domain && host.staging.is_none())
                .collect();
            let free = hosts.len();
            // Hosts without any weights first among those that must load: they serve no repair.
            hosts.sort_by_key(|host| (!host.has(&model.name), !host.staged.is_empty()));
            hosts.truncate(model.size);
            let loads = hosts.iter().filter(|host| !host.has(&model.name)).count();
            let slow = loads > 0 && (self.view.serving || surplus);
            if hosts.len() < model.size || slow {
                continue;
            }
            let better = best
                .as_ref()
                .is_none_or(|(known, room, _)| loads < *known || (loads == *known && free > *room));
            if better {
                best = Some((loads, free, hosts));
            }
        }
        let (loads, _, hosts) = best?;
        Some(PlanAction::Form { group: self.record(model, &hosts), loads })
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
        }
    }

    /// Stages the model that a domain's free hosts lack most.
    fn stage(&self) -> Option<PlanAction> {
        let targets = self.targets();
        let short = |index: usize| self.view.groups[index] < targets[index];
        for domain in self.domains() {
            let free: Vec<&FreeHost> =
                self.view.free.iter().filter(|host| host.domain == domain).collect();
            let Some(model) = self.wanted(&free, short) else { continue };
            let candidate = free
                .iter()
                .filter(|host| host.staging.is_none() && !host.has(&model.name))
                .find(|host| host.staged.is_empty() || self.is_idle_surplus(&free, host));
            if let Some(host) = candidate {
                return Some(PlanAction::Stage {
                    host: host.id.clone(),
                    model: model.name.clone(),
                });
            }
        }
        None
    }

    /// The model that the free hosts of a domain should have more of.
    fn wanted(&self, free: &[&FreeHost], short: impl Fn(usize) -> bool) -> Option<&ModelSpec> {
        let models = &self.view.engine.models;
        let count =
            |model: &ModelSpec| free.iter().filter(|host| host.will_have(&model.name)).count();
        // A group that is missing comes first, if the domain has the hosts for it.
        let missing = models.iter().enumerate().find(|(index, model)| {
            let held = count(model);
            short(*index) && held > 0 && held < model.size && free.len() >= model.size
        });
        if let Some((_, model)) = missing {
            return Some(model);
        }
        let even = |model: &&ModelSpec| {
            // Larger groups lose a member more often, and need one spare all the same.
            count(model) as f64 / model.size as f64
        };
        models
            .iter()
            .filter(|model| count(model) < model.size)
            .min_by(|a, b| even(a).total_cmp(&even(b)))
    }

    /// Whether `host` holds weights of which its domain has more spares than a repair wants.
    fn is_idle_surplus(&self, free: &[&FreeHost], host: &FreeHost) -> bool {
        let models = &self.view.engine.models;
        let holds = models.iter().find(|model| host.has(&model.name));
        holds.is_none_or(|model| {
            free.iter().filter(|other| other.will_have(&model.name)).count() > model.size
        })
    }

    fn domains(&self) -> Vec<DomainName> {
        let mut domains: Vec<DomainName> =
            self.view.free.iter().map(|host| host.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        domains
    }
}
