//! Plan of one service in one round: classifies its groups, repairs broken ones, forms missing
//! ones and dissolves those that are not needed.

use briartray_model::names::{HostName, ProviderName, ZoneName};
use briartray_model::rules::{DecisionFacts, PlaceAction, RuleBook, ServiceDeclaration};

use super::group_planner::RoundContext;
use super::pool::FreePool;
use super::reason::PlanReason;
use crate::accounting::place_rules;

/// What this round does with a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GroupDisposition {
    /// It is kept and counts as a replica.
    Keep,
    /// It is dissolved once its successor serves.
    Supersede(PlanReason),
    /// It has been replaced or dissolved in this round and is not considered again.
    Handled,
}

/// The groups and free hosts of one service during one round.
///
/// `groups` and `dispositions` share their index, which is called the slot of a group.
pub(super) struct ServicePlan<'a> {
    pub(super) service: &'a ServiceDeclaration,
    book: &'a RuleBook,
    /// Rules of the service, or of the place of the group that is being repaired.
    pub(super) rules: PlaceAction,
    /// Indices in `FleetSurvey::groups`.
    pub(super) groups: Vec<usize>,
    pub(super) dispositions: Vec<GroupDisposition>,
    pub(super) pool: FreePool<'a>,
    /// Number of hosts that are reserved for repairs, by index in `pool.places`.
    pub(super) reserved_spares: Vec<usize>,
    /// Number of groups that have replaced others in this round.
    pub(super) successors: usize,
    /// Number of groups formed in this round.
    pub(super) formed: usize,
}

impl<'a> ServicePlan<'a> {
    pub(super) fn new(
        service: &'a ServiceDeclaration,
        book: &'a RuleBook,
        groups: Vec<usize>,
        pool: FreePool<'a>,
    ) -> Self {
        let rules = place_rules(book, &service.name);
        let dispositions = vec![GroupDisposition::Keep; groups.len()];
        Self {
            service,
            book,
            rules,
            groups,
            dispositions,
            pool,
            reserved_spares: Vec::new(),
            successors: 0,
            formed: 0,
        }
    }

    pub(super) fn run(mut self, context: &mut RoundContext<'_>) {
        if context.settled {
            self.reassign_changed_addresses(context);
            self.mark_superseded(context);
            self.repair_broken(context);
            self.replace_loading_members(context);
            self.swap_leaving_members(context);
            self.queue_loads(context);
        }
        self.form_missing(context);
        if context.settled {
            self.dissolve_unneeded(context);
        }
    }

    /// Rules for hosts of one place; they may differ by availability zone and provider.
    pub(super) fn rules_at(&self, zone: &ZoneName, provider: &ProviderName) -> PlaceAction {
        let facts = DecisionFacts {
            service: Some(self.service.name.as_str()),
            zone: Some(zone.as_str()),
            provider: Some(provider.as_str()),
            ..DecisionFacts::default()
        };
        self.book.place(&facts).1
    }

    /// Hosts per group, at least one.
    pub(super) fn size(&self) -> usize {
        (self.service.hosts_per_replica as usize).max(1)
    }

    /// Declared number of replicas.
    pub(super) fn wanted(&self) -> usize {
        self.service.replicas as usize
    }

    /// Time to load weights onto `hosts` hosts, in seconds, with the weight store shared among all
    /// running loads.
    pub(super) fn load_seconds(&self, context: &RoundContext<'_>, hosts: usize) -> f64 {
        let alone = self.rules.load_ms as f64 / 1000.0;
        match self.rules.parallel_loads {
            0 => alone,
            limit => alone * ((context.running_loads + hosts) as f64 / f64::from(limit)).max(1.0),
        }
    }

    /// Whether the weight store has capacity for `hosts` more loads; always if none is running.
    pub(super) fn has_load_capacity(&self, context: &RoundContext<'_>, hosts: usize) -> bool {
        let limit = self.rules.parallel_loads as usize;
        limit == 0 || context.running_loads == 0 || context.running_loads + hosts <= limit
    }

    /// Cost of one second of downtime of a group that strands `accelerators`.
    pub(super) fn downtime_cost_rate(&self, accelerators: f64) -> f64 {
        self.rules.downtime_weight + self.rules.stranded_weight * accelerators
    }

    /// Position of a provider in the order of preference; providers not named there come last.
    pub(super) fn provider_rank(&self, provider: &ProviderName) -> usize {
        let order = &self.rules.providers;
        order.iter().position(|name| name == provider.as_str()).unwrap_or(order.len())
    }

    pub(super) fn count_groups(&self, matches: impl Fn(GroupDisposition) -> bool) -> usize {
        self.dispositions.iter().filter(|disposition| matches(**disposition)).count()
    }

    /// Number of groups that serve and have not been replaced or dissolved in this round.
    pub(super) fn serving(&self, context: &RoundContext<'_>) -> usize {
        (0..self.groups.len())
            .filter(|slot| self.dispositions[*slot] != GroupDisposition::Handled)
            .filter(|slot| context.survey.groups[self.groups[*slot]].serves())
            .count()
    }

    /// Assigns groups anew that have the same members at other addresses.
    ///
    /// A member that restarted on another port cannot be reached under the old assignment, so the
    /// group would never become whole again.
    fn reassign_changed_addresses(&mut self, context: &mut RoundContext<'_>) {
        for slot in 0..self.groups.len() {
            let survey_index = self.groups[slot];
            let survey = &context.survey.groups[survey_index];
            if survey.group.stale_links && survey.missing.is_empty() {
                let members = survey.group.members.clone();
                context.replace(survey_index, members);
                self.dispositions[slot] = GroupDisposition::Handled;
                self.count_successor();
                let reason = PlanReason::AddressChanged;
                context.record_decision(
                    &self.service.name,
                    Some(survey.group.group),
                    reason,
                    (0.0, None),
                );
            }
        }
    }

    /// Marks groups that should be replaced by another one.
    fn mark_superseded(&mut self, context: &RoundContext<'_>) {
        let size = self.size();
        let best_rank = self
            .pool
            .places
            .iter()
            .filter(|place| place.len() >= size)
            .map(|place| self.provider_rank(place.provider))
            .min();
        for slot in 0..self.groups.len() {
            let survey = &context.survey.groups[self.groups[slot]];
            if self.dispositions[slot] == GroupDisposition::Handled {
                continue;
            }
            let rank = survey
                .present_member
                .map(|announcement| self.provider_rank(&announcement.provider));
            if survey.group.members.len() != size {
                self.dispositions[slot] = GroupDisposition::Supersede(PlanReason::NotDeclared);
            } else if !survey.leaving.is_empty() {
                self.dispositions[slot] = GroupDisposition::Supersede(PlanReason::MemberLeaving);
            } else if best_rank.is_some() && best_rank < rank {
                self.dispositions[slot] =
                    GroupDisposition::Supersede(PlanReason::ProviderPreferred);
            } else if best_rank.is_some()
                && self.crossing_members(context, self.groups[slot]).is_some()
            {
                self.dispositions[slot] = GroupDisposition::Supersede(PlanReason::ComeHome);
            }
        }
    }

    /// Members outside the fabric domain that most members share; `None` if there are none, or if
    /// the rules forbid groups across domains.
    pub(super) fn crossing_members(
        &self,
        context: &RoundContext<'_>,
        survey_index: usize,
    ) -> Option<Vec<HostName>> {
        if !self.rules.cross_domain {
            return None;
        }
        let group = context.survey.groups[survey_index].group;
        let domain_of = |host| context.view.hosts.get(host).map(|h| &h.announcement.domain);
        let domains: Vec<_> = group.members.iter().map(domain_of).collect();
        let home = domains
            .iter()
            .max_by_key(|domain| domains.iter().filter(|other| other == domain).count())?;
        let outside: Vec<HostName> = group
            .members
            .iter()
            .zip(&domains)
            .filter(|(_, domain)| domain != &home)
            .map(|(host, _)| host.clone())
            .collect();
        (!outside.is_empty()).then_some(outside)
    }
}
