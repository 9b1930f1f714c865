//! The planner that minimizes the expected cost of group downtime and stranded accelerators.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{GroupId, HostName, ServiceName};
use briartray_model::rules::{RuleBook, ServiceDeclaration};

use super::memory::PlannerMemory;
use super::pool::{FormerMembership, FreePool};
use super::reason::{PlanDecision, PlanReason};
use super::service::ServicePlan;
use super::survey::{FleetSurvey, groups_of_service};
use super::{FleetView, PlanAction};
use crate::accounting::place_rules;

/// A planner does not change existing groups for this long after its first round.
///
/// After a change of leader, agents connect one by one. Without the pause, members that have not
/// connected yet would be taken for lost, and healthy groups would be dissolved.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Result of one planning round.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PlanRound {
    /// Actions to execute, in order.
    pub actions: Vec<PlanAction>,
    /// Reasons, one entry for each action and for each group that waits for a member.
    pub decisions: Vec<PlanDecision>,
    /// When to plan again even if nothing changes before.
    pub replan_at: Option<TimePoint>,
}

impl PlanRound {
    pub(super) fn add_decision(&mut self, decision: PlanDecision) {
        self.decisions.push(decision);
    }

    pub(super) fn request_replan(&mut self, when: TimePoint) {
        self.replan_at = Some(self.replan_at.map_or(when, |replan_at| replan_at.min(when)));
    }
}

/// Plans groups by expected cost, and keeps the state that this needs between rounds.
///
/// The default planner prepares no hosts: it returns no `PlanAction::Prepare`.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct GroupPlanner {
    started: Option<TimePoint>,
    memory: PlannerMemory,
    prepares_hosts: bool,
}

/// State shared by the steps of one planning round.
pub(super) struct RoundContext<'a> {
    pub(super) now: TimePoint,
    pub(super) view: &'a FleetView,
    pub(super) survey: &'a FleetSurvey<'a>,
    pub(super) memory: &'a mut PlannerMemory,
    pub(super) round: PlanRound,
    /// Number of hosts that load weights, including those that start in this round.
    pub(super) running_loads: usize,
    /// Whether existing groups may be changed.
    pub(super) settled: bool,
    /// Whether `PlanAction::Prepare` may be used.
    pub(super) prepares_hosts: bool,
}

impl RoundContext<'_> {
    pub(super) fn form(&mut self, service: &ServiceName, members: Vec<HostName>) {
        self.running_loads += self.memory.record_new_group(&members);
        self.round.actions.push(PlanAction::Form { service: service.clone(), members });
    }

    pub(super) fn replace(&mut self, survey_index: usize, members: Vec<HostName>) {
        let group = self.survey.groups[survey_index].group;
        for (rank, host) in members.iter().enumerate() {
            let moves = group.members.get(rank) != Some(host);
            if moves && self.memory.ready_at(self.now, host, rank) != Some(self.now) {
                self.memory.mark_unloaded(host);
                self.running_loads += 1;
            }
        }
        for (rank, host) in group.members.iter().enumerate() {
            if !members.contains(host) {
                self.memory.record_former_member(group.group, rank, host);
            }
        }
        let service = group.service.clone();
        self.round.actions.push(PlanAction::Replace { group: group.group, service, members });
    }

    /// Prepares a free host for `rank`, which takes `seconds`; returns when it should be ready.
    pub(super) fn prepare(
        &mut self,
        survey_index: usize,
        rank: usize,
        host: &HostName,
        seconds: f64,
    ) -> TimePoint {
        let group = self.survey.groups[survey_index].group;
        let ready = self.now.after(Duration::from_secs_f64(seconds));
        let membership = FormerMembership { group: group.group, rank };
        self.memory.record_preparing(host, membership, ready);
        self.running_loads += 1;
        self.round.actions.push(PlanAction::Prepare {
            host: host.clone(),
            service: group.service.clone(),
            rank: rank as u32,
            size: group.members.len() as u32,
        });
        ready
    }

    pub(super) fn dissolve(&mut self, survey_index: usize) {
        let group = self.survey.groups[survey_index].group;
        self.memory.record_former_members(group);
        self.round.actions.push(PlanAction::Dissolve { group: group.group });
    }

    pub(super) fn record_decision(
        &mut self,
        service: &ServiceName,
        group: Option<GroupId>,
        reason: PlanReason,
        (cost, other_cost): (f64, Option<f64>),
    ) {
        let service = service.clone();
        self.round.add_decision(PlanDecision { service, group, reason, cost, other_cost });
    }
}

impl GroupPlanner {
    /// Creates a planner that prepares free hosts, for fleets that execute `PlanAction::Prepare`.
    pub fn with_preparation() -> Self {
        Self { prepares_hosts: true, ..Self::default() }
    }

    /// Plans one round. The result depends only on the arguments of this and all earlier calls.
    pub fn step(&mut self, now: TimePoint, view: &FleetView, book: &RuleBook) -> PlanRound {
        let started = *self.started.get_or_insert(now);
        let survey = FleetSurvey::take(view);
        self.memory.observe(now, view, &survey);
        let running_loads = self.memory.running_loads(view);
        let mut context = RoundContext {
            now,
            view,
            survey: &survey,
            memory: &mut self.memory,
            round: PlanRound::default(),
            running_loads,
            settled: now.since(started) >= SETTLE_TIME,
            prepares_hosts: self.prepares_hosts,
        };
        if !context.settled && survey.groups.iter().any(|group| !group.missing.is_empty()) {
            context.round.request_replan(started.after(SETTLE_TIME));
        }
        if let Some(when) = context.memory.next_recovery_end() {
            context.round.request_replan(when);
        }
        dissolve_undeclared(&mut context, book);
        for service in services_by_load_value(book) {
            plan_service(&mut context, book, service);
        }
        context.round
    }
}

/// Services in descending order of downtime weight per host to load.
///
/// The weight store is shared, so the service that gains most from each load comes first.
fn services_by_load_value(book: &RuleBook) -> Vec<&ServiceDeclaration> {
    let load_value = |service: &ServiceDeclaration| {
        place_rules(book, &service.name).downtime_weight
            / f64::from(service.hosts_per_replica.max(1))
    };
    let mut services: Vec<_> = book.document().services.iter().collect();
    services.sort_by(|a, b| load_value(b).total_cmp(&load_value(a)));
    services
}

fn plan_service(context: &mut RoundContext<'_>, book: &RuleBook, service: &ServiceDeclaration) {
    let groups = groups_of_service(context.survey, &service.name);
    let pool =
        FreePool::gather(&context.survey.free, &service.name, &context.memory.former_memberships);
    ServicePlan::new(service, book, groups, pool).run(context);
}

fn dissolve_undeclared(context: &mut RoundContext<'_>, book: &RuleBook) {
    for survey_index in 0..context.survey.groups.len() {
        let group = context.survey.groups[survey_index].group;
        if book.document().service(group.service.as_str()).is_none() {
            context.dissolve(survey_index);
            let reason = PlanReason::NotDeclared;
            context.record_decision(&group.service, Some(group.group), reason, (0.0, None));
        }
    }
}
