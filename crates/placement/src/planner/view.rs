//! Input and output of a planner: the view of the fleet, and actions on its groups.

use briartray_model::message::HostAnnouncement;
use briartray_model::names::{GroupId, HostName, ServiceName};
use briartray_model::{SortedTable, TimePoint};

/// A host that has announced itself.
#[derive(Debug, Clone, PartialEq)]
pub struct HostView {
    /// Its latest announcement.
    pub announcement: HostAnnouncement,
    /// Whether its agent is connected.
    pub present: bool,
    /// When `present` last changed.
    pub since: TimePoint,
    /// Group it belongs to.
    pub group: Option<GroupId>,
}

/// A group in the registry.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupView {
    /// Identifier of the group.
    pub group: GroupId,
    /// Service it serves.
    pub service: ServiceName,
    /// Its hosts, in order of rank.
    pub members: Vec<HostName>,
    /// Whether its first host reports that it holds the leases of all members.
    pub whole: bool,
    /// When `whole` last changed.
    pub since: TimePoint,
    /// Whether a member now listens at another address than the assignment of the group names.
    pub stale_links: bool,
}

/// Everything that a planner bases its decisions on, besides the rules.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetView {
    /// Hosts by name.
    pub hosts: SortedTable<HostName, HostView>,
    /// Groups by id.
    pub groups: SortedTable<GroupId, GroupView>,
}

/// An action that a planner requests.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Forms a group, whose first host admits requests.
    Form {
        /// Service it serves.
        service: ServiceName,
        /// Its hosts, in order of rank.
        members: Vec<HostName>,
    },
    /// Replaces a group by one with other members; members of both keep their rank.
    Replace {
        /// The group to replace.
        group: GroupId,
        /// Service it serves.
        service: ServiceName,
        /// Hosts of its successor, in order of rank.
        members: Vec<HostName>,
    },
    /// Loads the weights of a rank onto a free host before it joins a group.
    ///
    /// Membership does not change. It is a hint: a host that ignores it loads the weights once it
    /// has joined a group.
    Prepare {
        /// Host that loads the weights.
        host: HostName,
        /// Service it is meant for.
        service: ServiceName,
        /// Rank in a group, from zero.
        rank: u32,
        /// Number of hosts in such a group.
        size: u32,
    },
    /// Dissolves a group and frees its hosts.
    Dissolve {
        /// The group to dissolve.
        group: GroupId,
    },
}
