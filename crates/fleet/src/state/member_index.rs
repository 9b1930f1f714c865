//! Who is in which group, for many lookups in one state.
//!
//! A look through all groups for each host grows with the square of the fleet. The index is sorted
//! once for a decision, and each lookup is a binary search.

use briartray_model::names::IncarnationId;

use super::{FleetState, GroupRecord};

/// Members of all groups, sorted by endpoint.
#[derive(Debug, Clone)]
pub struct MemberIndex<'s> {
    members: Vec<(&'s IncarnationId, &'s GroupRecord)>,
}

impl<'s> MemberIndex<'s> {
    /// The members of the groups of `state`.
    pub fn new(state: &'s FleetState) -> Self {
        let of_group =
            |record: &'s GroupRecord| record.members.iter().map(move |member| (&member.id, record));
        let mut members: Vec<_> = state.groups().values().flat_map(of_group).collect();
        // Stable: of two groups the one that was formed first stays the first.
        members.sort_by_key(|(id, _)| *id);
        Self { members }
    }

    /// The group that has the endpoint.
    pub fn group_of(&self, id: &IncarnationId) -> Option<&'s GroupRecord> {
        let first = self.members.partition_point(|(member, _)| *member < id);
        self.members.get(first).filter(|(member, _)| *member == id).map(|(_, record)| *record)
    }
}
