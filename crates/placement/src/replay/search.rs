//! Exhaustive search for the cheapest plan of a small trace.
//!
//! The search knows all future events, which makes its cost a baseline for planners. It starts
//! from the groups that the planner has formed when measuring begins, considers actions at every
//! event and change of the fleet, and takes a limited number of actions.

use briartray_model::TimePoint;

use super::fleet::{ReplayFleet, from_ms};
use super::run::{PlannerKind, TraceRun};
use super::trace::{HostTrace, TraceLine};
use crate::planner::{FleetView, GroupView, HostView, PlanAction};

/// Number of replayed steps after which the search stops.
const MAX_STEPS: u64 = 400_000;

/// Result of a search.
#[derive(Debug, Clone, PartialEq)]
pub struct SearchResult {
    /// Weighted cost of the best sequence found, at most that of the planner.
    pub best: f64,
    /// Weighted cost of `PlannerKind::Cost`.
    pub planned: f64,
    /// Weighted cost of `PlannerKind::Naive`.
    pub naive: f64,
    /// Whether the search was complete.
    pub exhausted: bool,
    /// Actions of the best sequence with their times; empty if none is better than the planner.
    pub actions: Vec<(TimePoint, PlanAction)>,
}

struct PlanSearch<'a> {
    lines: &'a [TraceLine],
    end: TimePoint,
    best: f64,
    best_path: Vec<(TimePoint, PlanAction)>,
    path: Vec<(TimePoint, PlanAction)>,
    steps: u64,
}

/// Searches all sequences of at most `actions` actions.
pub fn search_best_plan(trace: &HostTrace, actions: u32) -> SearchResult {
    let mut clock = || std::time::Duration::ZERO;
    let planned = super::run_trace(trace, PlannerKind::Cost, &mut clock).weighted;
    let naive = super::run_trace(trace, PlannerKind::Naive, &mut clock).weighted;
    let start = from_ms(trace.header.measure_from_ms);
    let first = trace.lines.partition_point(|line| from_ms(line.at_ms) <= start);
    let mut run = TraceRun::new(&trace.header, PlannerKind::Cost, &mut clock);
    run.replay(&trace.lines[..first], start);
    let mut search = PlanSearch {
        lines: &trace.lines[first..],
        end: from_ms(trace.header.end_ms),
        best: planned,
        best_path: Vec::new(),
        path: Vec::new(),
        steps: 0,
    };
    search.explore(run.fleet(), 0, actions);
    let exhausted = search.steps < MAX_STEPS;
    SearchResult { best: search.best, planned, naive, exhausted, actions: search.best_path }
}

impl PlanSearch<'_> {
    /// Explores every possible action at the current time, and taking no action.
    fn explore(&mut self, fleet: &ReplayFleet, next: usize, actions: u32) {
        if self.steps >= MAX_STEPS || fleet.weighted() >= self.best {
            return;
        }
        if actions > 0 {
            for action in possible_actions(fleet.view()) {
                let mut branch = fleet.clone();
                branch.execute(&action);
                self.path.push((fleet.now(), action));
                self.explore(&branch, next, actions - 1);
                self.path.pop();
            }
        }
        self.advance_time(fleet.clone(), next, actions);
    }

    /// Advances to the next event or change and explores from there.
    fn advance_time(&mut self, mut fleet: ReplayFleet, next: usize, actions: u32) {
        self.steps += 1;
        let event = self.lines.get(next).map_or(self.end, |line| from_ms(line.at_ms));
        match fleet.next_change().filter(|change| *change < event) {
            Some(change) => {
                fleet.advance(change);
                self.explore(&fleet, next, actions);
            }
            None => {
                fleet.advance(event);
                if let Some(line) = self.lines.get(next) {
                    fleet.apply(&line.event);
                    self.explore(&fleet, next + 1, actions);
                } else if fleet.weighted() < self.best {
                    self.best = fleet.weighted();
                    self.best_path.clone_from(&self.path);
                }
            }
        }
    }
}

/// All actions that may reduce the cost: forming groups of two, replacing missing or leaving
/// members, preparing their replacements, and dissolving groups that do not serve.
fn possible_actions(view: &FleetView) -> Vec<PlanAction> {
    let free: Vec<&HostView> =
        view.hosts.values().filter(|host| host.present && host.group.is_none()).collect();
    let mut actions = Vec::new();
    for group in view.groups.values() {
        if !group.whole {
            actions.push(PlanAction::Dissolve { group: group.group });
        }
        replacements(view, group, &free, &mut actions);
    }
    for (index, one) in free.iter().enumerate() {
        for other in free.iter().skip(index + 1).filter(|other| same_place(one, other)) {
            for pair in [[one, other], [other, one]] {
                let members = pair.iter().map(|host| host.announcement.host.clone()).collect();
                let service = one.announcement.service.clone();
                actions.push(PlanAction::Form { service, members });
            }
        }
    }
    actions
}

fn replacements(
    view: &FleetView,
    group: &GroupView,
    free: &[&HostView],
    actions: &mut Vec<PlanAction>,
) {
    for (rank, member) in group.members.iter().enumerate() {
        let known = view.hosts.get(member);
        if known.is_some_and(|host| host.present && !host.announcement.leaving) {
            continue;
        }
        for host in free {
            let name = host.announcement.host.clone();
            let service = group.service.clone();
            let mut members = group.members.clone();
            members[rank] = name.clone();
            let size = members.len() as u32;
            let rank = rank as u32;
            actions.push(PlanAction::Replace {
                group: group.group,
                service: service.clone(),
                members,
            });
            actions.push(PlanAction::Prepare { host: name, service, rank, size });
        }
    }
}

fn same_place(one: &HostView, other: &HostView) -> bool {
    one.announcement.domain == other.announcement.domain
        && one.announcement.provider == other.announcement.provider
}
