//! Spares: loaded ahead while missing hosts may return, and swapped in for leaving ones.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::HostName;

use super::group_planner::RoundFrame;
use super::pool::PlacePool;
use super::reason::PlanReason;
use super::repair::BrokenGroup;
use super::service::{GroupFate, ServicePlan};

/// A load that ends this soon is waited for.
const WORTH_SAVING: Duration = Duration::from_secs(5);

impl ServicePlan<'_> {
    /// Lets spares load ahead while the missing hosts may still come back.
    ///
    /// Whoever is ready first mends the group: a host that only restarted its agent finds its
    /// place kept, and a host that stays away costs no more than the load of its replacement.
    pub(super) fn mend_with_spares(
        &mut self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
    ) {
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

    /// Puts spares that are loaded in the place of members that came back and still load.
    ///
    /// A host that returns just before its spare is ready would otherwise keep the group down for
    /// a whole load more, beside a spare that could serve at once.
    pub(super) fn relieve_loading(&mut self, frame: &mut RoundFrame<'_>) {
        for at in 0..self.groups.len() {
            let index = self.groups[at];
            let survey = &frame.survey.groups[index];
            let waits = !survey.group.whole && survey.missing.is_empty();
            if !waits || self.fates[at] != GroupFate::Keep {
                continue;
            }
            if let Some((members, left)) = self.loaded_spares(frame, index) {
                frame.replace(index, members);
                self.fates[at] = GroupFate::Ended;
                self.mended();
                let reason = PlanReason::UseSpare;
                let costs = (0.0, Some(left * self.worth(0.0)));
                frame.decide(&self.service.name, Some(survey.group.group), reason, costs);
            }
        }
    }

    /// Members with loaded spares in place of those that load, and the seconds that this saves;
    /// none when a spare is not ready, or hardly earlier than the member.
    fn loaded_spares(
        &mut self,
        frame: &mut RoundFrame<'_>,
        index: usize,
    ) -> Option<(Vec<HostName>, f64)> {
        let survey = &frame.survey.groups[index];
        let said = survey.anchor?;
        let load = Duration::from_millis(self.rules.load_ms);
        let pool = self.pool.place(&said.provider, &said.domain)?;
        let mut members = survey.group.members.clone();
        let loading: Vec<usize> =
            (0..members.len()).filter(|rank| frame.memory.is_fresh(&members[*rank])).collect();
        let back = loading.iter().filter_map(|rank| frame.view.hosts.get(&members[*rank]));
        let since = back.map(|host| host.since).chain([survey.group.since]).max()?;
        let left = since.after(load).since(frame.now);
        // With one spare at most for each member the positions cannot clash.
        if loading.len() != 1 || left < WORTH_SAVING {
            return None;
        }
        let rank = loading[0];
        let ready = frame.memory.ready_at(frame.now, pool.peek_one(rank)?, rank)?;
        if ready > frame.now {
            frame.round.wake_at(ready);
            return None;
        }
        members[rank] = pool.take_one(rank)?;
        Some((members, left.as_secs_f64()))
    }

    pub(super) fn use_spares(&mut self, frame: &mut RoundFrame<'_>, broken: &BrokenGroup<'_>) {
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
