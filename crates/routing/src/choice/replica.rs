//! Replicas with the load that this entry has put on them.

use briartray_model::SortedTable;
use briartray_model::message::{GroupRecord, LoadReport, RoutingSnapshot};
use briartray_model::names::GroupId;
use rand::RngExt;

#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct ReplicaLoad {
    own: u32,
    reported: LoadReport,
}

/// Load by group, as one entry knows it.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    loads: SortedTable<GroupId, ReplicaLoad>,
}

impl ReplicaTable {
    /// A table without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Picks the less loaded of two random replicas of `service` and counts the request on it.
    ///
    /// Sending everyone to the replica with the lowest report would pile requests on it until the
    /// next report; two random choices spread them.
    pub fn choose<'a, R: RngExt>(
        &mut self,
        snapshot: &'a RoutingSnapshot,
        service: &str,
        excluded: &[GroupId],
        random: &mut R,
    ) -> Option<&'a GroupRecord> {
        let candidates: Vec<&GroupRecord> = snapshot
            .groups
            .iter()
            .filter(|record| record.whole && record.service.as_str() == service)
            .filter(|record| !excluded.contains(&record.group))
            .filter(|record| !snapshot.leaving.iter().any(|mark| mark.group == record.group))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[random.random_range(0..candidates.len())];
        let second = candidates[random.random_range(0..candidates.len())];
        let chosen = if self.load(second.group) < self.load(first.group) { second } else { first };
        self.loads.get_or_insert_with(chosen.group, ReplicaLoad::default).own += 1;
        Some(chosen)
    }

    /// Counts a request off its replica, with the load the agent told.
    pub fn release(&mut self, group: GroupId, report: Option<LoadReport>) {
        if let Some(load) = self.loads.get_mut(&group) {
            load.own = load.own.saturating_sub(1);
            if let Some(report) = report {
                load.reported = report;
            }
        }
    }

    /// Forgets groups that no longer exist and carry no request.
    pub fn retain(&mut self, snapshot: &RoutingSnapshot) {
        self.loads.retain(|group, load| {
            load.own > 0
                || snapshot.groups.binary_search_by(|record| record.group.cmp(group)).is_ok()
        });
    }

    fn load(&self, group: GroupId) -> u32 {
        self.loads.get(&group).map_or(0, |load| load.own)
    }
}
