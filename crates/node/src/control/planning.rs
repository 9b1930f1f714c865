//! Running the planner on the live fleet and logging what it decides.

use briartray_control::state::ControlCommand;
use briartray_model::TimePoint;
use briartray_model::rules::RuleBook;
use briartray_placement::planner::{
    FleetView, GroupPlanner, PlanDecision, PlanReason, PlanRound, command_for,
};

/// Plans groups and keeps what the planner remembers between rounds.
#[derive(Debug, Default)]
pub(super) struct PlanDriver {
    planner: GroupPlanner,
    waits: Vec<PlanDecision>,
}

impl PlanDriver {
    /// The commands of one round of planning.
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

    /// Logs what is done and which groups are newly waited for.
    fn log_changes(&mut self, round: &PlanRound) {
        let (waits, done): (Vec<_>, Vec<_>) = round.decisions.iter().partition(|decision| {
            matches!(decision.reason, PlanReason::WaitForReturn | PlanReason::WaitNoSpare)
        });
        let known = |decision: &PlanDecision| {
            self.waits.iter().any(|d| d.group == decision.group && d.reason == decision.reason)
        };
        let news = waits.iter().copied().filter(|decision| !known(decision));
        for decision in done.into_iter().chain(news) {
            log::info!(
                service = decision.service.as_str(),
                group = decision.group.map_or(0, |group| group.0),
                cost = decision.cost,
                other_cost = decision.other_cost.unwrap_or_default();
                "plan decision: {:?}", decision.reason
            );
        }
        self.waits = waits.into_iter().cloned().collect();
    }
}
