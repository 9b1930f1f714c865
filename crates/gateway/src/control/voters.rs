//! Greetings between control hosts, and who votes.
//!
//! The log is founded once: by the lowest of the hosts with an empty disk, when the whole
//! deployment starts for the first time and each seed has answered. Everyone else is added
//! through the log, up to the number that bears the stated losses. A voter that has been silent
//! for long is replaced when another host with a disk stands by.

use std::time::Duration;

use briartray_fleet::message::{HostHello, LeaderHint};
use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::core::ControlCore;
use super::host_book::SILENT;
use super::input::CoreMessage;

/// Time between two greetings.
const GREET_EVERY: Duration = Duration::from_millis(400);

/// As above at the start, when everybody waits for everybody.
const GREET_FIRST: Duration = Duration::from_millis(100);

/// How long the start lasts.
const START_TIME: Duration = Duration::from_secs(4);

/// Time without a greeting after which a voter counts as gone, if another host stands by. The next
/// loss may follow as soon as the other host has had a few seconds to catch up; a voter that comes
/// back later takes part as any other host.
const ABSENT: Duration = Duration::from_millis(1_800);

/// Time after which a host that was never heard again is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Time after the start from which declarations are accepted with fewer voters than wanted.
const VOTERS_WAIT: Duration = Duration::from_secs(8);

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
            founded: self.agreement.as_ref().is_some_and(|agreement| agreement.has_history()),
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
        if founds && !agreement.has_history() && agreement.bootstrap(now) {
            log::info!("this host founds the control log");
        }
        if self.leadership.is_none() {
            return;
        }
        let own = self.parts.settings.node_name();
        let seats: Vec<NodeName> = agreement.seats().iter().map(|seat| seat.node.clone()).collect();
        for node in seats.iter().filter(|node| **node != own) {
            agreement.set_absent(node, self.hosts.is_silent(now, node, ABSENT));
        }
        agreement.remove_surplus_voter();
    }

    /// Whether enough hosts vote for a declaration to survive the stated losses.
    pub(super) fn has_voters(&self, now: TimePoint) -> bool {
        let wanted = 2 * self.parts.role.losses + 1;
        let seats = self.agreement.as_ref().map_or(0, |agreement| agreement.seats().len());
        seats >= wanted || now.since(TimePoint::default()) >= VOTERS_WAIT
    }
}
