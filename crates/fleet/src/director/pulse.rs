//! What entries see of the groups: the only witness of a group that control hosts cannot reach.
//!
//! An endpoint that is cut off from the control hosts may serve callers all the same. Its group
//! must not be taken apart then: a host would be in two groups at once. Bytes that reach any
//! entry prove that the whole group works, since it stands still when one member is missing.
//!
//! Each entry's newest word counts, for a little longer than the time between two of its reports.
//! Ages of bytes alone would not do: a byte that is 100 ms old when it is told looks as old as a
//! stall by the time of the next report.

use std::time::Duration;

use briartray_model::names::{GroupId, NodeName};
use briartray_model::{SortedTable, TimePoint};

use crate::message::GroupPulse;

/// How long an entry's word counts. Entries report every 250 ms, and at once when they find a
/// group silent.
const WORD_LASTS: Duration = Duration::from_millis(350);

/// How long an entry's finding that a group is silent counts.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// The newest word of each entry on each group.
#[derive(Debug, Clone, Default)]
pub struct PulseBook {
    /// By group first: each question is about one group, and a fleet has many.
    seen: SortedTable<GroupId, SortedTable<NodeName, GroupSight>>,
}

/// What one entry said of one group.
#[derive(Debug, Clone)]
struct GroupSight {
    told: TimePoint,
    quiet: Option<Duration>,
    suspect: bool,
}

impl PulseBook {
    /// Takes what `entry` saw; `true` when it finds the group silent.
    pub fn take(&mut self, now: TimePoint, entry: &NodeName, pulse: &GroupPulse) -> bool {
        let sight = GroupSight {
            told: now,
            quiet: pulse.quiet_ms.map(Duration::from_millis),
            suspect: pulse.suspect,
        };
        let sights = self.seen.get_or_insert_with(pulse.group, SortedTable::new);
        sights.insert(entry.clone(), sight);
        pulse.suspect
    }

    /// Whether some entry had bytes of the group within `limit` of its newest word.
    pub fn is_moving(&self, now: TimePoint, group: GroupId, limit: Duration) -> bool {
        self.sights(group).any(|sight| {
            let fresh = now.since(sight.told) < WORD_LASTS;
            fresh && !sight.suspect && sight.quiet.is_some_and(|quiet| quiet < limit)
        })
    }

    /// Whether an entry finds the group silent, and none has bytes of it.
    pub fn is_suspect(&self, now: TimePoint, group: GroupId, limit: Duration) -> bool {
        let silent = |sight: &GroupSight| sight.suspect && now.since(sight.told) < SUSPICION;
        !self.is_moving(now, group, limit) && self.sights(group).any(silent)
    }

    /// Forgets every group that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(GroupId) -> bool) {
        self.seen.retain(|group, _| keep(*group));
    }

    fn sights(&self, group: GroupId) -> impl Iterator<Item = &GroupSight> {
        self.seen.get(&group).into_iter().flat_map(SortedTable::values)
    }
}
