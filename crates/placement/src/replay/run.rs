//! Replay of a trace with a planner, and checks of the expectations that the trace states.

use std::time::Duration;

use briartray_model::{SortedTable, TimePoint, plain_choice, plain_value};

use super::fleet::{ReplayFleet, from_ms};
use super::trace::{HostTrace, TraceEvent, TraceHeader, TraceLine};
use crate::accounting::ServiceAccount;
use crate::planner::{GroupPlanner, PlanAction, PlanReason, plan_first_come};

/// Time from a change to the planning round that reacts to it.
const PLANNING_DELAY: Duration = Duration::from_millis(200);

/// Reasons of decisions that are repeated in every round while a group stays as it is.
const REPEATED_REASONS: [PlanReason; 3] =
    [PlanReason::WaitForReturn, PlanReason::WaitNoSpare, PlanReason::RebuildElsewhere];

impl std::str::FromStr for PlannerKind {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "naive" => Ok(Self::Naive),
            "cost" => Ok(Self::Cost),
            "unprepared" => Ok(Self::Unprepared),
            _ => Err("use naive, cost or unprepared"),
        }
    }
}

impl PlannerKind {
    /// All kinds, starting with the baseline of comparisons.
    pub const ALL: [Self; 3] = [Self::Naive, Self::Unprepared, Self::Cost];

    /// Name in reports and options.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::Cost => "cost",
            Self::Unprepared => "unprepared",
        }
    }
}

plain_choice! {
    /// Which planner is replayed.
    #[derive(Default)]
    pub enum PlannerKind {
        /// `plan_first_come`, which compares no costs.
        Naive,
        /// `GroupPlanner`, which prepares free hosts.
        #[default]
        Cost,
        /// `GroupPlanner` without preparation: hosts load weights once they belong to a group.
        Unprepared,
    }
}

plain_value! {
    /// An expectation stated in a trace, and the outcome.
    pub struct ExpectedOutcome {
        /// Time of the trace at which it was checked, in milliseconds.
        pub at_ms: u64,
        /// The expectation.
        pub stated: TraceEvent,
        /// Measured value, in the unit of the expectation.
        pub measured: f64,
        /// Whether the expectation was met.
        pub held: bool,
    }

    /// Result of a replay.
    pub struct ReplayReport {
        /// Title of the trace.
        pub trace: String,
        /// Which planner was replayed.
        pub planner: PlannerKind,
        /// Sums over all services, in group-seconds and accelerator-seconds.
        pub total: ServiceAccount,
        /// Weighted cost.
        pub weighted: f64,
        /// Lower bound of the weighted cost, given the hosts that were present.
        pub weighted_bound: f64,
        /// Number of groups formed.
        pub formed: u64,
        /// Number of groups replaced by a successor in one command.
        pub replaced: u64,
        /// Number of groups dissolved.
        pub dissolved: u64,
        /// Number of actions that could not be executed or that the registry refused.
        pub refused: u64,
        /// Number of planning rounds.
        pub rounds: u64,
        /// Time spent in the planner, in seconds; zero if the clock of the replay stands still.
        pub planning_seconds: f64,
        /// Time of the longest planning round, in seconds.
        pub longest_round_seconds: f64,
        /// Number of decisions by reason; a decision to wait counts once, not in every round.
        pub decisions: Vec<(PlanReason, u64)>,
        /// Expectations of the trace and their outcomes.
        pub outcomes: Vec<ExpectedOutcome>,
        /// Violated invariants of the registry.
        pub violations: Vec<String>,
    }
}

impl ReplayReport {
    /// Whether all expectations were met and no invariant was violated.
    pub fn holds(&self) -> bool {
        self.violations.is_empty() && self.outcomes.iter().all(|outcome| outcome.held)
    }
}

/// A replay in progress.
pub(super) struct TraceRun<'a> {
    fleet: ReplayFleet,
    planner: GroupPlanner,
    kind: PlannerKind,
    clock: &'a mut dyn FnMut() -> Duration,
    plan_at: Option<TimePoint>,
    replan_at: Option<TimePoint>,
    rounds: u64,
    planning_time: Duration,
    longest_round: Duration,
    decisions: SortedTable<PlanReason, u64>,
    waits: Vec<(u64, PlanReason)>,
    outcomes: Vec<ExpectedOutcome>,
}

/// Replays `trace` with a planner of `kind` and the group registry.
///
/// `clock` is read before and after each planning round to measure the time that planning takes;
/// it may always return zero.
pub fn run_trace(
    trace: &HostTrace,
    kind: PlannerKind,
    clock: &mut dyn FnMut() -> Duration,
) -> ReplayReport {
    let mut run = TraceRun::new(&trace.header, kind, clock);
    run.replay(&trace.lines, from_ms(trace.header.end_ms));
    run.report(&trace.header.trace)
}

impl<'a> TraceRun<'a> {
    pub(super) fn new(
        header: &TraceHeader,
        kind: PlannerKind,
        clock: &'a mut dyn FnMut() -> Duration,
    ) -> Self {
        let planner = match kind {
            PlannerKind::Cost => GroupPlanner::with_preparation(),
            PlannerKind::Naive | PlannerKind::Unprepared => GroupPlanner::default(),
        };
        Self {
            fleet: ReplayFleet::new(header),
            planner,
            kind,
            clock,
            plan_at: None,
            replan_at: None,
            rounds: 0,
            planning_time: Duration::ZERO,
            longest_round: Duration::ZERO,
            decisions: SortedTable::default(),
            waits: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    /// Processes `lines` in order and advances to `end`.
    pub(super) fn replay(&mut self, lines: &[TraceLine], end: TimePoint) {
        for line in lines {
            self.run_until(from_ms(line.at_ms));
            self.process_line(line);
        }
        self.run_until(end);
    }

    /// The fleet in its current state.
    pub(super) fn fleet(&self) -> &ReplayFleet {
        &self.fleet
    }

    /// Advances to `end`, with the changes and planning rounds due until then.
    fn run_until(&mut self, end: TimePoint) {
        loop {
            let replan_at = self.replan_at.map(|replan_at| replan_at.max(self.fleet.now()));
            let plan = [self.plan_at, replan_at].into_iter().flatten().min();
            let next = [self.fleet.next_change(), plan].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next < end) else { break };
            if self.fleet.advance(next) {
                self.schedule_plan();
            }
            if plan.is_some_and(|plan| plan <= next) {
                self.plan();
            }
        }
        if self.fleet.advance(end) {
            self.schedule_plan();
        }
    }

    fn schedule_plan(&mut self) {
        self.plan_at.get_or_insert(self.fleet.now().after(PLANNING_DELAY));
    }

    fn plan(&mut self) {
        self.plan_at = None;
        self.replan_at = None;
        let started = (self.clock)();
        let actions = match self.kind {
            PlannerKind::Naive => plan_first_come(self.fleet.view(), self.fleet.book()),
            PlannerKind::Cost | PlannerKind::Unprepared => self.plan_by_cost(),
        };
        let spent = (self.clock)().saturating_sub(started);
        self.rounds += 1;
        self.planning_time += spent;
        self.longest_round = self.longest_round.max(spent);
        for action in &actions {
            self.fleet.execute(action);
        }
        if !actions.is_empty() {
            self.schedule_plan();
        }
    }

    fn plan_by_cost(&mut self) -> Vec<PlanAction> {
        let now = self.fleet.now();
        let round = self.planner.step(now, self.fleet.view(), self.fleet.book());
        // Not before the planning delay has passed, as in the control role.
        self.replan_at = round.replan_at.map(|replan_at| replan_at.max(now.after(PLANNING_DELAY)));
        let mut waits = Vec::new();
        for decision in &round.decisions {
            let waiting = decision.group.is_some() && REPEATED_REASONS.contains(&decision.reason);
            let key = (decision.group.map_or(0, |group| group.0), decision.reason);
            if waiting {
                waits.push(key);
            }
            if !waiting || !self.waits.contains(&key) {
                *self.decisions.get_or_insert_with(decision.reason, || 0) += 1;
            }
        }
        self.waits = waits;
        round.actions
    }

    fn process_line(&mut self, line: &TraceLine) {
        let total = self.fleet.account().total();
        let (formed, replaced, ..) = self.fleet.changes();
        let (measured, held) = match &line.event {
            TraceEvent::ExpectGroups { service, at_least, at_most } => {
                let serving = self.fleet.serving(service);
                (serving as f64, serving >= *at_least && at_most.is_none_or(|most| serving <= most))
            }
            TraceEvent::ExpectDowntime { at_most_s } => {
                (total.groups_down, total.groups_down <= *at_most_s)
            }
            TraceEvent::ExpectStranded { at_most_s } => {
                (total.stranded_total(), total.stranded_total() <= *at_most_s)
            }
            TraceEvent::ExpectChanges { at_most } => {
                let changes = formed + replaced;
                (changes as f64, changes <= *at_most)
            }
            event => {
                self.fleet.apply(event);
                return self.schedule_plan();
            }
        };
        let stated = line.event.clone();
        self.outcomes.push(ExpectedOutcome { at_ms: line.at_ms, stated, measured, held });
    }

    fn report(self, trace: &str) -> ReplayReport {
        let (weighted, weighted_bound) = self.fleet.account().weighted(self.fleet.book());
        let (formed, replaced, dissolved, refused) = self.fleet.changes();
        ReplayReport {
            trace: trace.to_owned(),
            planner: self.kind,
            total: self.fleet.account().total(),
            weighted,
            weighted_bound,
            formed,
            replaced,
            dissolved,
            refused,
            rounds: self.rounds,
            planning_seconds: self.planning_time.as_secs_f64(),
            longest_round_seconds: self.longest_round.as_secs_f64(),
            decisions: self.decisions.iter().map(|(reason, count)| (*reason, *count)).collect(),
            outcomes: self.outcomes,
            violations: self.fleet.reference().violations().to_vec(),
        }
    }
}
