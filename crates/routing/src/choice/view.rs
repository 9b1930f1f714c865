//! One choice: which replicas are looked at, and which of them is taken.

use std::ops::RangeInclusive;
use std::time::Duration;

use briartray_model::TimePoint;
use rand::RngExt;

use super::index::{CandidateBucket, ServiceIndex};
use super::table::{ChoiceOutcome, ChoiceRequest, ReplicaTable, ServiceTotals};

/// Random candidates that are compared.
const CHOICES: usize = 2;

/// Draws before every candidate is looked at in turn.
const MAX_DRAWS: usize = 12;

/// Replicas looked at along the ring before load alone decides.
const MAX_RING_STEPS: usize = 4;

/// Ring points looked at for that; each replica has many.
const MAX_RING_POINTS: usize = 64;

/// Replicas of the own zone from which on prefixes are kept inside it.
const MIN_RING_REPLICAS: usize = 48;

/// Load over the mean from which a replica of a lower rank may be taken instead.
const SPILL_OVER: f32 = 1.1;

/// Share of its capacity below which a preferred replica is never passed over.
const EASY_SHARE: f32 = 0.25;

/// One choice among the replicas of one service.
pub(super) struct ChoiceView<'a> {
    pub(super) table: &'a ReplicaTable,
    pub(super) service: &'a ServiceIndex,
    pub(super) total: &'a ServiceTotals,
    pub(super) now: TimePoint,
    pub(super) request: &'a ChoiceRequest<'a>,
}

impl ChoiceView<'_> {
    pub(super) fn pick<R: RngExt>(&self, eased: bool, random: &mut R) -> Option<usize> {
        let mut best: Option<usize> = None;
        for rank in self.service.ranks(self.request.route) {
            if let Some(slot) = self.preferred(self.ring_ranks(rank), eased) {
                return Some(slot);
            }
            let Some(slot) = self.sampled(rank, eased, random) else { continue };
            if self.is_near_mean(slot) {
                return Some(slot);
            }
            if best.is_none_or(|other| self.score(slot) < self.score(other)) {
                best = Some(slot);
            }
        }
        best
    }

    /// Ranks over whose replicas prefixes are spread: those of the own zone alone when it has many,
    /// else those of the other zones as well. A few replicas hold few prefixes, and reading a
    /// prompt anew takes longer than the way to another zone.
    fn ring_ranks(&self, rank: usize) -> RangeInclusive<usize> {
        let own_zone = self.request.route.same_zone_first && rank.is_multiple_of(2);
        let count: usize = self.buckets(rank..=rank).map(|bucket| bucket.slots.len()).sum();
        if own_zone && count < MIN_RING_REPLICAS { rank..=rank + 1 } else { rank..=rank }
    }

    /// The replica that the prompt's prefix prefers, or the next on the ring that has room.
    fn preferred(&self, ranks: RangeInclusive<usize>, eased: bool) -> Option<usize> {
        if !self.request.route.prefix_affinity {
            return None;
        }
        let digest = self.request.prefix?;
        let buckets = self.buckets(ranks);
        let mut passed: Vec<(u64, u32)> = Vec::with_capacity(MAX_RING_STEPS);
        for bucket in buckets {
            let mut seen = 0;
            for (distance, slot) in bucket.ring.walk(digest).take(MAX_RING_POINTS) {
                if passed.iter().any(|(_, known)| *known == slot) {
                    continue;
                }
                passed.push((distance, slot));
                seen += 1;
                if seen == MAX_RING_STEPS {
                    break;
                }
            }
        }
        passed.sort_unstable();
        passed
            .iter()
            .take(MAX_RING_STEPS)
            .map(|(_, slot)| *slot as usize)
            .find(|slot| self.is_usable(*slot, eased) && self.is_under_bound(*slot))
    }

    /// The less loaded of two random replicas of `rank`.
    fn sampled<R: RngExt>(&self, rank: usize, eased: bool, random: &mut R) -> Option<usize> {
        let count: usize = self.buckets(rank..=rank).map(|bucket| bucket.slots.len()).sum();
        if count == 0 {
            return None;
        }
        let mut best: Option<usize> = None;
        let mut found = 0;
        for _ in 0..MAX_DRAWS {
            let slot = self.nth(rank, random.random_range(0..count));
            if !self.is_usable(slot, eased) || best == Some(slot) {
                continue;
            }
            if !eased && self.table.states[slot].is_eased() {
                // Its trial is due. By its score it would never win, and so never come back.
                return Some(slot);
            }
            if best.is_none_or(|other| self.score(slot) < self.score(other)) {
                best = Some(slot);
            }
            found += 1;
            if found == CHOICES {
                break;
            }
        }
        // Most replicas are unusable: start anywhere and take the first that is not.
        best.or_else(|| {
            let start = random.random_range(0..count);
            (0..count)
                .map(|step| self.nth(rank, (start + step) % count))
                .find(|slot| self.is_usable(*slot, eased))
        })
    }

    fn buckets(&self, ranks: RangeInclusive<usize>) -> impl Iterator<Item = &CandidateBucket> {
        let route = self.request.route;
        let buckets = self.service.buckets.iter();
        buckets.filter(move |bucket| ranks.contains(&self.service.rank(bucket, route)))
    }

    fn nth(&self, rank: usize, mut position: usize) -> usize {
        for bucket in self.buckets(rank..=rank) {
            if position < bucket.slots.len() {
                return bucket.slots[position] as usize;
            }
            position -= bucket.slots.len();
        }
        unreachable!("the position is below the number of candidates")
    }

    /// Whether the replica may be asked; stragglers that are not due count only with `eased`.
    pub(super) fn is_usable(&self, slot: usize, eased: bool) -> bool {
        let (state, record) = (&self.table.states[slot], &self.table.index.records[slot]);
        self.now >= state.pushed_until()
            && !state.is_full(self.now, record.capacity)
            && (eased || !state.is_held_back(self.now))
            && !self.request.excluded.contains(&record.group)
    }

    /// Share of its capacity in use once this request is on it.
    fn share(&self, slot: usize) -> f32 {
        let load = self.table.states[slot].load(self.now, self.total.mean_others());
        (load + 1.0) / self.table.index.records[slot].capacity.max(1) as f32
    }

    /// Whether the replica carries little, or no more than the bound over the mean.
    pub(super) fn is_under_bound(&self, slot: usize) -> bool {
        let share = self.share(slot);
        let bound = self.request.route.load_bound_percent as f32 / 100.0;
        share <= EASY_SHARE || share <= bound * self.total.mean_share()
    }

    /// Whether the replica carries little, or hardly more than the mean; otherwise a replica of a
    /// lower rank is looked at as well.
    fn is_near_mean(&self, slot: usize) -> bool {
        let share = self.share(slot);
        share <= EASY_SHARE || share <= SPILL_OVER * self.total.mean_share()
    }

    /// Load weighted by how slow the replica is against the median; lower is better.
    fn score(&self, slot: usize) -> f32 {
        let slowness = self.table.states[slot].slowness(self.now, self.total.median_step);
        self.share(slot) * slowness
    }

    pub(super) fn none_left(&self) -> ChoiceOutcome {
        let mut earliest: Option<Duration> = None;
        for slot in self.service.buckets.iter().flat_map(|bucket| &bucket.slots) {
            let slot = *slot as usize;
            if self.request.excluded.contains(&self.table.index.records[slot].group) {
                continue;
            }
            let state = &self.table.states[slot];
            if !state.is_down(self.now) {
                return ChoiceOutcome::Full;
            }
            let left = state.pushed_until().since(self.now);
            earliest = Some(earliest.map_or(left, |other| other.min(left)));
        }
        earliest.map_or(ChoiceOutcome::Absent, ChoiceOutcome::Down)
    }
}
