//! Repair with spares: free hosts of the same place, prepared before they replace a member.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::HostName;

use super::group_planner::RoundContext;
use super::pool::PlacePool;
use super::reason::PlanReason;
use super::repair::BrokenGroup;
use super::service::{GroupDisposition, ServicePlan};

/// A member whose load ends sooner than this is not replaced by a spare.
const MIN_LOAD_SAVING: Duration = Duration::from_secs(5);

impl ServicePlan<'_> {
    /// Prepares spares while the missing hosts may still return, and uses them once ready.
    ///
    /// Whichever is ready first completes the group: a host that only restarted its agent keeps
    /// its rank, and a host that stays absent costs no more than the load of its replacement.
    pub(super) fn repair_with_spares(
        &mut self,
        context: &mut RoundContext<'_>,
        broken: &BrokenGroup<'_>,
    ) {
        let replace_seconds = self.load_seconds(context, broken.survey.missing.len());
        let worth_waiting =
            self.estimate_wait(context, broken, replace_seconds).max_wait_seconds > 0.0;
        let wait_limit = self.rules.wait_ms as f64 / 1000.0 - broken.absent_seconds;
        let reserved =
            if context.prepares_hosts { self.reserve_spares(context, broken) } else { None };
        let Some((members, ready)) = reserved else {
            return self.replace_or_wait(context, broken, replace_seconds, PlanReason::UseSpare);
        };
        if ready > context.now && (worth_waiting || wait_limit > 0.0) && !broken.unrecoverable {
            let time_left =
                ready.since(context.now).min(Duration::from_secs_f64(wait_limit.max(0.0)));
            let cost = ready.since(context.now).as_secs_f64();
            self.record_repair_decision(
                context,
                broken,
                PlanReason::WaitForReturn,
                (cost, Some(replace_seconds)),
            );
            return context.round.request_replan(context.now.after(time_left));
        }
        context.replace(broken.survey_index, members);
        self.dispositions[broken.slot] = GroupDisposition::Handled;
        self.count_successor();
        let wait = self.expected_wait(context, broken);
        let time_left = ready.since(context.now).as_secs_f64();
        self.record_repair_decision(context, broken, PlanReason::UseSpare, (time_left, Some(wait)));
    }

    /// Returns the members with spares in place of missing ones, and when the last spare is ready.
    ///
    /// `None` if the weight store has no capacity to prepare the spares.
    fn reserve_spares(
        &mut self,
        context: &mut RoundContext<'_>,
        broken: &BrokenGroup<'_>,
    ) -> Option<(Vec<HostName>, TimePoint)> {
        let place = broken.place?;
        let lacking = broken.survey.missing.len();
        let has_capacity = self.has_load_capacity(context, lacking) && !broken.in_outage;
        let seconds = self.load_seconds(context, lacking);
        let pool = self.pool.place(&place.provider, &place.domain)?;
        reserve(
            context,
            pool,
            broken.survey_index,
            &broken.survey.missing,
            has_capacity.then_some(seconds),
        )
    }

    /// Replaces returned members that still load by spares that are ready.
    ///
    /// Otherwise a host that returns just before its spare is ready would keep the group down for
    /// another whole load, although the spare could serve at once.
    pub(super) fn replace_loading_members(&mut self, context: &mut RoundContext<'_>) {
        for slot in 0..self.groups.len() {
            let survey_index = self.groups[slot];
            let survey = &context.survey.groups[survey_index];
            let waits = !survey.group.whole && survey.missing.is_empty();
            if !waits || self.dispositions[slot] != GroupDisposition::Keep {
                continue;
            }
            if let Some((members, time_left)) = self.loaded_spares(context, survey_index) {
                context.replace(survey_index, members);
                self.dispositions[slot] = GroupDisposition::Handled;
                self.count_successor();
                let reason = PlanReason::UseSpare;
                let costs = (0.0, Some(time_left * self.downtime_cost_rate(0.0)));
                context.record_decision(
                    &self.service.name,
                    Some(survey.group.group),
                    reason,
                    costs,
                );
            }
        }
    }

    /// Returns the members with a ready spare in place of a loading one, and the seconds saved.
    ///
    /// `None` if no spare is ready, or if it would save less than `MIN_LOAD_SAVING`.
    fn loaded_spares(
        &mut self,
        context: &mut RoundContext<'_>,
        survey_index: usize,
    ) -> Option<(Vec<HostName>, f64)> {
        let survey = &context.survey.groups[survey_index];
        let place = survey.present_member?;
        let load = Duration::from_millis(self.rules.load_ms);
        let pool = self.pool.place(&place.provider, &place.domain)?;
        let mut members = survey.group.members.clone();
        let loading: Vec<usize> =
            (0..members.len()).filter(|rank| context.memory.is_unloaded(&members[*rank])).collect();
        let loading_hosts =
            loading.iter().filter_map(|rank| context.view.hosts.get(&members[*rank]));
        let since = loading_hosts.map(|host| host.since).chain([survey.group.since]).max()?;
        let time_left = since.after(load).since(context.now);
        // Limited to one loading member, so that no two ranks compete for the same spare.
        if loading.len() != 1 || time_left < MIN_LOAD_SAVING {
            return None;
        }
        let rank = loading[0];
        let ready = context.memory.ready_at(context.now, pool.peek_for_rank(rank)?, rank)?;
        if ready > context.now {
            context.round.request_replan(ready);
            return None;
        }
        members[rank] = pool.take_for_rank(rank)?;
        Some((members, time_left.as_secs_f64()))
    }

    /// Replaces the missing members by spares at once.
    pub(super) fn use_spares(&mut self, context: &mut RoundContext<'_>, broken: &BrokenGroup<'_>) {
        let Some(place) = broken.place else { return };
        let Some(pool) = self.pool.place(&place.provider, &place.domain) else { return };
        let mut members = broken.survey.group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if broken.survey.missing.contains(&&*member)
                && let Some(spare) = pool.take_for_rank(rank)
            {
                *member = spare;
            }
        }
        context.replace(broken.survey_index, members);
        self.dispositions[broken.slot] = GroupDisposition::Handled;
        self.count_successor();
    }

    /// Replaces leaving members of serving groups if there are too few free hosts for a new group.
    ///
    /// Stops as soon as fewer groups serve than replicas are declared.
    pub(super) fn swap_leaving_members(&mut self, context: &mut RoundContext<'_>) {
        let size = self.size();
        if self.pool.places.iter().any(|place| place.len() >= size) {
            return;
        }
        for slot in 0..self.groups.len() {
            if self.serving(context) < self.wanted() {
                return;
            }
            let survey_index = self.groups[slot];
            let survey = &context.survey.groups[survey_index];
            let leaving =
                self.dispositions[slot] == GroupDisposition::Supersede(PlanReason::MemberLeaving);
            if leaving && survey.serves() && self.swap_members(context, survey_index) {
                self.dispositions[slot] = GroupDisposition::Handled;
                self.count_successor();
                let cost = self.rules.load_ms as f64 / 1000.0;
                let reason = PlanReason::MemberLeaving;
                context.record_decision(
                    &self.service.name,
                    Some(survey.group.group),
                    reason,
                    (cost, None),
                );
            }
        }
    }

    /// Replaces the leaving members once their spares are ready; the group serves until then.
    fn swap_members(&mut self, context: &mut RoundContext<'_>, survey_index: usize) -> bool {
        let survey = &context.survey.groups[survey_index];
        let Some(place) = survey.present_member else { return false };
        let has_capacity = self.has_load_capacity(context, survey.leaving.len());
        let seconds = self.load_seconds(context, survey.leaving.len());
        let Some(pool) = self.pool.place(&place.provider, &place.domain) else { return false };
        if pool.len() < survey.leaving.len() {
            return false;
        }
        let reserved =
            reserve(context, pool, survey_index, &survey.leaving, has_capacity.then_some(seconds));
        let Some((members, ready)) = reserved else { return false };
        if ready > context.now {
            context.round.request_replan(ready);
            return false;
        }
        context.replace(survey_index, members);
        true
    }
}

/// Takes a spare for each member in `outgoing`, and prepares those that are not ready or loading.
///
/// A preparation takes `seconds`; if that is `None`, only spares that need none are used. Returns
/// the new members and when the last spare is ready.
fn reserve(
    context: &mut RoundContext<'_>,
    pool: &mut PlacePool<'_>,
    survey_index: usize,
    outgoing: &[&HostName],
    seconds: Option<f64>,
) -> Option<(Vec<HostName>, TimePoint)> {
    let mut members = context.survey.groups[survey_index].group.members.clone();
    let ranks: Vec<usize> =
        (0..members.len()).filter(|rank| outgoing.contains(&&members[*rank])).collect();
    let ready_for_rank = |rank: usize| {
        pool.peek_for_rank(rank).and_then(|h| context.memory.ready_at(context.now, h, rank))
    };
    if seconds.is_none() && !ranks.iter().all(|rank| ready_for_rank(*rank).is_some()) {
        return None;
    }
    let mut all_ready = context.now;
    for rank in ranks {
        let host = pool.take_for_rank(rank)?;
        let ready = match context.memory.ready_at(context.now, &host, rank) {
            Some(ready) => ready,
            None if !context.prepares_hosts => context.now,
            None => context.prepare(survey_index, rank, &host, seconds?),
        };
        all_ready = all_ready.max(ready);
        members[rank] = host;
    }
    Some((members, all_ready))
}
