//! Which control hosts there are, who founds the log, and who votes.
//!
//! A process is told of three others at most, so hosts greet each other and pass on whom they
//! know. The log is founded once: by the lowest of the hosts with an empty disk, when the whole
//! deployment starts for the first time and each seed has answered. Everyone else is added
//! through the log, up to the number that bears the stated losses. A voter that has been silent
//! for long is replaced when another host with a disk stands by.

use std::time::Duration;

use briartray_fleet::message::{HostHello, LeaderHint};
use briartray_model::names::{NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint};

use super::core::ControlCore;
use super::input::CoreMessage;
use crate::settings::{ControlRole, GatewaySettings};

/// Time between two greetings.
const GREET_EVERY: Duration = Duration::from_millis(400);

/// As above at the start, when everybody waits for everybody.
const GREET_FIRST: Duration = Duration::from_millis(100);

/// How long the start lasts.
const START_TIME: Duration = Duration::from_secs(4);

/// Time after the start before the log is founded: processes start within 0.3 s of each other.
const FOUND_AFTER: Duration = Duration::from_millis(400);

/// Time after which the log is founded although a seed has not answered.
const FOUND_ANYWAY: Duration = Duration::from_millis(4_000);

/// Time without a greeting after which a host is not offered to others.
const SILENT: Duration = Duration::from_secs(3);

/// Time without a greeting after which a voter counts as gone, if another host stands by. The next
/// loss may follow as soon as the other host has had a few seconds to catch up; a voter that comes
/// back later takes part as any other host.
const ABSENT: Duration = Duration::from_millis(1_800);

/// Time after which a host that was never heard again is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Time for which a leader's name is believed without news of it.
const LEADER_NEWS: Duration = Duration::from_secs(3);

/// Time after the start from which declarations are accepted with fewer voters than wanted.
const VOTERS_WAIT: Duration = Duration::from_secs(8);

/// What is known of another control host.
#[derive(Debug, Clone)]
struct KnownHost {
    hello: Option<HostHello>,
    heard: TimePoint,
}

/// The control hosts that this one knows.
#[derive(Debug)]
pub(super) struct HostBook {
    own: NodeName,
    seeds: Vec<NodeName>,
    first_start: bool,
    hosts: SortedTable<NodeName, KnownHost>,
    greet_at: TimePoint,
    leader: Option<(TermNumber, NodeName, TimePoint)>,
}

impl HostBook {
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

    fn take(&mut self, now: TimePoint, hello: HostHello) {
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
    fn with_disk(&self, now: TimePoint, limit: Duration) -> Vec<NodeName> {
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

    fn is_silent(&self, now: TimePoint, node: &NodeName, limit: Duration) -> bool {
        self.hosts.get(node).is_none_or(|host| now.since(host.heard) >= limit)
    }

    /// Whether this host is the one to found the log.
    fn founds(&self, now: TimePoint) -> bool {
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

impl ControlCore {
    /// Takes the greeting of another control host.
    pub(super) fn take_hello(&mut self, now: TimePoint, hello: HostHello) {
        self.hosts.take(now, hello);
    }

    /// Greets the other control hosts when it is time.
    pub(super) fn greet(&mut self, now: TimePoint) {
        if now < self.hosts.greet_at {
            return;
        }
        let start = now.since(TimePoint::default()) < START_TIME;
        self.hosts.greet_at = now.after(if start { GREET_FIRST } else { GREET_EVERY });
        self.hosts
            .hosts
            .retain(|_, host| host.heard == TimePoint::default() || now.since(host.heard) < FORGET);
        let hello = self.hello();
        let names: Vec<NodeName> = self.hosts.hosts.keys().cloned().collect();
        for node in &names {
            self.parts.peers.send(node, CoreMessage::Hello(hello.clone()));
        }
        self.parts.peers.retain(|node| names.contains(node));
    }

    fn hello(&self) -> HostHello {
        let now = self.now();
        let own = self.parts.settings.node_name();
        let leads = self.is_established();
        let leader = self.agreement.as_ref().and_then(|agreement| {
            let node = if leads { own.clone() } else { agreement.leader()?.clone() };
            Some(LeaderHint { term: agreement.term(), node })
        });
        HostHello {
            node: own,
            has_disk: self.agreement.is_some(),
            founded: self.agreement.as_ref().is_some_and(|agreement| agreement.has_past()),
            leader,
            known: self
                .hosts
                .hosts
                .iter()
                .filter(|(_, host)| host.hello.is_some() && now.since(host.heard) < SILENT)
                .map(|(node, _)| node.clone())
                .collect(),
        }
    }

    /// Founds the log, and keeps the voters at the number that bears the stated losses.
    pub(super) fn manage_voters(&mut self, now: TimePoint) {
        let others = self.hosts.with_disk(now, FORGET);
        let founds = self.hosts.founds(now);
        let Some(agreement) = &mut self.agreement else { return };
        agreement.set_peers(now, &others);
        if founds && !agreement.has_past() && agreement.found_alone(now) {
            log::info!("this host founds the control log");
        }
        if self.leadership.is_none() {
            return;
        }
        let own = self.parts.settings.node_name();
        let seats: Vec<NodeName> = agreement.seats().iter().map(|seat| seat.node.clone()).collect();
        for node in seats.iter().filter(|node| **node != own) {
            agreement.mark_absent(node, self.hosts.is_silent(now, node, ABSENT));
        }
        agreement.trim_seats();
    }

    /// Whether enough hosts vote for a declaration to survive the stated losses.
    pub(super) fn has_voters(&self, now: TimePoint) -> bool {
        let wanted = 2 * self.parts.role.losses + 1;
        let seats = self.agreement.as_ref().map_or(0, |agreement| agreement.seats().len());
        seats >= wanted || now.since(TimePoint::default()) >= VOTERS_WAIT
    }
}
