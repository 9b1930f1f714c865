//! What entries see of the groups: the only witness of a group that control hosts cannot reach.
//!
//! An endpoint that is cut off from the control hosts may serve callers all the same. Its group
//! must not be taken apart then: a host would be in two groups at once. Bytes that reach any
//! entry prove that the whole group works, since it stands still when one member is missing.

use std::time::Duration;

use briartray_model::names::GroupId;
use briartray_model::{SortedTable, TimePoint};

use crate::message::GroupPulse;

/// Age up to which bytes of a group prove that all of its hosts work. Entries report every
/// 250 ms, and the longest pause of a loaded group is 300 ms.
pub const FRESH: Duration = Duration::from_millis(700);

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

    /// Whether bytes of the group reached an entry lately.
    pub fn is_moving(&self, now: TimePoint, group: GroupId) -> bool {
        let moved = self.seen.get(&group).and_then(|sight| sight.moved);
        moved.is_some_and(|at| now.since(at) < FRESH)
    }

    /// Forgets every group that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(GroupId) -> bool) {
        self.seen.retain(|group, _| keep(*group));
    }
}
