//! The known control hosts, and the decision which of them bootstraps the log.
//!
//! A process is given the addresses of at most three other hosts, so hosts exchange hello messages
//! that list the hosts they know.

use std::time::Duration;

use briartray_fleet::message::{HostHello, LeaderHint};
use briartray_model::names::{NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint};

use crate::settings::{ControlRole, GatewaySettings};

/// Delay after the start before the log is bootstrapped: processes start within 0.3 s of each
/// other.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(400);

/// Time after the start from which the log is bootstrapped even if a seed has not responded.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time without a hello after which a host is no longer announced to others.
pub(super) const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a leader hint is valid unless it is renewed.
const LEADER_HINT_TTL: Duration = Duration::from_secs(3);

/// What is known about another control host.
#[derive(Debug, Clone)]
pub(super) struct KnownHost {
    /// Its most recent hello.
    pub(super) hello: Option<HostHello>,
    /// When it was last heard from, directly or through another host.
    pub(super) heard_at: TimePoint,
}

/// The control hosts known to this one.
#[derive(Debug)]
pub(super) struct HostBook {
    own: NodeName,
    seeds: Vec<NodeName>,
    first_start: bool,
    /// All other known control hosts.
    pub(super) hosts: SortedTable<NodeName, KnownHost>,
    /// When the next hello is due.
    pub(super) next_hello_at: TimePoint,
    leader: Option<(TermNumber, NodeName, TimePoint)>,
}

impl HostBook {
    /// Creates the book with the seeds from the settings.
    pub(super) fn new(settings: &GatewaySettings, role: &ControlRole) -> Self {
        let own = settings.node_name();
        let seeds: Vec<NodeName> =
            settings.seed_names().into_iter().filter(|seed| *seed != own).collect();
        let known = |seed: &NodeName| {
            (seed.clone(), KnownHost { hello: None, heard_at: TimePoint::default() })
        };
        Self {
            own,
            hosts: seeds.iter().map(known).collect(),
            seeds,
            first_start: role.first_start,
            next_hello_at: TimePoint::default(),
            leader: None,
        }
    }

    /// Names of all known control hosts, including this one.
    pub(super) fn names(&self) -> Vec<NodeName> {
        self.hosts.keys().cloned().chain([self.own.clone()]).collect()
    }

    /// The leader with the highest term among the recent leader hint and `own`, the leader known to
    /// this host's consensus core.
    pub(super) fn leader(
        &self,
        now: TimePoint,
        own: Option<(TermNumber, NodeName)>,
    ) -> Option<NodeName> {
        let hint = self
            .leader
            .as_ref()
            .filter(|(_, _, at)| now.since(*at) < LEADER_HINT_TTL)
            .map(|(term, node, _)| (*term, node.clone()));
        own.into_iter().chain(hint).max_by_key(|(term, _)| *term).map(|(_, node)| node)
    }

    /// Records a hello, the hosts it lists and its leader hint.
    pub(super) fn receive_hello(&mut self, now: TimePoint, hello: HostHello) {
        for node in hello.known.iter().filter(|node| **node != self.own) {
            let fresh = || KnownHost { hello: None, heard_at: now };
            self.hosts.get_or_insert_with(node.clone(), fresh);
        }
        if let Some(LeaderHint { term, node }) = hello.leader.clone() {
            let newer = self.leader.as_ref().is_none_or(|(known, _, at)| {
                // Only a hello from the leader itself renews a hint.
                term > *known
                    || (term == *known && node == hello.node)
                    || now.since(*at) >= LEADER_HINT_TTL
            });
            if newer {
                self.leader = Some((term, node, now));
            }
        }
        let node = hello.node.clone();
        self.hosts.insert(node, KnownHost { hello: Some(hello), heard_at: now });
    }

    /// Hosts with a data folder that were heard from within `limit`.
    pub(super) fn hosts_with_disk(&self, now: TimePoint, limit: Duration) -> Vec<NodeName> {
        self.hosts
            .iter()
            .filter(|(_, host)| now.since(host.heard_at) < limit)
            .filter(|(_, host)| host.hello.as_ref().is_some_and(|hello| hello.has_disk))
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Other control hosts that were heard from within `limit`.
    pub(super) fn live_hosts(&self, now: TimePoint, limit: Duration) -> Vec<NodeName> {
        let is_live = |host: &KnownHost| host.hello.is_some() && now.since(host.heard_at) < limit;
        self.hosts.iter().filter(|(_, host)| is_live(host)).map(|(node, _)| node.clone()).collect()
    }

    /// Whether `node` was not heard from within `limit`.
    pub(super) fn is_silent(&self, now: TimePoint, node: &NodeName, limit: Duration) -> bool {
        self.hosts.get(node).is_none_or(|host| now.since(host.heard_at) >= limit)
    }

    /// Whether this host should bootstrap the log.
    pub(super) fn should_bootstrap(&self, now: TimePoint) -> bool {
        let since_start = now.since(TimePoint::default());
        let has_responded =
            |seed: &NodeName| self.hosts.get(seed).is_some_and(|host| host.hello.is_some());
        let all_seeds_responded =
            self.seeds.iter().all(has_responded) || since_start >= BOOTSTRAP_TIMEOUT;
        let log_exists = self.leader.is_some()
            || self.hosts.values().any(|host| host.hello.as_ref().is_some_and(|h| h.founded));
        let is_lowest =
            self.hosts_with_disk(now, HELLO_TIMEOUT).iter().all(|other| self.own < *other);
        self.first_start
            && since_start >= BOOTSTRAP_DELAY
            && all_seeds_responded
            && !log_exists
            && is_lowest
    }
}
