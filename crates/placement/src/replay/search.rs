//! The cheapest plan for a small trace, found by trying every sequence of actions.
//!
//! The search knows what will happen, so its cost is a bound that no planner can go below. It
//! starts from the groups that the planner has formed when measuring begins, acts at events and
//! whenever something changes, and takes a limited number of actions.

use briartray_model::TimePoint;

use super::fleet::{ReplayFleet, from_ms};
use super::run::{PlannerKind, TraceRun};
use super::trace::{HostTrace, TraceLine};
use crate::planner::{FleetView, GroupView, HostView, PlanAction};

/// Replayed steps after which a search gives up.
const MAX_STEPS: u64 = 400_000;

/// What a search found.
#[derive(Debug, Clone, PartialEq)]
pub struct SearchResult {
    /// Weighted cost of the best sequence found, at most the planner's.
    pub best: f64,
    /// Weighted cost of the planner.
    pub planned: f64,
    /// Weighted cost of the naive planner.
    pub naive: f64,
    /// Whether every sequence was tried.
    pub exhausted: bool,
    /// Actions of the best sequence with their times; none when the planner's is the best.
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

/// Tries every sequence of at most `actions` actions.
pub fn search_best_plan(trace: &HostTrace, actions: u32) -> SearchResult {
    let mut meter = || std::time::Duration::ZERO;
    let planned = super::run_trace(trace, PlannerKind::Cost, &mut meter).weighted;
    let naive = super::run_trace(trace, PlannerKind::Naive, &mut meter).weighted;
    let start = from_ms(trace.header.measure_from_ms);
    let first = trace.lines.partition_point(|line| from_ms(line.at_ms) <= start);
    let mut run = TraceRun::new(&trace.header, PlannerKind::Cost, &mut meter);
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
    /// Tries every action now, and none.
    fn explore(&mut self, fleet: &ReplayFleet, next: usize, actions: u32) {
        if self.steps >= MAX_STEPS || fleet.weighted() >= self.best {
            return;
        }
        if actions > 0 {
            for action in possible_actions(fleet.view()) {
                let mut tried = fleet.clone();
                tried.execute(&action);
                self.path.push((fleet.now(), action));
                self.explore(&tried, next, actions - 1);
                self.path.pop();
            }
        }
        self.pass(fleet.clone(), next, actions);
    }

    /// Lets time pass to the next event or change.
    fn pass(&mut self, mut fleet: ReplayFleet, next: usize, actions: u32) {
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

/// Everything that could be of use: forming, replacing missing or leaving members, preparing,
/// dissolving groups that do not serve.
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
    for (at, one) in free.iter().enumerate() {
        for other in free.iter().skip(at + 1).filter(|other| same_place(one, other)) {
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
