//! The planner that weighs group downtime against stranded accelerators.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{GroupId, HostName, ServiceName};
use briartray_model::rules::{RuleBook, ServiceDeclaration};

use super::memory::PlannerMemory;
use super::pool::{FormerSeat, FreePool};
use super::reason::{PlanDecision, PlanReason};
use super::service::ServicePlan;
use super::survey::{FleetSurvey, of_service};
use super::{FleetView, PlanAction};
use crate::accounting::place_rules;

/// A planner that has just begun leaves existing groups alone for this long.
///
/// After a change of leader agents connect one by one; without the pause, members that have not
/// connected yet would look lost and healthy groups would be taken apart.
const SETTLE: Duration = Duration::from_secs(5);

/// What one round decided.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PlanRound {
    /// What is to be done.
    pub actions: Vec<PlanAction>,
    /// Why, one entry for each action and each group that is waited for.
    pub decisions: Vec<PlanDecision>,
    /// When a waiting decision is due again, should nothing change before.
    pub wake: Option<TimePoint>,
}

impl PlanRound {
    pub(super) fn decide(&mut self, decision: PlanDecision) {
        self.decisions.push(decision);
    }

    pub(super) fn wake_at(&mut self, when: TimePoint) {
        self.wake = Some(self.wake.map_or(when, |wake| wake.min(when)));
    }
}

/// Plans groups by expected cost and remembers what that takes.
///
/// The default planner asks no host to load ahead.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct GroupPlanner {
    started: Option<TimePoint>,
    memory: PlannerMemory,
    loads_ahead: bool,
}

/// What the parts of one round share.
pub(super) struct RoundFrame<'a> {
    pub(super) now: TimePoint,
    pub(super) view: &'a FleetView,
    pub(super) survey: &'a FleetSurvey<'a>,
    pub(super) memory: &'a mut PlannerMemory,
    pub(super) round: PlanRound,
    /// Hosts that load weights, with those that this round has added.
    pub(super) loads: usize,
    /// Whether existing groups may be changed.
    pub(super) settled: bool,
    /// Whether hosts carry out `PlanAction::Prepare`.
    pub(super) loads_ahead: bool,
}

impl RoundFrame<'_> {
    pub(super) fn form(&mut self, service: &ServiceName, members: Vec<HostName>) {
        self.loads += self.memory.remember_members(&members);
        self.round.actions.push(PlanAction::Form { service: service.clone(), members });
    }

    pub(super) fn replace(&mut self, index: usize, members: Vec<HostName>) {
        let group = self.survey.groups[index].group;
        for (rank, host) in members.iter().enumerate() {
            let moves = group.members.get(rank) != Some(host);
            if moves && self.memory.ready_at(self.now, host, rank) != Some(self.now) {
                self.memory.remember_member(host);
                self.loads += 1;
            }
        }
        for (rank, host) in group.members.iter().enumerate() {
            if !members.contains(host) {
                self.memory.remember_seat(group.group, rank, host);
            }
        }
        let service = group.service.clone();
        self.round.actions.push(PlanAction::Replace { group: group.group, service, members });
    }

    /// Lets a free host load the weights of a position; returns when it should be ready.
    pub(super) fn prepare(
        &mut self,
        index: usize,
        rank: usize,
        host: &HostName,
        seconds: f64,
    ) -> TimePoint {
        let group = self.survey.groups[index].group;
        let ready = self.now.after(Duration::from_secs_f64(seconds));
        let seat = FormerSeat { group: group.group, rank };
        self.memory.remember_preparing(host, seat, ready);
        self.loads += 1;
        self.round.actions.push(PlanAction::Prepare {
            host: host.clone(),
            service: group.service.clone(),
            rank: rank as u32,
            size: group.members.len() as u32,
        });
        ready
    }

    pub(super) fn dissolve(&mut self, index: usize) {
        let group = self.survey.groups[index].group;
        self.memory.remember_seats(group);
        self.round.actions.push(PlanAction::Dissolve { group: group.group });
    }

    pub(super) fn decide(
        &mut self,
        service: &ServiceName,
        group: Option<GroupId>,
        reason: PlanReason,
        (cost, other_cost): (f64, Option<f64>),
    ) {
        let service = service.clone();
        self.round.decide(PlanDecision { service, group, reason, cost, other_cost });
    }
}

impl GroupPlanner {
    /// A planner for hosts that load weights ahead when they are asked to.
    pub fn with_preparation() -> Self {
        Self { loads_ahead: true, ..Self::default() }
    }

    /// Plans one round; deterministic in what it has seen so far.
    pub fn step(&mut self, now: TimePoint, view: &FleetView, book: &RuleBook) -> PlanRound {
        let started = *self.started.get_or_insert(now);
        let survey = FleetSurvey::take(view);
        self.memory.observe(now, view, &survey);
        let loads = self.memory.loads_running(view);
        let mut frame = RoundFrame {
            now,
            view,
            survey: &survey,
            memory: &mut self.memory,
            round: PlanRound::default(),
            loads,
            settled: now.since(started) >= SETTLE,
            loads_ahead: self.loads_ahead,
        };
        if !frame.settled && survey.groups.iter().any(|group| !group.missing.is_empty()) {
            frame.round.wake_at(started.after(SETTLE));
        }
        if let Some(when) = frame.memory.next_recovery() {
            frame.round.wake_at(when);
        }
        dissolve_undeclared(&mut frame, book);
        for service in in_order(book) {
            plan_service(&mut frame, book, service);
        }
        frame.round
    }
}

/// Services by what one load of weights buys: the weight store is shared, so the service whose
/// group is worth most for each host to load goes first.
fn in_order(book: &RuleBook) -> Vec<&ServiceDeclaration> {
    let worth = |service: &ServiceDeclaration| {
        place_rules(book, &service.name).downtime_weight
            / f64::from(service.hosts_per_replica.max(1))
    };
    let mut services: Vec<_> = book.document().services.iter().collect();
    services.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
    services
}

fn plan_service(frame: &mut RoundFrame<'_>, book: &RuleBook, service: &ServiceDeclaration) {
    let groups = of_service(frame.survey, &service.name);
    let pool = FreePool::gather(&frame.survey.free, &service.name, &frame.memory.seats);
    ServicePlan::new(service, book, groups, pool).run(frame);
}

fn dissolve_undeclared(frame: &mut RoundFrame<'_>, book: &RuleBook) {
    for index in 0..frame.survey.groups.len() {
        let group = frame.survey.groups[index].group;
        if book.document().service(group.service.as_str()).is_none() {
            frame.dissolve(index);
            let reason = PlanReason::NotDeclared;
            frame.decide(&group.service, Some(group.group), reason, (0.0, None));
        }
    }
}
