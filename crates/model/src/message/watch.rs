//! Entry to control: rules, groups and leaving groups, under a rules lease.

use std::net::SocketAddr;

use super::quarantine::{FingerprintView, PartCompletion, RunEvent, ViewVersion};
use super::retries::{AllowanceGrant, AllowanceReport};
use super::update::SnapshotUpdate;
use crate::lease::LeaseTerms;
use crate::names::{
    DomainName, FencingNumber, GroupId, HostName, LeaseNonce, NodeName, ProviderName,
    RevisionNumber, RuleName, ServiceName, TeamName, ZoneName,
};

plain_value! {
    /// A lease renewal by an entry, called the watcher here.
    pub struct WatchRequest {
        /// The watching process.
        pub node: NodeName,
        /// Matches the reply to this request; the lease counts from the time it was sent.
        pub nonce: LeaseNonce,
        /// Version of the snapshot that the watcher has adopted; zero for none.
        pub adopted: u64,
        /// Revision of the rules that it applies; zero for none.
        pub revision: RevisionNumber,
        /// Whether the watcher has stopped and will make no more decisions.
        pub leaving: bool,
        /// Random number that identifies this start of the watching process.
        pub incarnation: u64,
        /// Usage and demand of each limit that the watcher applies.
        pub demands: Vec<LimitDemand>,
        /// Version of the quarantine view that the watcher has.
        pub prints: ViewVersion,
        /// Runs that may lead to a quarantine or speak against one.
        pub runs: Vec<RunEvent>,
        /// Last completed runs of suspected prompt parts.
        pub whole_parts: Vec<PartCompletion>,
        /// Use of the retry allowance.
        pub retries: AllowanceReport,
    }

    /// What an entry could use of one team's limit, and its current share. Rates are in thousandths
    /// of a request per second.
    pub struct LimitDemand {
        /// Rule that sets the limit.
        pub rule: RuleName,
        /// Team that is limited.
        pub team: TeamName,
        /// Requests in flight that the entry could use.
        pub running_demand: u64,
        /// Requests in flight that its current share allows.
        pub running_held: u64,
        /// Requests that are in flight.
        pub in_flight: u64,
        /// Rate that the entry could use.
        pub rate_demand: u64,
        /// Rate that its current share allows.
        pub rate_held: u64,
    }

    /// An entry's share of one team's limit, valid for as long as the rules are confirmed.
    pub struct LimitGrant {
        /// Rule that sets the limit.
        pub rule: RuleName,
        /// Team that is limited.
        pub team: TeamName,
        /// Requests in flight; `None` when the rule does not limit them.
        pub running: Option<u64>,
        /// Rate in thousandths of a request per second; `None` when the rule does not limit it.
        pub rate: Option<u64>,
    }

    /// Answer to a renewal.
    pub struct WatchReply {
        /// The request's nonce.
        pub nonce: LeaseNonce,
        /// How long the rules may be applied, counted from the time the watcher sent the request.
        pub terms: LeaseTerms,
        /// A newer snapshot, if there is one.
        pub snapshot: Option<SnapshotUpdate>,
        /// Shares of the limits in the request.
        pub shares: Vec<LimitGrant>,
        /// The quarantine view, if the watcher has another version of it.
        pub prints: Option<FingerprintView>,
        /// Shares of the retry allowance.
        pub retries: Vec<AllowanceGrant>,
    }

    /// Everything that an entry needs for its decisions.
    #[derive(Default)]
    pub struct RoutingSnapshot {
        /// Version of the snapshot; increases with every change.
        pub version: u64,
        /// Revision of the rule book.
        pub revision: RevisionNumber,
        /// The rule document as accepted, in YAML.
        pub rules: String,
        /// All groups, in id order.
        pub groups: Vec<GroupRecord>,
        /// Groups that are leaving.
        pub leaving: Vec<LeavingGroup>,
    }

    /// One group, as sent to entries.
    pub struct GroupRecord {
        /// The group.
        pub group: GroupId,
        /// Its fencing number.
        pub fencing: FencingNumber,
        /// Service that it serves.
        pub service: ServiceName,
        /// Availability zone of its first host.
        pub zone: ZoneName,
        /// Fabric domain of its first host.
        pub domain: DomainName,
        /// Provider of its hosts.
        pub provider: ProviderName,
        /// Its first host.
        pub first: HostName,
        /// Address at which the first host's agent listens.
        pub link: SocketAddr,
        /// Incarnation of the first host's agent process; zero while the leader does not know it.
        pub incarnation: u64,
        /// Whether its first host reported that it holds a lease of every member.
        pub whole: bool,
        /// Number of attempts that it may have in flight.
        pub capacity: u32,
    }

    /// A group that takes no new work.
    pub struct LeavingGroup {
        /// The group.
        pub group: GroupId,
    }
}

impl RoutingSnapshot {
    /// Copies agent incarnations from `earlier` for groups whose incarnation this snapshot does
    /// not know.
    ///
    /// A new leader has not received a report from every agent yet. Agents refuse orders for
    /// another incarnation, so without this every replica would refuse until its agent had
    /// connected to the new leader. An agent that restarted in the meantime still refuses.
    pub fn keep_incarnations(&mut self, earlier: &Self) {
        for record in self.groups.iter_mut().filter(|record| record.incarnation == 0) {
            let known = earlier
                .groups
                .iter()
                .find(|known| (known.group, known.fencing) == (record.group, record.fencing));
            if let Some(known) = known {
                record.incarnation = known.incarnation;
            }
        }
    }
}
