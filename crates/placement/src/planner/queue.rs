//! The queue for the weight store when many groups come back at once.

use std::time::Duration;

use super::group_planner::RoundContext;
use super::reason::PlanReason;
use super::service::{GroupDisposition, ServicePlan};
use super::survey::GroupSurvey;

/// Groups whose members came back this recently may be sent to the queue for the weight store;
/// later their loads are under way and would be lost.
const QUEUE_WINDOW: Duration = Duration::from_secs(2);

impl ServicePlan<'_> {
    /// Sends groups to the queue whose members all start to load at once.
    ///
    /// When a fabric domain comes back, the weight store shares its rate among all of its hosts
    /// and every group becomes whole only at the very end. Formed one after the other, the groups
    /// wait half as long on average.
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
            let most = 2 * loads >= survey.group.members.len();
            if !first && running > limit && most && just_returned(context, survey) {
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
