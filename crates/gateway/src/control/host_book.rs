//! Which control hosts there are, and which of them founds the log.
//!
//! A process is told of three others at most, so hosts greet each other and pass on whom they know.

use std::time::Duration;

use briartray_fleet::message::{HostHello, LeaderHint};
use briartray_model::names::{NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint};

use crate::settings::{ControlRole, GatewaySettings};

/// Time after the start before the log is founded: processes start within 0.3 s of each other.
const FOUND_AFTER: Duration = Duration::from_millis(400);

/// Time after which the log is founded although a seed has not answered.
const FOUND_ANYWAY: Duration = Duration::from_millis(4_000);

/// Time without a greeting after which a host is not offered to others.
pub(super) const SILENT: Duration = Duration::from_secs(3);

/// Time for which a leader's name is believed without news of it.
const LEADER_NEWS: Duration = Duration::from_secs(3);

/// What is known of another control host.
#[derive(Debug, Clone)]
pub(super) struct KnownHost {
    /// Its last greeting.
    pub(super) hello: Option<HostHello>,
    /// When it was heard of last.
    pub(super) heard: TimePoint,
}

/// The control hosts that this one knows.
#[derive(Debug)]
pub(super) struct HostBook {
    own: NodeName,
    seeds: Vec<NodeName>,
    first_start: bool,
    /// Every other control host that was heard of.
    pub(super) hosts: SortedTable<NodeName, KnownHost>,
    /// When the others are to be greeted again.
    pub(super) greet_at: TimePoint,
    leader: Option<(TermNumber, NodeName, TimePoint)>,
}

impl HostBook {
    /// The hosts that the settings name.
    pub(super) fn new(settings: &GatewaySettings, role: &ControlRole) -> Self {
        let own = settings.node_name();
        let seeds: Vec<NodeName> =
            settings.seed_names().into_iter().filter(|seed| *seed != own).collect();
        let known = |seed: &NodeName| {
            (seed.clone(), KnownHost { hello: None, heard: TimePoint::default() })
        };
        Self {
            own,
            hosts: seeds.iter().map(known).collect(),
            seeds,
            first_start: role.first_start,
            greet_at: TimePoint::default(),
            leader: None,
        }
    }

    /// Names of all known control hosts, this one among them.
    pub(super) fn names(&self) -> Vec<NodeName> {
        self.hosts.keys().cloned().chain([self.own.clone()]).collect()
    }

    /// Who leads: the one of the highest term that was heard of lately.
    pub(super) fn leader(
        &self,
        now: TimePoint,
        own: Option<(TermNumber, NodeName)>,
    ) -> Option<NodeName> {
        let told = self
            .leader
            .as_ref()
            .filter(|(_, _, at)| now.since(*at) < LEADER_NEWS)
            .map(|(term, node, _)| (*term, node.clone()));
        own.into_iter().chain(told).max_by_key(|(term, _)| *term).map(|(_, node)| node)
    }

    /// Takes a greeting, and whom it names.
    pub(super) fn take(&mut self, now: TimePoint, hello: HostHello) {
        for node in hello.known.iter().filter(|node| **node != self.own) {
            let fresh = || KnownHost { hello: None, heard: now };
            self.hosts.get_or_insert_with(node.clone(), fresh);
        }
        if let Some(LeaderHint { term, node }) = hello.leader.clone() {
            let newer = self.leader.as_ref().is_none_or(|(known, _, at)| {
                // Only a leader's own word renews what is believed of it.
                term > *known
                    || (term == *known && node == hello.node)
                    || now.since(*at) >= LEADER_NEWS
            });
            if newer {
                self.leader = Some((term, node, now));
            }
        }
        let node = hello.node.clone();
        self.hosts.insert(node, KnownHost { hello: Some(hello), heard: now });
    }

    /// Hosts with a disk that were heard of within `limit`.
    pub(super) fn with_disk(&self, now: TimePoint, limit: Duration) -> Vec<NodeName> {
        self.hosts
            .iter()
            .filter(|(_, host)| now.since(host.heard) < limit)
            .filter(|(_, host)| host.hello.as_ref().is_some_and(|hello| hello.has_disk))
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Other control hosts that were heard of within `limit`.
    pub(super) fn live(&self, now: TimePoint, limit: Duration) -> Vec<NodeName> {
        let heard = |host: &KnownHost| host.hello.is_some() && now.since(host.heard) < limit;
        self.hosts.iter().filter(|(_, host)| heard(host)).map(|(node, _)| node.clone()).collect()
    }

    /// Whether `node` was not heard of within `limit`.
    pub(super) fn is_silent(&self, now: TimePoint, node: &NodeName, limit: Duration) -> bool {
        self.hosts.get(node).is_none_or(|host| now.since(host.heard) >= limit)
    }

    /// Whether this host is the one to found the log.
    pub(super) fn founds(&self, now: TimePoint) -> bool {
        let since_start = now.since(TimePoint::default());
        let answered =
            |seed: &NodeName| self.hosts.get(seed).is_some_and(|host| host.hello.is_some());
        let complete = self.seeds.iter().all(answered) || since_start >= FOUND_ANYWAY;
        let taken = self.leader.is_some()
            || self.hosts.values().any(|host| host.hello.as_ref().is_some_and(|h| h.founded));
        let lowest = self.with_disk(now, SILENT).iter().all(|other| self.own < *other);
        self.first_start && since_start >= FOUND_AFTER && complete && !taken && lowest
    }
}
