//! What entries see of the groups: the only witness of a group that control hosts cannot reach.
//!
//! An endpoint that is cut off from the control hosts may serve callers all the same. Its group
//! must not be taken apart then: a host would be in two groups at once. Bytes that reach any
//! entry prove that the whole group works, since it stands still when one member is missing.

use std::time::Duration;

use briartray_model::names::GroupId;
use briartray_model::{SortedTable, TimePoint};

use crate::message::GroupPulse;

/// How long an entry's finding that a group is silent counts.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// Latest signs of life of each group.
#[derive(Debug, Clone, Default)]
pub struct PulseBook {
    seen: SortedTable<GroupId, GroupSight>,
}

#[derive(Debug, Clone, Default)]
struct GroupSight {
    moved: Option<TimePoint>,
    suspected: Option<TimePoint>,
}

impl PulseBook {
    /// Takes what one entry saw; `true` when it finds the group silent.
    pub fn take(&mut self, now: TimePoint, pulse: &GroupPulse) -> bool {
        let sight = self.seen.get_or_insert_with(pulse.group, GroupSight::default);
        if let Some(quiet) = pulse.quiet_ms {
            let moved = TimePoint(now.0.saturating_sub(quiet * 1000));
            sight.moved = sight.moved.max(Some(moved));
        }
        if pulse.suspect {
            sight.suspected = Some(now);
        }
        pulse.suspect
    }

    /// Whether bytes of the group reached an entry within `limit`.
    pub fn is_moving(&self, now: TimePoint, group: GroupId, limit: Duration) -> bool {
        let moved = self.seen.get(&group).and_then(|sight| sight.moved);
        moved.is_some_and(|at| now.since(at) < limit)
    }

    /// Whether an entry found the group silent lately, and nothing came from it since.
    pub fn is_suspect(&self, now: TimePoint, group: GroupId) -> bool {
        self.seen.get(&group).is_some_and(|sight| {
            sight.suspected > sight.moved
                && sight.suspected.is_some_and(|at| now.since(at) < SUSPICION)
        })
    }

    /// Forgets every group that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(GroupId) -> bool) {
        self.seen.retain(|group, _| keep(*group));
    }
}
