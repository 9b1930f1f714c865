//! Mending: wait for a missing member, use a spare, split another broken group, rebuild, or cross
//! fabric domains, whichever is expected to cost least.

use std::time::Duration;

use briartray_model::message::HostAnnouncement;
use briartray_model::names::HostName;

use super::absence::{GONE_SECONDS, WaitEstimate};
use super::group_planner::RoundFrame;
use super::reason::PlanReason;
use super::service::{GroupFate, ServicePlan};
use super::survey::GroupSurvey;

/// A dark fabric domain stays away this many times as long as a restarted host.
const DARK_FACTOR: u64 = 3;

/// How often a group that waits without a spare is looked at again.
const LOOK_AGAIN: Duration = Duration::from_secs(30);

/// One broken group with what is known about its missing members.
pub(super) struct BrokenGroup<'a> {
    pub(super) at: usize,
    pub(super) index: usize,
    pub(super) survey: &'a GroupSurvey<'a>,
    pub(super) place: Option<&'a HostAnnouncement>,
    pub(super) away: f64,
    pub(super) dark: bool,
    pub(super) hopeless: bool,
}

impl ServicePlan<'_> {
    /// Decides for every group that lacks members, those first that lack least.
    pub(super) fn mend_broken(&mut self, frame: &mut RoundFrame<'_>) {
        let mut order: Vec<usize> = (0..self.groups.len())
            .filter(|at| self.fates[*at] != GroupFate::Ended)
            .filter(|at| frame.survey.groups[self.groups[*at]].is_broken())
            .collect();
        order.sort_by_key(|at| frame.survey.groups[self.groups[*at]].missing.len());
        for at in order.iter().copied() {
            if self.fates[at] != GroupFate::Ended {
                let broken = self.describe(frame, at);
                let general = self.rules.clone();
                if let Some(said) = broken.place {
                    self.rules = self.rules_at(&said.zone, &said.provider);
                }
                self.mend(frame, &broken, &order);
                self.rules = general;
            }
        }
    }

    pub(super) fn describe<'a>(&self, frame: &RoundFrame<'a>, at: usize) -> BrokenGroup<'a> {
        let index = self.groups[at];
        let survey = &frame.survey.groups[index];
        let said = |host: &HostName| frame.view.hosts.get(host).map(|host| &host.announcement);
        let place = survey.anchor.or_else(|| survey.missing.iter().find_map(|host| said(host)));
        let dark = place.and_then(|said| frame.memory.dark_seconds(frame.now, &said.domain));
        let away = |host: &&HostName| frame.memory.away_seconds(frame.now, host);
        let longest = survey.missing.iter().map(away).fold(0.0, f64::max);
        let left = survey.missing.iter().any(|host| said(host).is_some_and(|said| said.leaving));
        BrokenGroup {
            at,
            index,
            survey,
            place,
            away: dark.unwrap_or(longest),
            dark: dark.is_some(),
            hopeless: left || longest > GONE_SECONDS,
        }
    }

    fn mend(&mut self, frame: &mut RoundFrame<'_>, broken: &BrokenGroup<'_>, order: &[usize]) {
        let lacking = broken.survey.missing.len();
        let spares = broken.place.map_or(0, |said| self.pool.count(&said.provider, &said.domain));
        let size = self.size();
        if self.fates[broken.at] != GroupFate::Keep && (spares < lacking || broken.dark) {
            return self.end_hopeless(frame, broken);
        }
        // While a fabric domain comes back, its first hosts are not put in other places.
        if spares >= lacking && !broken.dark {
            return self.mend_with_spares(frame, broken);
        }
        if self.pool.places.iter().any(|place| place.len() >= size) {
            let replace = self.load_seconds(frame, size);
            return self.replace_or_wait(frame, broken, replace, PlanReason::RebuildElsewhere);
        }
        let moved = !broken.dark
            && (self.split_other(frame, broken, order) || self.cross_domains(frame, broken));
        if moved {
            return;
        }
        if broken.hopeless {
            return self.end_hopeless(frame, broken);
        }
        let wait = self.expected_wait(frame, broken);
        self.note(frame, broken, PlanReason::WaitNoSpare, (wait, None));
        frame.round.wake_at(frame.now.after(LOOK_AGAIN));
    }

    /// Replaces now if no later time is expected to be cheaper, and waits otherwise.
    pub(super) fn replace_or_wait(
        &mut self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        replace: f64,
        reason: PlanReason,
    ) {
        let estimate = self.weigh(frame, broken, replace);
        if estimate.patience_seconds > 0.0 {
            let costs = (estimate.wait_seconds, Some(replace));
            self.note(frame, broken, PlanReason::WaitForReturn, costs);
            let patience = Duration::from_secs_f64(estimate.patience_seconds);
            return frame.round.wake_at(frame.now.after(patience));
        }
        if reason == PlanReason::UseSpare {
            self.use_spares(frame, broken);
        } else {
            self.fates[broken.at] = GroupFate::Move(reason);
        }
        let wait = self.expected_wait(frame, broken);
        self.note(frame, broken, reason, (replace, Some(wait)));
    }

    pub(super) fn weigh(
        &self,
        frame: &RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        replace: f64,
    ) -> WaitEstimate {
        let limit = self.rules.wait_ms as f64 / 1000.0;
        let now = WaitEstimate { wait_seconds: replace, patience_seconds: 0.0 };
        if broken.hopeless || broken.away >= limit {
            return now;
        }
        let load = self.load_seconds(frame, 1);
        let mut estimate = if broken.dark {
            let mut rules = self.rules.clone();
            rules.restart_ms *= DARK_FACTOR;
            frame.memory.domains.weigh(&rules, broken.away, load, replace)
        } else {
            frame.memory.hosts.weigh(&self.rules, broken.away, load, replace)
        };
        estimate.patience_seconds = estimate.patience_seconds.min(limit - broken.away);
        estimate
    }

    pub(super) fn expected_wait(&self, frame: &RoundFrame<'_>, broken: &BrokenGroup<'_>) -> f64 {
        if broken.hopeless {
            return GONE_SECONDS;
        }
        let load = self.load_seconds(frame, 1);
        let model = if broken.dark { &frame.memory.domains } else { &frame.memory.hosts };
        model.expected_wait(&self.rules, broken.away, load)
    }

    /// Frees the members of a group that waits for a host that will not come back.
    fn end_hopeless(&mut self, frame: &mut RoundFrame<'_>, broken: &BrokenGroup<'_>) {
        if broken.hopeless {
            frame.dissolve(broken.index);
            self.fates[broken.at] = GroupFate::Ended;
            self.note(frame, broken, PlanReason::Surplus, (0.0, None));
        }
    }

    /// Cost of one second in which the group is down and its present hosts are stranded.
    pub(super) fn worth_of(&self, broken: &BrokenGroup<'_>) -> f64 {
        let accelerators = broken.survey.anchor.map_or(0, |said| said.accelerators);
        let present = broken.survey.group.members.len() - broken.survey.missing.len();
        self.worth(f64::from(accelerators) * present as f64)
    }

    pub(super) fn note(
        &self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        reason: PlanReason,
        (seconds, other): (f64, Option<f64>),
    ) {
        let worth = self.worth_of(broken);
        let costs = (seconds * worth, other.map(|seconds| seconds * worth));
        frame.decide(&self.service.name, Some(broken.survey.group.group), reason, costs);
    }
}
