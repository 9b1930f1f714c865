//! Repair of broken groups: wait for the missing members, use spares, rebuild the group elsewhere,
//! take the hosts of another broken group, or cross fabric domains, by expected cost.

use std::time::Duration;

use briartray_model::message::HostAnnouncement;
use briartray_model::names::HostName;

use super::absence::{PERMANENT_LOSS_SECONDS, WaitEstimate};
use super::group_planner::RoundContext;
use super::reason::PlanReason;
use super::service::{GroupDisposition, ServicePlan};
use super::survey::GroupSurvey;

/// Expected length of a domain outage, in multiples of the time that a host takes to restart.
const OUTAGE_RESTART_FACTOR: u64 = 3;

/// How often a group that waits without a spare is planned again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(30);

/// A broken group and what is known about its missing members.
pub(super) struct BrokenGroup<'a> {
    /// Its slot in `ServicePlan::groups`.
    pub(super) slot: usize,
    /// Its index in `FleetSurvey::groups`.
    pub(super) survey_index: usize,
    pub(super) survey: &'a GroupSurvey<'a>,
    /// Announcement of a member, if possible of a present one; gives zone, provider and domain.
    pub(super) place: Option<&'a HostAnnouncement>,
    /// Length of the domain outage if there is one, otherwise of the longest absence of a member.
    pub(super) absent_seconds: f64,
    /// Whether its fabric domain has an outage or is still recovering from one.
    pub(super) in_outage: bool,
    /// Whether a missing member had announced to leave or is presumed permanently lost.
    pub(super) unrecoverable: bool,
}

impl ServicePlan<'_> {
    /// Decides what to do with each broken group, in ascending order of missing members.
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
        // While a fabric domain recovers, its first hosts are not moved to other ranks.
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

    /// Replaces members or the group now if replacing later is not expected to cost less; otherwise
    /// waits.
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

    /// Compares waiting, for at most the time that the rules allow, with replacing now.
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

    /// Expected seconds until the group is whole again if it only waits.
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

    /// Dissolves a group that would wait for a host that is not expected back.
    fn dissolve_unrecoverable(&mut self, context: &mut RoundContext<'_>, broken: &BrokenGroup<'_>) {
        if broken.unrecoverable {
            context.dissolve(broken.survey_index);
            self.dispositions[broken.slot] = GroupDisposition::Handled;
            self.record_repair_decision(context, broken, PlanReason::Surplus, (0.0, None));
        }
    }

    /// Cost of one second of downtime of the group, with its present hosts stranded.
    pub(super) fn broken_cost_rate(&self, broken: &BrokenGroup<'_>) -> f64 {
        let accelerators =
            broken.survey.present_member.map_or(0, |announcement| announcement.accelerators);
        let present = broken.survey.group.members.len() - broken.survey.missing.len();
        self.downtime_cost_rate(f64::from(accelerators) * present as f64)
    }

    /// Records a decision on a broken group; the costs are given in seconds of its downtime.
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
