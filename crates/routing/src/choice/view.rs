//! A single choice: which replicas are examined, and which one is taken.

use std::ops::RangeInclusive;
use std::time::Duration;

use briartray_model::TimePoint;
use rand::RngExt;

use super::index::{CandidateBucket, ServiceIndex};
use super::table::{ChoiceOutcome, ChoiceRequest, ReplicaTable, ServiceTotals};

/// Number of random candidates to compare (the power of two choices).
const SAMPLE_SIZE: usize = 2;

/// Random draws before all candidates are scanned in order.
const MAX_DRAWS: usize = 12;

/// Number of replicas examined along the ring before the choice is made by load alone.
const MAX_RING_STEPS: usize = 4;

/// Number of ring points examined to find these replicas; each replica has many points.
const MAX_RING_POINTS: usize = 64;

/// Number of local replicas from which prefixes are kept inside the zone.
const MIN_RING_REPLICAS: usize = 48;

/// Ratio of the load to the mean above which a replica of a lower rank may be taken instead.
const SPILLOVER_RATIO: f32 = 1.1;

/// Utilization below which a preferred replica is always taken.
const LIGHT_UTILIZATION: f32 = 0.25;

/// A single choice among the replicas of one service.
pub(super) struct ChoiceView<'a> {
    pub(super) table: &'a ReplicaTable,
    pub(super) service: &'a ServiceIndex,
    pub(super) total: &'a ServiceTotals,
    pub(super) now: TimePoint,
    pub(super) request: &'a ChoiceRequest<'a>,
}

impl ChoiceView<'_> {
    pub(super) fn pick<R: RngExt>(&self, with_ejected: bool, random: &mut R) -> Option<usize> {
        let mut best: Option<usize> = None;
        for rank in self.service.ranks(self.request.route) {
            if let Some(slot) = self.pick_preferred(self.ring_ranks(rank), with_ejected) {
                return Some(slot);
            }
            let Some(slot) = self.pick_sampled(rank, with_ejected, random) else { continue };
            if self.is_near_mean(slot) {
                return Some(slot);
            }
            if best.is_none_or(|other| self.score(slot) < self.score(other)) {
                best = Some(slot);
            }
        }
        best
    }

    /// Ranks over which prefixes are spread: only the entry's own zone if it has enough replicas,
    /// otherwise other zones as well. Few replicas can cache only few prefixes, and processing a
    /// prompt again takes longer than the round trip to another zone.
    fn ring_ranks(&self, rank: usize) -> RangeInclusive<usize> {
        let own_zone = self.request.route.same_zone_first && rank.is_multiple_of(2);
        let count: usize = self.buckets(rank..=rank).map(|bucket| bucket.slots.len()).sum();
        if own_zone && count < MIN_RING_REPLICAS { rank..=rank + 1 } else { rank..=rank }
    }

    /// Returns the replica preferred by the prompt's prefix, or the next one on the ring that has
    /// room.
    fn pick_preferred(&self, ranks: RangeInclusive<usize>, with_ejected: bool) -> Option<usize> {
        if !self.request.route.prefix_affinity {
            return None;
        }
        let digest = self.request.prefix?;
        let buckets = self.buckets(ranks);
        let mut candidates: Vec<(u64, u32)> = Vec::with_capacity(MAX_RING_STEPS);
        for bucket in buckets {
            let mut added = 0;
            for (distance, slot) in bucket.ring.walk(digest).take(MAX_RING_POINTS) {
                if candidates.iter().any(|(_, known)| *known == slot) {
                    continue;
                }
                candidates.push((distance, slot));
                added += 1;
                if added == MAX_RING_STEPS {
                    break;
                }
            }
        }
        candidates.sort_unstable();
        candidates
            .iter()
            .take(MAX_RING_STEPS)
            .map(|(_, slot)| *slot as usize)
            .find(|slot| self.is_usable(*slot, with_ejected) && self.is_under_bound(*slot))
    }

    /// Returns the less loaded of two random replicas of `rank`.
    fn pick_sampled<R: RngExt>(
        &self,
        rank: usize,
        with_ejected: bool,
        random: &mut R,
    ) -> Option<usize> {
        let count: usize = self.buckets(rank..=rank).map(|bucket| bucket.slots.len()).sum();
        if count == 0 {
            return None;
        }
        let mut best: Option<usize> = None;
        let mut found = 0;
        for _ in 0..MAX_DRAWS {
            let slot = self.nth_slot(rank, random.random_range(0..count));
            if !self.is_usable(slot, with_ejected) || best == Some(slot) {
                continue;
            }
            if !with_ejected && self.table.states[slot].is_ejected() {
                // The replica is due for a probe. Its score is too poor to win the comparison, so
                // it would never be readmitted.
                return Some(slot);
            }
            if best.is_none_or(|other| self.score(slot) < self.score(other)) {
                best = Some(slot);
            }
            found += 1;
            if found == SAMPLE_SIZE {
                break;
            }
        }
        // Most replicas are unusable: scan from a random position and take the first usable one.
        best.or_else(|| {
            let start = random.random_range(0..count);
            (0..count)
                .map(|offset| self.nth_slot(rank, (start + offset) % count))
                .find(|slot| self.is_usable(*slot, with_ejected))
        })
    }

    fn buckets(&self, ranks: RangeInclusive<usize>) -> impl Iterator<Item = &CandidateBucket> {
        let route = self.request.route;
        let buckets = self.service.buckets.iter();
        buckets.filter(move |bucket| ranks.contains(&self.service.rank(bucket, route)))
    }

    fn nth_slot(&self, rank: usize, mut position: usize) -> usize {
        for bucket in self.buckets(rank..=rank) {
            if position < bucket.slots.len() {
                return bucket.slots[position] as usize;
            }
            position -= bucket.slots.len();
        }
        unreachable!("position is less than the number of candidates")
    }

    /// Whether the replica may get a request. Ejected replicas that are not due for a probe are
    /// usable only if `with_ejected` is set.
    pub(super) fn is_usable(&self, slot: usize, with_ejected: bool) -> bool {
        let (state, record) = (&self.table.states[slot], &self.table.index.records[slot]);
        self.now >= state.backoff_until()
            && !state.is_full(self.now, record.capacity)
            && (with_ejected || !state.awaits_probe(self.now))
            && !self.request.excluded.contains(&record.group)
    }

    /// Utilization of the replica including this request.
    fn utilization(&self, slot: usize) -> f32 {
        let load = self.table.states[slot].load(self.now, self.total.mean_other());
        (load + 1.0) / self.table.index.records[slot].capacity.max(1) as f32
    }

    /// Whether the replica is lightly used or its utilization is within the route's bound over the
    /// mean.
    pub(super) fn is_under_bound(&self, slot: usize) -> bool {
        let utilization = self.utilization(slot);
        let bound = self.request.route.load_bound_percent as f32 / 100.0;
        utilization <= LIGHT_UTILIZATION || utilization <= bound * self.total.mean_utilization()
    }

    /// Whether the replica is lightly used or close to the mean. If not, replicas of a lower rank
    /// are considered too.
    fn is_near_mean(&self, slot: usize) -> bool {
        let utilization = self.utilization(slot);
        utilization <= LIGHT_UTILIZATION
            || utilization <= SPILLOVER_RATIO * self.total.mean_utilization()
    }

    /// Utilization multiplied by the slowdown relative to the median; lower is better.
    fn score(&self, slot: usize) -> f32 {
        let slowdown = self.table.states[slot].slowdown(self.now, self.total.median_step_micros);
        self.utilization(slot) * slowdown
    }

    pub(super) fn unavailable_outcome(&self) -> ChoiceOutcome {
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
            let remaining = state.backoff_until().since(self.now);
            earliest = Some(earliest.map_or(remaining, |other| other.min(remaining)));
        }
        earliest.map_or(ChoiceOutcome::Absent, ChoiceOutcome::Down)
    }
}
