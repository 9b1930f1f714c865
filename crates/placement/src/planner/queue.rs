//! Queueing of groups for the weight store when many of them return at once.

use std::time::Duration;

use super::group_planner::RoundContext;
use super::reason::PlanReason;
use super::service::{GroupDisposition, ServicePlan};
use super::survey::GroupSurvey;

/// Only groups with a member that returned this recently are queued for the weight store; the loads
/// of others have progressed too far to be discarded.
const QUEUE_WINDOW: Duration = Duration::from_secs(2);

impl ServicePlan<'_> {
    /// Dissolves groups that start to load together and exceed the limit of parallel loads.
    ///
    /// After a domain outage the weight store shares its rate among all returning hosts, and every
    /// group becomes whole only at the very end. Groups that are formed one after the other, as the
    /// store has capacity, wait half as long on average.
    pub(super) fn queue_loads(&mut self, context: &mut RoundContext<'_>) {
        let limit = self.rules.parallel_loads as usize;
        if limit == 0 || context.running_loads <= limit {
            return;
        }
        let mut running = 0;
        for slot in 0..self.groups.len() {
            let survey_index = self.groups[slot];
            let survey = &context.survey.groups[survey_index];
            if self.dispositions[slot] != GroupDisposition::Keep || survey.group.whole {
                continue;
            }
            let loads = context.memory.unloaded_members(survey.group);
            let first = running == 0;
            running += loads;
            let mostly_loading = 2 * loads >= survey.group.members.len();
            if !first && running > limit && mostly_loading && just_returned(context, survey) {
                running -= loads;
                context.running_loads = context.running_loads.saturating_sub(loads);
                context.dissolve(survey_index);
                self.dispositions[slot] = GroupDisposition::Handled;
                let reason = PlanReason::LoadsQueued;
                context.record_decision(
                    &self.service.name,
                    Some(survey.group.group),
                    reason,
                    (0.0, None),
                );
            }
        }
    }
}

fn just_returned(context: &RoundContext<'_>, survey: &GroupSurvey<'_>) -> bool {
    survey
        .group
        .members
        .iter()
        .filter_map(|host| context.view.hosts.get(host))
        .filter(|host| host.present)
        .any(|host| context.now.since(host.since) < QUEUE_WINDOW)
}
