//! Consistent hash ring over the replicas of one bucket.
//!
//! The ring depends only on the group ids. All entries therefore agree on the preferred replica of
//! a prefix without exchanging messages.

use briartray_model::names::GroupId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::prefix::PrefixDigest;

/// Ring points per replica. More points spread prefixes more evenly but use more memory.
const POINTS_PER_REPLICA: u64 = 32;

/// Ring points in ascending order, each with the slot of its replica.
#[derive(Debug, Default)]
pub(super) struct PrefixRing {
    points: Vec<(u64, u32)>,
}

impl PrefixRing {
    /// Builds the ring from pairs of group and slot.
    pub(super) fn build(members: impl Iterator<Item = (GroupId, u32)>) -> Self {
        let mut points: Vec<(u64, u32)> = members
            .flat_map(|(group, slot)| {
                (0..POINTS_PER_REPLICA)
                    .map(move |point| (xxh3_64_with_seed(&group.0.to_le_bytes(), point), slot))
            })
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// Iterates over the slots in ring order from `digest` on, each with its distance on the ring.
    /// A slot occurs once for each of its points.
    pub(super) fn walk(&self, digest: PrefixDigest) -> impl Iterator<Item = (u64, u32)> + '_ {
        let start = self.points.partition_point(|(point, _)| *point < digest.0);
        let (head, tail) = self.points.split_at(start);
        tail.iter().chain(head).map(move |(point, slot)| (point.wrapping_sub(digest.0), *slot))
    }
}
