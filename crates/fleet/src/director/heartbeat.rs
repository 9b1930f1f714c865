//! Heartbeats and reports of endpoints.

use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName, ZoneName};
use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// State of an endpoint in its group.
    pub enum MemberState {
        /// It loads the weights or warms up.
        Joining,
        /// It has the weights and waits for the group to open.
        Ready,
        /// The group serves requests.
        Open,
        /// The group takes no new requests and completes the running ones.
        Closing,
        /// The group has lost a member and no longer serves.
        Broken,
    }
}

plain_value! {
    /// Group membership that an endpoint reports.
    pub struct GroupMembership {
        /// The group; its id is the epoch of the join order that the endpoint followed.
        pub group: GroupId,
        /// State of the endpoint in the group.
        pub state: MemberState,
    }

    /// State that an endpoint sends with every heartbeat and in every answer to a probe.
    #[derive(Default)]
    pub struct EndpointReport {
        /// Fabric domain; `None` for endpoints that serve on their own.
        pub domain: Option<DomainName>,
        /// Models whose weights are staged on the host.
        pub staged: Vec<String>,
        /// Group membership; `None` for an endpoint in no group.
        pub mark: Option<GroupMembership>,
        /// Ratio of its times to the nominal ones; above 1 it is slow. `None` in heartbeats.
        pub pace: Option<f64>,
        /// Whether it carries out an order, such as loading weights. `None` in heartbeats.
        pub busy: Option<bool>,
    }

    /// One heartbeat of an endpoint.
    pub struct EndpointHeartbeat {
        /// Incarnation of the endpoint.
        pub id: IncarnationId,
        /// Service of the endpoint.
        pub service: ServiceName,
        /// Address at which it listens.
        pub address: String,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Requests that it runs concurrently.
        pub slots: usize,
        /// Whether it is leaving and takes no new work.
        pub leaving: bool,
        /// Remaining time for which it is cold, in milliseconds.
        pub cold_ms: u64,
        /// Increases with every heartbeat of one incarnation, so that a delayed one is recognized.
        pub sequence: u64,
        /// Domain, staged models and group membership.
        pub report: EndpointReport,
    }
}

impl EndpointReport {
    /// Fills the fields that heartbeats omit from the last `known` report. A known `busy` is
    /// dropped when the staged models differ, since the order has been carried out then.
    pub(super) fn completed(self, known: &Self) -> Self {
        let same = self.staged == known.staged;
        let busy = self.busy.or(known.busy.filter(|_| same));
        Self { pace: self.pace.or(known.pace), busy, ..self }
    }
}
