//! Entry to control: rules, groups and leaving marks, under a lease.

use std::net::SocketAddr;

use super::quarantine::{FingerprintView, RunEvent, ViewVersion};
use super::update::SnapshotUpdate;
use crate::lease::LeaseTerms;
use crate::names::{
    DomainName, FencingNumber, GroupId, HostName, LeaseNonce, NodeName, ProviderName,
    RevisionNumber, RuleName, ServiceName, TeamName, ZoneName,
};

plain_value! {
    /// One renewal by a watcher.
    pub struct WatchRequest {
        /// The watching process.
        pub node: NodeName,
        /// Pairs the lease with this request; timed by the watcher from sending.
        pub nonce: LeaseNonce,
        /// Version of the snapshot the watcher has adopted; zero for none.
        pub adopted: u64,
        /// Revision of the rules under which it decides; zero for none.
        pub revision: RevisionNumber,
        /// Whether the watcher has stopped and will decide nothing more.
        pub leaving: bool,
        /// Number of this start of the watching process, random.
        pub incarnation: u64,
        /// Limits that the watcher applies.
        pub demands: Vec<LimitDemand>,
        /// View of the quarantine that the watcher holds.
        pub prints: ViewVersion,
        /// Runs that say something about their requests.
        pub runs: Vec<RunEvent>,
    }

    /// What an entry could use of one team's limit and what it holds; rates in thousandths of a
    /// request per second.
    pub struct LimitDemand {
        /// Rule that sets the limit.
        pub rule: RuleName,
        /// Team that is limited.
        pub team: TeamName,
        /// Requests in flight that the entry could use.
        pub running_demand: u64,
        /// Requests in flight that it may have.
        pub running_held: u64,
        /// Requests in flight that it has.
        pub in_flight: u64,
        /// Rate that it could use.
        pub rate_demand: u64,
        /// Rate that it may use.
        pub rate_held: u64,
    }

    /// An entry's share of one team's limit, for as long as the rules are confirmed.
    pub struct LimitGrant {
        /// Rule that sets the limit.
        pub rule: RuleName,
        /// Team that is limited.
        pub team: TeamName,
        /// Requests in flight; absent when the rule does not limit them.
        pub running: Option<u64>,
        /// Rate in thousandths per second; absent when the rule does not limit it.
        pub rate: Option<u64>,
    }

    /// Answer to a renewal.
    pub struct WatchReply {
        /// The request's nonce.
        pub nonce: LeaseNonce,
        /// How long the rules may be held, counted by the watcher from sending.
        pub terms: LeaseTerms,
        /// A newer snapshot, when there is one.
        pub snapshot: Option<SnapshotUpdate>,
        /// Shares of the limits that were asked for.
        pub shares: Vec<LimitGrant>,
        /// The quarantine, when the watcher holds another view of it.
        pub prints: Option<FingerprintView>,
    }

    /// Everything an entry needs to decide.
    #[derive(Default)]
    pub struct RoutingSnapshot {
        /// Version of the snapshot; grows with every change of any part.
        pub version: u64,
        /// Revision of the rule book.
        pub revision: RevisionNumber,
        /// The rule document as accepted, in YAML.
        pub rules: String,
        /// Groups that exist, in id order.
        pub groups: Vec<GroupRecord>,
        /// Endpoints that are leaving.
        pub leaving: Vec<LeavingGroup>,
    }

    /// One group as entries see it.
    pub struct GroupRecord {
        /// The group.
        pub group: GroupId,
        /// Its fencing number.
        pub fencing: FencingNumber,
        /// Service it serves.
        pub service: ServiceName,
        /// Availability zone of its first host.
        pub zone: ZoneName,
        /// Fabric domain of its first host.
        pub domain: DomainName,
        /// Provider of its hosts.
        pub provider: ProviderName,
        /// Its first host.
        pub first: HostName,
        /// Where the first host's agent listens.
        pub link: SocketAddr,
        /// Start of the first host's agent process; zero while the leader has not heard of it.
        pub incarnation: u64,
        /// Whether its first host reported it whole.
        pub whole: bool,
        /// How many attempts it may have in flight.
        pub capacity: u32,
    }

    /// A group that takes no new work.
    pub struct LeavingGroup {
        /// Which group.
        pub group: GroupId,
    }
}

impl RoutingSnapshot {
    /// Takes over from `earlier` which start of each first host's agent is meant, where this
    /// snapshot does not know it.
    ///
    /// A new leader has not heard every agent yet. Agents refuse orders that were meant for
    /// another start of theirs, so without this every replica would refuse until its agent had
    /// found the new leader. Should the agent have restarted meanwhile, it still refuses.
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
