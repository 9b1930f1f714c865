//! Index from endpoints to their groups.
//!
//! Searching all groups for each host would cost the square of the fleet's size. The index is
//! sorted once per decision, and each lookup is a binary search.

use briartray_model::names::IncarnationId;

use super::{FleetState, GroupRecord};

/// Members of all groups, sorted by endpoint.
#[derive(Debug, Clone)]
pub struct MemberIndex<'s> {
    members: Vec<(&'s IncarnationId, &'s GroupRecord)>,
}

impl<'s> MemberIndex<'s> {
    /// Builds the index over the groups of `state`.
    pub fn new(state: &'s FleetState) -> Self {
        let of_group =
            |record: &'s GroupRecord| record.members.iter().map(move |member| (&member.id, record));
        let mut members: Vec<_> = state.groups().values().flat_map(of_group).collect();
        // The sort is stable: if an endpoint is in two groups, the one that was formed first is
        // found.
        members.sort_by_key(|(id, _)| *id);
        Self { members }
    }

    /// Returns the group that the endpoint is a member of.
    pub fn group_of(&self, id: &IncarnationId) -> Option<&'s GroupRecord> {
        let first = self.members.partition_point(|(member, _)| *member < id);
        self.members.get(first).filter(|(member, _)| *member == id).map(|(_, record)| *record)
    }
}
