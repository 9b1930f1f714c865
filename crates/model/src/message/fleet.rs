//! Agent to control: hosts and their group assignments. First host to member: group leases.

use std::net::SocketAddr;

use crate::names::{
    DomainName, FencingNumber, GroupId, HostName, LeaseNonce, ProviderName, ServiceName, ZoneName,
};

plain_value! {
    /// Description that a host's agent sends to control.
    pub struct HostAnnouncement {
        /// The host.
        pub host: HostName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Its fabric domain.
        pub domain: DomainName,
        /// Its provider.
        pub provider: ProviderName,
        /// Service it is intended for.
        pub service: ServiceName,
        /// Number of accelerators.
        pub accelerators: u32,
        /// Address at which its agent listens.
        pub link: SocketAddr,
        /// Whether its endpoint refuses orders with an old fencing number.
        pub checks_fencing: bool,
        /// Random number that identifies this start of the agent process.
        pub incarnation: u64,
        /// Whether the host is leaving the fleet.
        pub leaving: bool,
    }

    /// A report from an agent to control; the first one on a stream is `Announce`.
    pub enum AgentReport {
        /// The host is available, with its description.
        Announce(HostAnnouncement),
        /// A group became whole or stopped being whole; sent by its first host.
        GroupState {
            /// The group.
            group: GroupId,
            /// Fencing number of the group.
            fencing: FencingNumber,
            /// Whether the first host holds a lease of every member.
            whole: bool,
            /// Members whose lease is not held.
            missing: Vec<HostName>,
        },
        /// A group that received `Leave` has finished its work; sent by its first host.
        Drained {
            /// The host.
            host: HostName,
            /// Fencing number of the group.
            fencing: FencingNumber,
        },
    }

    /// A directive from control to an agent.
    pub enum ControlDirective {
        /// The host belongs to a group.
        Assign(GroupAssignment),
        /// The host belongs to no group.
        Free {
            /// Highest fencing number that control has issued for this host.
            fencing: FencingNumber,
        },
        /// The group whose first host this is takes no new work, finishes the work in progress
        /// and then reports `Drained`.
        Leave {
            /// Fencing number of the group; other groups of the host are not affected.
            fencing: FencingNumber,
        },
        /// The group whose first host this is takes work again; revokes `Leave`.
        Stay {
            /// Fencing number of the group.
            fencing: FencingNumber,
        },
        /// The host has no more work and may be shut down.
        MayStop,
    }

    /// Membership of one group.
    pub struct GroupAssignment {
        /// The group.
        pub group: GroupId,
        /// Fencing number; higher than every earlier one of its hosts.
        pub fencing: FencingNumber,
        /// Service that it serves.
        pub service: ServiceName,
        /// Members in order; the first one admits requests.
        pub members: Vec<GroupMember>,
        /// Number of attempts that may be in flight.
        pub capacity: u32,
    }

    /// One member of a group.
    pub struct GroupMember {
        /// Its host.
        pub host: HostName,
        /// Address at which its agent listens.
        pub link: SocketAddr,
    }

    /// A request from a group's first host to a member.
    pub enum MemberRequest {
        /// Grant a lease: stay in the group for a limited time.
        Lease {
            /// The group.
            group: GroupId,
            /// Its fencing number.
            fencing: FencingNumber,
            /// Matches the grant to this request.
            nonce: LeaseNonce,
        },
    }

    /// A reply from a member.
    pub enum MemberReply {
        /// The member stays in the group for `duration_ms` from the time the request was sent.
        Granted {
            /// The request's nonce.
            nonce: LeaseNonce,
            /// Duration of the lease, in milliseconds.
            duration_ms: u32,
            /// Whether the member's endpoint is up.
            endpoint_ready: bool,
        },
        /// The member is not in the group, or must wait before it may grant a lease.
        Refused {
            /// The request's nonce.
            nonce: LeaseNonce,
            /// Highest fencing number that the member knows.
            fencing: FencingNumber,
        },
    }
}
