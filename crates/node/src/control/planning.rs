//! Runs the group planner on the live fleet and logs its decisions.

use briartray_control::state::ControlCommand;
use briartray_model::TimePoint;
use briartray_model::rules::RuleBook;
use briartray_placement::planner::{
    FleetView, GroupPlanner, PlanDecision, PlanReason, PlanRound, command_for,
};

/// The planner with its state between rounds, and the waits that are logged already.
#[derive(Debug, Default)]
pub(super) struct PlanDriver {
    planner: GroupPlanner,
    logged_waits: Vec<PlanDecision>,
}

impl PlanDriver {
    /// Runs one round of planning and returns its commands.
    pub(super) fn step(
        &mut self,
        now: TimePoint,
        view: &FleetView,
        book: &RuleBook,
    ) -> Vec<ControlCommand> {
        let round = self.planner.step(now, view, book);
        self.log_changes(&round);
        round.actions.iter().filter_map(|action| command_for(view, book, action)).collect()
    }

    /// Logs every action, and every wait that did not exist in the previous round.
    fn log_changes(&mut self, round: &PlanRound) {
        let (waits, action_decisions): (Vec<_>, Vec<_>) =
            round.decisions.iter().partition(|decision| {
                matches!(decision.reason, PlanReason::WaitForReturn | PlanReason::WaitNoSpare)
            });
        let is_logged = |decision: &PlanDecision| {
            self.logged_waits
                .iter()
                .any(|d| d.group == decision.group && d.reason == decision.reason)
        };
        let new_waits = waits.iter().copied().filter(|decision| !is_logged(decision));
        for decision in action_decisions.into_iter().chain(new_waits) {
            log::info!(
                service = decision.service.as_str(),
                group = decision.group.map_or(0, |group| group.0),
                cost = decision.cost,
                other_cost = decision.other_cost.unwrap_or_default();
                "plan decision: {:?}", decision.reason
            );
        }
        self.logged_waits = waits.into_iter().cloned().collect();
    }
}
