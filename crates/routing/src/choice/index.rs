//! Candidates of each service, grouped by the properties that routing rules can prefer.

use std::sync::Arc;

use briartray_model::SortedTable;
use briartray_model::message::{GroupRecord, RoutingSnapshot};
use briartray_model::names::{ProviderName, ServiceName, ZoneName};
use briartray_model::rules::RouteAction;

use super::affinity::PrefixRing;

/// Replicas of one service with the same provider that are all inside, or all outside, the entry's
/// zone.
#[derive(Debug)]
pub(super) struct CandidateBucket {
    pub(super) provider: ProviderName,
    pub(super) local: bool,
    pub(super) slots: Vec<u32>,
    pub(super) ring: PrefixRing,
}

/// Candidate replicas of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    pub(super) buckets: Vec<CandidateBucket>,
}

impl ServiceIndex {
    /// Rank of `bucket` under `route`; lower ranks are tried first.
    pub(super) fn rank(&self, bucket: &CandidateBucket, route: &RouteAction) -> usize {
        let wanted = &route.providers;
        let provider =
            wanted.iter().position(|name| name == bucket.provider.as_str()).unwrap_or(wanted.len());
        let zone = usize::from(route.same_zone_first && !bucket.local);
        2 * provider + zone
    }

    /// Distinct ranks under `route`, in ascending order.
    pub(super) fn ranks(&self, route: &RouteAction) -> Vec<usize> {
        let mut ranks: Vec<usize> =
            self.buckets.iter().map(|bucket| self.rank(bucket, route)).collect();
        ranks.sort_unstable();
        ranks.dedup();
        ranks
    }
}

/// All replicas of a snapshot, and the candidates of each service by slot.
#[derive(Debug, Default)]
pub(super) struct CandidateIndex {
    pub(super) records: Vec<Arc<GroupRecord>>,
    pub(super) services: SortedTable<ServiceName, ServiceIndex>,
}

impl CandidateIndex {
    /// Indexes `snapshot` for an entry in `zone`.
    pub(super) fn build(snapshot: &RoutingSnapshot, zone: &ZoneName) -> Self {
        let mut records: Vec<Arc<GroupRecord>> =
            snapshot.groups.iter().cloned().map(Arc::new).collect();
        records.sort_by_key(|record| record.group);
        let mut leaving: Vec<_> = snapshot.leaving.iter().map(|mark| mark.group).collect();
        leaving.sort_unstable();
        let mut services: SortedTable<ServiceName, ServiceIndex> = SortedTable::new();
        for (slot, record) in records.iter().enumerate() {
            if !record.whole || leaving.binary_search(&record.group).is_ok() {
                continue;
            }
            let slot = u32::try_from(slot).unwrap_or(u32::MAX);
            let index = services.get_or_insert_with(record.service.clone(), ServiceIndex::default);
            let local = record.zone == *zone;
            push_slot(index, &record.provider, local, slot);
        }
        for index in services.values_mut() {
            for bucket in &mut index.buckets {
                let members =
                    bucket.slots.iter().map(|slot| (records[*slot as usize].group, *slot));
                bucket.ring = PrefixRing::build(members);
            }
        }
        Self { records, services }
    }
}

fn push_slot(index: &mut ServiceIndex, provider: &ProviderName, local: bool, slot: u32) {
    let known = index
        .buckets
        .iter_mut()
        .find(|bucket| bucket.provider == *provider && bucket.local == local);
    match known {
        Some(bucket) => bucket.slots.push(slot),
        None => index.buckets.push(CandidateBucket {
            provider: provider.clone(),
            local,
            slots: vec![slot],
            ring: PrefixRing::default(),
        }),
    }
}
