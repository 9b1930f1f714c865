//! Agent to control, and first host to member: who is there and who belongs together.

use std::net::SocketAddr;

use crate::names::{
    DomainName, FencingNumber, GroupId, HostName, LeaseNonce, ProviderName, ServiceName, ZoneName,
};

plain_value! {
    /// What a host says of itself.
    pub struct HostAnnouncement {
        /// The host.
        pub host: HostName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Its fabric domain.
        pub domain: DomainName,
        /// Its provider.
        pub provider: ProviderName,
        /// Service it is meant for.
        pub service: ServiceName,
        /// Accelerators on it.
        pub accelerators: u32,
        /// Where its agent listens.
        pub link: SocketAddr,
        /// Whether its endpoint refuses orders with an old fencing number.
        pub checks_fencing: bool,
        /// Number of this start of the agent process, random.
        pub incarnation: u64,
        /// Whether the host is on its way out.
        pub leaving: bool,
    }

    /// What an agent tells control; the first one on a stream is `Announce`.
    pub enum AgentReport {
        /// The host is there.
        Announce(HostAnnouncement),
        /// A group changed between whole and broken; sent by its first host.
        GroupState {
            /// Which group.
            group: GroupId,
            /// Fencing number of the report.
            fencing: FencingNumber,
            /// Whether every member's lease is held.
            whole: bool,
            /// Members whose lease is missing.
            missing: Vec<HostName>,
        },
        /// No work is left at a group that was told to leave; sent by its first host.
        Drained {
            /// Which host.
            host: HostName,
            /// Fencing number of the group.
            fencing: FencingNumber,
        },
    }

    /// What control tells an agent.
    pub enum ControlDirective {
        /// The host belongs to a group.
        Assign(GroupAssignment),
        /// The host belongs to no group, with the highest fencing number given to it so far.
        Free {
            /// Highest fencing number that control has given out for this host.
            fencing: FencingNumber,
        },
        /// The group that the host leads takes no new work, finishes what runs, and then reports
        /// `Drained`.
        Leave {
            /// Fencing number of the group; another group of the host is not concerned.
            fencing: FencingNumber,
        },
        /// The group that the host leads takes work again.
        Stay {
            /// Fencing number of the group.
            fencing: FencingNumber,
        },
        /// The host takes part in no work any more and may be shut down.
        MayStop,
    }

    /// Membership of one group.
    pub struct GroupAssignment {
        /// The group.
        pub group: GroupId,
        /// Fencing number; higher than every earlier one of its hosts.
        pub fencing: FencingNumber,
        /// Service it serves.
        pub service: ServiceName,
        /// Members in order; the first one admits requests.
        pub members: Vec<GroupMember>,
        /// How many attempts may be in flight.
        pub capacity: u32,
    }

    /// One member of a group.
    pub struct GroupMember {
        /// Its host.
        pub host: HostName,
        /// Where its agent listens.
        pub link: SocketAddr,
    }

    /// What a group's first host asks of a member.
    pub enum MemberRequest {
        /// Promise to stay in the group for a while.
        Lease {
            /// The group.
            group: GroupId,
            /// Its fencing number.
            fencing: FencingNumber,
            /// Pairs the grant with this request.
            nonce: LeaseNonce,
        },
    }

    /// What a member answers.
    pub enum MemberReply {
        /// The member stays for `duration_ms` from the moment the request was sent.
        Granted {
            /// The request's nonce.
            nonce: LeaseNonce,
            /// How long the promise holds, in milliseconds.
            duration_ms: u32,
            /// Whether the member's endpoint is up.
            endpoint_ready: bool,
        },
        /// The member does not belong to the group, or must wait.
        Refused {
            /// The request's nonce.
            nonce: LeaseNonce,
            /// Highest fencing number the member knows.
            fencing: FencingNumber,
        },
    }
}
