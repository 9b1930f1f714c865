//! What a planner sees and what it may ask for.

use briartray_model::message::HostAnnouncement;
use briartray_model::names::{GroupId, HostName, ServiceName};
use briartray_model::{SortedTable, TimePoint};

/// One host that has announced itself.
#[derive(Debug, Clone, PartialEq)]
pub struct HostView {
    /// What it said.
    pub announcement: HostAnnouncement,
    /// Whether its agent is connected now.
    pub present: bool,
    /// When `present` last changed.
    pub since: TimePoint,
    /// Group it belongs to.
    pub group: Option<GroupId>,
}

/// One group in the registry.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// Service it serves.
    pub service: ServiceName,
    /// Its hosts in order.
    pub members: Vec<HostName>,
    /// Whether it is whole, as its first host reports.
    pub whole: bool,
    /// When `whole` last changed.
    pub since: TimePoint,
    /// Whether a member listens at another address than the group was formed with.
    pub stale_links: bool,
}

/// Everything a planner decides on.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetView {
    /// Hosts by name.
    pub hosts: SortedTable<HostName, HostView>,
    /// Groups by id.
    pub groups: SortedTable<GroupId, GroupView>,
}

/// What a planner asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Form a group of these hosts, the first of which admits requests.
    Form {
        /// Service it serves.
        service: ServiceName,
        /// Its hosts in order.
        members: Vec<HostName>,
    },
    /// Put a group with other members in the place of one; members that stay keep their position.
    Replace {
        /// The group that ends.
        group: GroupId,
        /// Service it serves.
        service: ServiceName,
        /// Hosts of its successor in order.
        members: Vec<HostName>,
    },
    /// Load the weights of a position onto a free host, which stays free.
    ///
    /// This changes no membership and binds nobody; a host that does not get to it loads later.
    Prepare {
        /// The host.
        host: HostName,
        /// Service it is meant for.
        service: ServiceName,
        /// Position in a group, from zero.
        rank: u32,
        /// Hosts of such a group.
        size: u32,
    },
    /// Dissolve a group and free its hosts.
    Dissolve {
        /// The group.
        group: GroupId,
    },
}
