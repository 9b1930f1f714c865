//! Mending: wait for a missing member, use a spare, split another broken group, rebuild, or cross
//! fabric domains, whichever is expected to cost least.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::HostAnnouncement;
use briartray_model::names::HostName;

use super::absence::{GONE_SECONDS, WaitEstimate};
use super::group_planner::RoundFrame;
use super::pool::PlacePool;
use super::reason::PlanReason;
use super::service::{GroupFate, QUEUE_WINDOW, ServicePlan};
use super::survey::GroupSurvey;

/// A dark fabric domain stays away this many times as long as a restarted host.
const DARK_FACTOR: u64 = 3;

/// How often a group that waits without a spare is looked at again.
const LOOK_AGAIN: Duration = Duration::from_secs(30);

/// One broken group with what is known about its missing members.
struct BrokenGroup<'a> {
    at: usize,
    index: usize,
    survey: &'a GroupSurvey<'a>,
    place: Option<&'a HostAnnouncement>,
    away: f64,
    dark: bool,
    hopeless: bool,
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
                self.mend(frame, &broken, &order);
            }
        }
    }

    fn describe<'a>(&self, frame: &RoundFrame<'a>, at: usize) -> BrokenGroup<'a> {
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
    fn replace_or_wait(
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

    fn weigh(
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

    fn expected_wait(&self, frame: &RoundFrame<'_>, broken: &BrokenGroup<'_>) -> f64 {
        if broken.hopeless {
            return GONE_SECONDS;
        }
        let load = self.load_seconds(frame, 1);
        let model = if broken.dark { &frame.memory.domains } else { &frame.memory.hosts };
        model.expected_wait(&self.rules, broken.away, load)
    }

    /// Lets spares load ahead while the missing hosts may still come back.
    ///
    /// Whoever is ready first mends the group: a host that only restarted its agent finds its
    /// place kept, and a host that stays away costs no more than the load of its replacement.
    fn mend_with_spares(&mut self, frame: &mut RoundFrame<'_>, broken: &BrokenGroup<'_>) {
        let replace = self.load_seconds(frame, broken.survey.missing.len());
        let patient = self.weigh(frame, broken, replace).patience_seconds > 0.0;
        let limit = self.rules.wait_ms as f64 / 1000.0 - broken.away;
        let reserved = if frame.loads_ahead { self.reserve_spares(frame, broken) } else { None };
        let Some((members, ready)) = reserved else {
            return self.replace_or_wait(frame, broken, replace, PlanReason::UseSpare);
        };
        if ready > frame.now && (patient || limit > 0.0) && !broken.hopeless {
            let left = ready.since(frame.now).min(Duration::from_secs_f64(limit.max(0.0)));
            let cost = ready.since(frame.now).as_secs_f64();
            self.note(frame, broken, PlanReason::WaitForReturn, (cost, Some(replace)));
            return frame.round.wake_at(frame.now.after(left));
        }
        frame.replace(broken.index, members);
        self.fates[broken.at] = GroupFate::Ended;
        self.mended();
        let wait = self.expected_wait(frame, broken);
        let left = ready.since(frame.now).as_secs_f64();
        self.note(frame, broken, PlanReason::UseSpare, (left, Some(wait)));
    }

    /// Members with spares in place of those that are missing, and when the last spare is ready;
    /// none when the weight store has no room for a load ahead.
    fn reserve_spares(
        &mut self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
    ) -> Option<(Vec<HostName>, TimePoint)> {
        let said = broken.place?;
        let lacking = broken.survey.missing.len();
        let room = self.has_room(frame, lacking) && !broken.dark;
        let seconds = self.load_seconds(frame, lacking);
        let pool = self.pool.place(&said.provider, &said.domain)?;
        reserve(frame, pool, broken.index, &broken.survey.missing, room.then_some(seconds))
    }

    fn use_spares(&mut self, frame: &mut RoundFrame<'_>, broken: &BrokenGroup<'_>) {
        let Some(said) = broken.place else { return };
        let Some(pool) = self.pool.place(&said.provider, &said.domain) else { return };
        let mut members = broken.survey.group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if broken.survey.missing.contains(&&*member)
                && let Some(spare) = pool.take_one(rank)
            {
                *member = spare;
            }
        }
        frame.replace(broken.index, members);
        self.fates[broken.at] = GroupFate::Ended;
        self.mended();
    }

    /// Ends another broken group of the same place and takes its members.
    ///
    /// Two groups that each lack a host strand all of their other hosts; one of the two can serve.
    /// The other then has to wait for all of the missing hosts and load anew, which the price of
    /// the split includes.
    fn split_other(
        &mut self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        order: &[usize],
    ) -> bool {
        let Some(said) = broken.place else { return false };
        let lacking = broken.survey.missing.len();
        let free = self.pool.count(&said.provider, &said.domain);
        let donor = order.iter().rev().copied().filter(|at| *at != broken.at).find_map(|at| {
            let donor = self.describe(frame, at);
            let same = donor
                .survey
                .anchor
                .is_some_and(|d| d.domain == said.domain && d.provider == said.provider);
            let present = donor.survey.group.members.len() - donor.survey.missing.len();
            let fits = same
                && self.fates[at] == GroupFate::Keep
                && donor.survey.missing.len() >= lacking
                && present + free >= lacking;
            fits.then_some(donor)
        });
        let Some(donor) = donor else { return false };
        let load = self.load_seconds(frame, lacking);
        let (mine, other) = (self.expected_wait(frame, broken), self.expected_wait(frame, &donor));
        let price = 2.0 * load + (mine - other).max(0.0);
        if self.weigh_beyond_limit(frame, broken, price) > 0.0 {
            return false;
        }
        self.take_members(frame, broken, &donor);
        self.note(frame, broken, PlanReason::SplitBroken, (price, Some(mine)));
        true
    }

    /// Patience of the cost model alone: the rules' longest wait is meant for replacements that
    /// take nothing from anyone else.
    fn weigh_beyond_limit(
        &self,
        frame: &RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        price: f64,
    ) -> f64 {
        if broken.hopeless {
            return 0.0;
        }
        let load = self.load_seconds(frame, 1);
        let model = if broken.dark { &frame.memory.domains } else { &frame.memory.hosts };
        model.weigh(&self.rules, broken.away, load, price).patience_seconds
    }

    fn take_members(
        &mut self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        donor: &BrokenGroup<'_>,
    ) {
        let mut offered: Vec<(usize, HostName)> = donor
            .survey
            .group
            .members
            .iter()
            .enumerate()
            .filter(|(_, host)| !donor.survey.missing.contains(host))
            .map(|(rank, host)| (rank, host.clone()))
            .collect();
        let mut members = broken.survey.group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if !broken.survey.missing.contains(&&*member) {
                continue;
            }
            // A host that held the same position elsewhere has the right weights loaded already.
            let same = offered.iter().position(|(other, _)| *other == rank).unwrap_or(0);
            if same < offered.len() {
                *member = offered.remove(same).1;
            }
        }
        frame.dissolve(donor.index);
        frame.replace(broken.index, members);
        self.fates[donor.at] = GroupFate::Ended;
        self.fates[broken.at] = GroupFate::Ended;
        self.mended();
    }

    /// The last resort: hosts of another fabric domain of the same provider.
    fn cross_domains(&mut self, frame: &mut RoundFrame<'_>, broken: &BrokenGroup<'_>) -> bool {
        let Some(said) = broken.place.filter(|_| self.rules.cross_domain) else { return false };
        let lacking = broken.survey.missing.len();
        if self.pool.count_provider(&said.provider) < lacking || broken.survey.anchor.is_none() {
            return false;
        }
        // A slow group loses part of its worth to callers and strands nobody, so the more stranded
        // accelerators weigh, the sooner fabric domains are crossed.
        let lost = f64::from(self.rules.cross_domain_loss_percent) / 100.0;
        let slow = lost * self.rules.downtime_weight / self.worth_of(broken).max(f64::MIN_POSITIVE);
        let wait = self.expected_wait(frame, broken);
        let price = self.load_seconds(frame, lacking) + slow * wait;
        if self.weigh_beyond_limit(frame, broken, price) > 0.0 {
            return false;
        }
        let mut members = broken.survey.group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if broken.survey.missing.contains(&&*member) {
                let pools = self.pool.places.iter_mut();
                let mut pools: Vec<_> = pools.filter(|p| p.provider == &said.provider).collect();
                pools.sort_by_key(|pool| (*pool.domain != said.domain, pool.len()));
                if let Some(host) = pools.iter_mut().find_map(|pool| pool.take_one(rank)) {
                    *member = host;
                }
            }
        }
        frame.replace(broken.index, members);
        self.fates[broken.at] = GroupFate::Ended;
        self.mended();
        self.note(frame, broken, PlanReason::CrossDomain, (price, Some(wait)));
        true
    }

    /// Frees the members of a group that waits for a host that will not come back.
    fn end_hopeless(&mut self, frame: &mut RoundFrame<'_>, broken: &BrokenGroup<'_>) {
        if broken.hopeless {
            frame.dissolve(broken.index);
            self.fates[broken.at] = GroupFate::Ended;
            self.note(frame, broken, PlanReason::Surplus, (0.0, None));
        }
    }

    /// Replaces members that are on their way out, one serving group at a time, where no whole
    /// new group can be formed first.
    pub(super) fn swap_leaving(&mut self, frame: &mut RoundFrame<'_>) {
        let size = self.size();
        if self.pool.places.iter().any(|place| place.len() >= size) {
            return;
        }
        for at in 0..self.groups.len() {
            if self.serving(frame) < self.wanted() {
                return;
            }
            let index = self.groups[at];
            let survey = &frame.survey.groups[index];
            let leaving = self.fates[at] == GroupFate::Move(PlanReason::MemberLeaving);
            if leaving && survey.serves() && self.swap(frame, index) {
                self.fates[at] = GroupFate::Ended;
                self.mended();
                let cost = self.rules.load_ms as f64 / 1000.0;
                let reason = PlanReason::MemberLeaving;
                frame.decide(&self.service.name, Some(survey.group.group), reason, (cost, None));
            }
        }
    }

    /// Swaps the leaving members once their spares are ready; until then the group serves on.
    fn swap(&mut self, frame: &mut RoundFrame<'_>, index: usize) -> bool {
        let survey = &frame.survey.groups[index];
        let Some(said) = survey.anchor else { return false };
        let room = self.has_room(frame, survey.leaving.len());
        let seconds = self.load_seconds(frame, survey.leaving.len());
        let Some(pool) = self.pool.place(&said.provider, &said.domain) else { return false };
        if pool.len() < survey.leaving.len() {
            return false;
        }
        let reserved = reserve(frame, pool, index, &survey.leaving, room.then_some(seconds));
        let Some((members, ready)) = reserved else { return false };
        if ready > frame.now {
            frame.round.wake_at(ready);
            return false;
        }
        frame.replace(index, members);
        true
    }

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

    /// Cost of one second in which the group is down and its present hosts are stranded.
    fn worth_of(&self, broken: &BrokenGroup<'_>) -> f64 {
        let accelerators = broken.survey.anchor.map_or(0, |said| said.accelerators);
        let present = broken.survey.group.members.len() - broken.survey.missing.len();
        self.worth(f64::from(accelerators) * present as f64)
    }

    fn note(
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

/// Takes a spare for each member in `out`, and lets it load ahead for `seconds` unless it is or
/// soon will be ready; without `seconds` only spares that need no new load will do.
fn reserve(
    frame: &mut RoundFrame<'_>,
    pool: &mut PlacePool<'_>,
    index: usize,
    out: &[&HostName],
    seconds: Option<f64>,
) -> Option<(Vec<HostName>, TimePoint)> {
    let mut members = frame.survey.groups[index].group.members.clone();
    let ranks: Vec<usize> =
        (0..members.len()).filter(|rank| out.contains(&&members[*rank])).collect();
    let seen =
        |rank: usize| pool.peek_one(rank).and_then(|h| frame.memory.ready_at(frame.now, h, rank));
    if seconds.is_none() && !ranks.iter().all(|rank| seen(*rank).is_some()) {
        return None;
    }
    let mut last = frame.now;
    for rank in ranks {
        let host = pool.take_one(rank)?;
        let ready = match frame.memory.ready_at(frame.now, &host, rank) {
            Some(ready) => ready,
            None if !frame.loads_ahead => frame.now,
            None => frame.prepare(index, rank, &host, seconds?),
        };
        last = last.max(ready);
        members[rank] = host;
    }
    Some((members, last))
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
