//! Stepping a trace through a planner, and comparing what happens with what is stated.

use std::time::Duration;

use briartray_model::{SortedTable, TimePoint, plain_choice, plain_value};

use super::fleet::{ReplayFleet, from_ms};
use super::trace::{HostTrace, TraceEvent, TraceHeader, TraceLine};
use crate::accounting::ServiceAccount;
use crate::planner::{GroupPlanner, PlanAction, PlanReason, plan_first_come};

/// Time from a change to the round of planning that sees it.
const TICK: Duration = Duration::from_millis(200);

/// Decisions that are made again in every round while a group stays as it is.
const LASTING_REASONS: [PlanReason; 3] =
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
    /// Every kind, the one to be compared with first.
    pub const ALL: [Self; 3] = [Self::Naive, Self::Unprepared, Self::Cost];

    /// The name used in reports.
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
        /// First come, first grouped.
        Naive,
        /// By expected cost, with hosts that load ahead.
        #[default]
        Cost,
        /// By expected cost, with hosts that load only once they belong to a group.
        Unprepared,
    }
}

plain_value! {
    /// One stated outcome and what came of it.
    pub struct StatedOutcome {
        /// When it was stated for, in milliseconds.
        pub at_ms: u64,
        /// What was stated.
        pub stated: TraceEvent,
        /// What was measured.
        pub measured: f64,
        /// Whether it held.
        pub held: bool,
    }

    /// What a replay measured.
    pub struct ReplayReport {
        /// What the trace is about.
        pub trace: String,
        /// Which planner was replayed.
        pub planner: PlannerKind,
        /// Sums over all services, in seconds.
        pub total: ServiceAccount,
        /// Weighted total.
        pub weighted: f64,
        /// The part of it that no plan could have avoided, for want of hosts.
        pub weighted_bound: f64,
        /// Groups formed.
        pub formed: u64,
        /// Groups replaced by a successor in one step.
        pub replaced: u64,
        /// Groups dissolved.
        pub dissolved: u64,
        /// Commands that the registry refused.
        pub refused: u64,
        /// Rounds of planning.
        pub rounds: u64,
        /// Time in the planner, in seconds; zero when no meter was given.
        pub planning_seconds: f64,
        /// Longest round, in seconds.
        pub longest_round_seconds: f64,
        /// Decisions by reason; groups that wait are counted once for each wait.
        pub decisions: Vec<(PlanReason, u64)>,
        /// Stated outcomes.
        pub outcomes: Vec<StatedOutcome>,
        /// Promises of the registry that did not hold.
        pub violations: Vec<String>,
    }
}

impl ReplayReport {
    /// Whether every stated outcome and every promise held.
    pub fn holds(&self) -> bool {
        self.violations.is_empty() && self.outcomes.iter().all(|outcome| outcome.held)
    }
}

/// A replay in progress.
pub(super) struct TraceRun<'a> {
    fleet: ReplayFleet,
    planner: GroupPlanner,
    kind: PlannerKind,
    meter: &'a mut dyn FnMut() -> Duration,
    plan_at: Option<TimePoint>,
    wake: Option<TimePoint>,
    rounds: u64,
    planning: Duration,
    longest: Duration,
    decisions: SortedTable<PlanReason, u64>,
    waits: Vec<(u64, PlanReason)>,
    outcomes: Vec<StatedOutcome>,
}

/// Replays `trace` through the planner and the registry; `meter` reads a clock for the time that
/// planning takes and may always return zero.
pub fn run_trace(
    trace: &HostTrace,
    kind: PlannerKind,
    meter: &mut dyn FnMut() -> Duration,
) -> ReplayReport {
    let mut run = TraceRun::new(&trace.header, kind, meter);
    run.replay(&trace.lines, from_ms(trace.header.end_ms));
    run.report(&trace.header.trace)
}

impl<'a> TraceRun<'a> {
    pub(super) fn new(
        header: &TraceHeader,
        kind: PlannerKind,
        meter: &'a mut dyn FnMut() -> Duration,
    ) -> Self {
        let planner = match kind {
            PlannerKind::Cost => GroupPlanner::with_preparation(),
            PlannerKind::Naive | PlannerKind::Unprepared => GroupPlanner::default(),
        };
        Self {
            fleet: ReplayFleet::new(header),
            planner,
            kind,
            meter,
            plan_at: None,
            wake: None,
            rounds: 0,
            planning: Duration::ZERO,
            longest: Duration::ZERO,
            decisions: SortedTable::default(),
            waits: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    /// Takes in `lines` one after the other and goes on to `end`.
    pub(super) fn replay(&mut self, lines: &[TraceLine], end: TimePoint) {
        for line in lines {
            self.run_until(from_ms(line.at_ms));
            self.take(line);
        }
        self.run_until(end);
    }

    /// The fleet as it is now.
    pub(super) fn fleet(&self) -> &ReplayFleet {
        &self.fleet
    }

    /// Lets loads end and planning rounds happen up to `end`.
    fn run_until(&mut self, end: TimePoint) {
        loop {
            let wake = self.wake.map(|wake| wake.max(self.fleet.now()));
            let plan = [self.plan_at, wake].into_iter().flatten().min();
            let next = [self.fleet.next_change(), plan].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next < end) else { break };
            if self.fleet.advance(next) {
                self.plan_soon();
            }
            if plan.is_some_and(|plan| plan <= next) {
                self.plan();
            }
        }
        if self.fleet.advance(end) {
            self.plan_soon();
        }
    }

    fn plan_soon(&mut self) {
        self.plan_at.get_or_insert(self.fleet.now().after(TICK));
    }

    fn plan(&mut self) {
        self.plan_at = None;
        self.wake = None;
        let started = (self.meter)();
        let actions = match self.kind {
            PlannerKind::Naive => plan_first_come(self.fleet.view(), self.fleet.book()),
            PlannerKind::Cost | PlannerKind::Unprepared => self.plan_by_cost(),
        };
        let spent = (self.meter)().saturating_sub(started);
        self.rounds += 1;
        self.planning += spent;
        self.longest = self.longest.max(spent);
        for action in &actions {
            self.fleet.execute(action);
        }
        if !actions.is_empty() {
            self.plan_soon();
        }
    }

    fn plan_by_cost(&mut self) -> Vec<PlanAction> {
        let now = self.fleet.now();
        let round = self.planner.step(now, self.fleet.view(), self.fleet.book());
        // No earlier than the next tick, as in the control role.
        self.wake = round.wake.map(|wake| wake.max(now.after(TICK)));
        let mut waits = Vec::new();
        for decision in &round.decisions {
            let waiting = decision.group.is_some() && LASTING_REASONS.contains(&decision.reason);
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

    fn take(&mut self, line: &TraceLine) {
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
                return self.plan_soon();
            }
        };
        let stated = line.event.clone();
        self.outcomes.push(StatedOutcome { at_ms: line.at_ms, stated, measured, held });
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
            planning_seconds: self.planning.as_secs_f64(),
            longest_round_seconds: self.longest.as_secs_f64(),
            decisions: self.decisions.iter().map(|(reason, count)| (*reason, *count)).collect(),
            outcomes: self.outcomes,
            violations: self.fleet.naive().violations().to_vec(),
        }
    }
}
