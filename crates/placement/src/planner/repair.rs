//! Mending: wait for a missing member, use a spare, split another broken group, rebuild, or cross
//! fabric domains, whichever is expected to cost least.

use std::time::Duration;

use briartray_model::message::HostAnnouncement;
use briartray_model::names::HostName;

use super::absence::{PERMANENT_LOSS_SECONDS, WaitEstimate};
use super::group_planner::RoundContext;
use super::reason::PlanReason;
use super::service::{GroupDisposition, ServicePlan};
use super::survey::GroupSurvey;

/// A dark fabric domain stays away this many times as long as a restarted host.
const OUTAGE_RESTART_FACTOR: u64 = 3;

/// How often a group that waits without a spare is looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(30);

/// One broken group with what is known about its missing members.
pub(super) struct BrokenGroup<'a> {
    pub(super) slot: usize,
    pub(super) survey_index: usize,
    pub(super) survey: &'a GroupSurvey<'a>,
    pub(super) place: Option<&'a HostAnnouncement>,
    pub(super) absent_seconds: f64,
    pub(super) in_outage: bool,
    pub(super) unrecoverable: bool,
}

impl ServicePlan<'_> {
    /// Decides for every group that lacks members, those first that lack least.
    pub(super) fn repair_broken(&mut self, context: &mut RoundContext<'_>) {
        let mut order: Vec<usize> = (0..self.groups.len())
            .filter(|slot| self.dispositions[*slot] != GroupDisposition::Handled)
            .filter(|slot| context.survey.groups[self.groups[*slot]].is_broken())
            .collect();
        order.sort_by_key(|slot| context.survey.groups[self.groups[*slot]].missing.len());
        for slot in order.iter().copied() {
            if self.dispositions[slot] != GroupDisposition::Handled {
                let broken = self.describe(context, slot);
                let service_rules = self.rules.clone();
                if let Some(place) = broken.place {
                    self.rules = self.rules_at(&place.zone, &place.provider);
                }
                self.repair(context, &broken, &order);
                self.rules = service_rules;
            }
        }
    }

    pub(super) fn describe<'a>(&self, context: &RoundContext<'a>, slot: usize) -> BrokenGroup<'a> {
        let survey_index = self.groups[slot];
        let survey = &context.survey.groups[survey_index];
        let announcement_of =
            |host: &HostName| context.view.hosts.get(host).map(|host| &host.announcement);
        let place = survey
            .present_member
            .or_else(|| survey.missing.iter().find_map(|host| announcement_of(host)));
        let outage_seconds =
            place.and_then(|place| context.memory.outage_seconds(context.now, &place.domain));
        let absent_for = |host: &&HostName| context.memory.absent_seconds(context.now, host);
        let longest_absence = survey.missing.iter().map(absent_for).fold(0.0, f64::max);
        let leaving = survey
            .missing
            .iter()
            .any(|host| announcement_of(host).is_some_and(|announcement| announcement.leaving));
        BrokenGroup {
            slot,
            survey_index,
            survey,
            place,
            absent_seconds: outage_seconds.unwrap_or(longest_absence),
            in_outage: outage_seconds.is_some(),
            unrecoverable: leaving || longest_absence > PERMANENT_LOSS_SECONDS,
        }
    }

    fn repair(
        &mut self,
        context: &mut RoundContext<'_>,
        broken: &BrokenGroup<'_>,
        order: &[usize],
    ) {
        let lacking = broken.survey.missing.len();
        let spares =
            broken.place.map_or(0, |place| self.pool.count(&place.provider, &place.domain));
        let size = self.size();
        if self.dispositions[broken.slot] != GroupDisposition::Keep
            && (spares < lacking || broken.in_outage)
        {
            return self.dissolve_unrecoverable(context, broken);
        }
        // While a fabric domain comes back, its first hosts are not put in other places.
        if spares >= lacking && !broken.in_outage {
            return self.repair_with_spares(context, broken);
        }
        if self.pool.places.iter().any(|place| place.len() >= size) {
            let replace_seconds = self.load_seconds(context, size);
            return self.replace_or_wait(
                context,
                broken,
                replace_seconds,
                PlanReason::RebuildElsewhere,
            );
        }
        let repaired = !broken.in_outage
            && (self.split_other(context, broken, order) || self.cross_domains(context, broken));
        if repaired {
            return;
        }
        if broken.unrecoverable {
            return self.dissolve_unrecoverable(context, broken);
        }
        let wait = self.expected_wait(context, broken);
        self.record_repair_decision(context, broken, PlanReason::WaitNoSpare, (wait, None));
        context.round.request_replan(context.now.after(RECHECK_INTERVAL));
    }

    /// Replaces now if no later time is expected to be cheaper, and waits otherwise.
    pub(super) fn replace_or_wait(
        &mut self,
        context: &mut RoundContext<'_>,
        broken: &BrokenGroup<'_>,
        replace_seconds: f64,
        reason: PlanReason,
    ) {
        let estimate = self.estimate_wait(context, broken, replace_seconds);
        if estimate.max_wait_seconds > 0.0 {
            let costs = (estimate.expected_down_seconds, Some(replace_seconds));
            self.record_repair_decision(context, broken, PlanReason::WaitForReturn, costs);
            let max_wait = Duration::from_secs_f64(estimate.max_wait_seconds);
            return context.round.request_replan(context.now.after(max_wait));
        }
        if reason == PlanReason::UseSpare {
            self.use_spares(context, broken);
        } else {
            self.dispositions[broken.slot] = GroupDisposition::Supersede(reason);
        }
        let wait = self.expected_wait(context, broken);
        self.record_repair_decision(context, broken, reason, (replace_seconds, Some(wait)));
    }

    pub(super) fn estimate_wait(
        &self,
        context: &RoundContext<'_>,
        broken: &BrokenGroup<'_>,
        replace_seconds: f64,
    ) -> WaitEstimate {
        let wait_limit = self.rules.wait_ms as f64 / 1000.0;
        let replace_now =
            WaitEstimate { expected_down_seconds: replace_seconds, max_wait_seconds: 0.0 };
        if broken.unrecoverable || broken.absent_seconds >= wait_limit {
            return replace_now;
        }
        let load = self.load_seconds(context, 1);
        let mut estimate = if broken.in_outage {
            let mut rules = self.rules.clone();
            rules.restart_ms *= OUTAGE_RESTART_FACTOR;
            context.memory.domain_absences.estimate_wait(
                &rules,
                broken.absent_seconds,
                load,
                replace_seconds,
            )
        } else {
            context.memory.host_absences.estimate_wait(
                &self.rules,
                broken.absent_seconds,
                load,
                replace_seconds,
            )
        };
        estimate.max_wait_seconds =
            estimate.max_wait_seconds.min(wait_limit - broken.absent_seconds);
        estimate
    }

    pub(super) fn expected_wait(
        &self,
        context: &RoundContext<'_>,
        broken: &BrokenGroup<'_>,
    ) -> f64 {
        if broken.unrecoverable {
            return PERMANENT_LOSS_SECONDS;
        }
        let load = self.load_seconds(context, 1);
        let model = if broken.in_outage {
            &context.memory.domain_absences
        } else {
            &context.memory.host_absences
        };
        model.expected_wait(&self.rules, broken.absent_seconds, load)
    }

    /// Frees the members of a group that waits for a host that will not come back.
    fn dissolve_unrecoverable(&mut self, context: &mut RoundContext<'_>, broken: &BrokenGroup<'_>) {
        if broken.unrecoverable {
            context.dissolve(broken.survey_index);
            self.dispositions[broken.slot] = GroupDisposition::Handled;
            self.record_repair_decision(context, broken, PlanReason::Surplus, (0.0, None));
        }
    }

    /// Cost of one second in which the group is down and its present hosts are stranded.
    pub(super) fn broken_cost_rate(&self, broken: &BrokenGroup<'_>) -> f64 {
        let accelerators =
            broken.survey.present_member.map_or(0, |announcement| announcement.accelerators);
        let present = broken.survey.group.members.len() - broken.survey.missing.len();
        self.downtime_cost_rate(f64::from(accelerators) * present as f64)
    }

    pub(super) fn record_repair_decision(
        &self,
        context: &mut RoundContext<'_>,
        broken: &BrokenGroup<'_>,
        reason: PlanReason,
        (seconds, other): (f64, Option<f64>),
    ) {
        let cost_rate = self.broken_cost_rate(broken);
        let costs = (seconds * cost_rate, other.map(|seconds| seconds * cost_rate));
        context.record_decision(&self.service.name, Some(broken.survey.group.group), reason, costs);
    }
}
