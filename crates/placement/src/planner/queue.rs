//! The queue for the weight store when many groups come back at once.

use std::time::Duration;

use super::group_planner::RoundFrame;
use super::reason::PlanReason;
use super::service::{GroupFate, ServicePlan};
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
    pub(super) fn queue_loads(&mut self, frame: &mut RoundFrame<'_>) {
        let limit = self.rules.parallel_loads as usize;
        if limit == 0 || frame.loads <= limit {
            return;
        }
        let mut running = 0;
        for at in 0..self.groups.len() {
            let index = self.groups[at];
            let survey = &frame.survey.groups[index];
            if self.fates[at] != GroupFate::Keep || survey.group.whole {
                continue;
            }
            let loads = frame.memory.loads_of(survey.group);
            let first = running == 0;
            running += loads;
            let most = 2 * loads >= survey.group.members.len();
            if !first && running > limit && most && just_returned(frame, survey) {
                running -= loads;
                frame.loads = frame.loads.saturating_sub(loads);
                frame.dissolve(index);
                self.fates[at] = GroupFate::Ended;
                let reason = PlanReason::LoadsQueued;
                frame.decide(&self.service.name, Some(survey.group.group), reason, (0.0, None));
            }
        }
    }
}

fn just_returned(frame: &RoundFrame<'_>, survey: &GroupSurvey<'_>) -> bool {
    survey
        .group
        .members
        .iter()
        .filter_map(|host| frame.view.hosts.get(host))
        .filter(|host| host.present)
        .any(|host| frame.now.since(host.since) < QUEUE_WINDOW)
}
