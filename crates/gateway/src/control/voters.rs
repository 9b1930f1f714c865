//! Hello messages between control hosts, and management of the voter seats.
//!
//! The log is bootstrapped once: by the host with the lowest name among those with an empty disk,
//! when the whole deployment starts for the first time and each seed has responded. Other hosts
//! join through the log, up to the number of voters that tolerates the configured losses. A voter
//! that has been silent for long is replaced if another host with a disk is available.

use std::time::Duration;

use briartray_fleet::message::{HostHello, LeaderHint};
use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::core::ControlCore;
use super::host_book::HELLO_TIMEOUT;
use super::input::CoreMessage;

/// Interval between hello messages.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between hello messages during the startup period, when hosts wait for each other.
const STARTUP_HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// Length of the startup period.
const STARTUP_PERIOD: Duration = Duration::from_secs(4);

/// Time without a hello after which a voter counts as absent, if another host can replace it. The
/// deployment tolerates the next loss once the replacement has caught up, which takes a few
/// seconds. A voter that returns later is treated like any other host.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time after which a silent host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time after the start from which changes are accepted with fewer voters than configured.
const VOTERS_TIMEOUT: Duration = Duration::from_secs(8);

impl ControlCore {
    /// Processes a hello from another control host.
    pub(super) fn receive_hello(&mut self, now: TimePoint, hello: HostHello) {
        self.host_book.receive_hello(now, hello);
    }

    /// Sends hello messages to the other control hosts if they are due.
    pub(super) fn send_hellos(&mut self, now: TimePoint) {
        if now < self.host_book.next_hello_at {
            return;
        }
        let starting = now.since(TimePoint::default()) < STARTUP_PERIOD;
        self.host_book.next_hello_at =
            now.after(if starting { STARTUP_HELLO_INTERVAL } else { HELLO_INTERVAL });
        self.host_book.hosts.retain(|_, host| {
            host.heard_at == TimePoint::default() || now.since(host.heard_at) < FORGET_AFTER
        });
        let hello = self.own_hello();
        let names: Vec<NodeName> = self.host_book.hosts.keys().cloned().collect();
        for node in &names {
            self.parts.peers.send(node, CoreMessage::Hello(hello.clone()));
        }
        self.parts.peers.retain(|node| names.contains(node));
    }

    fn own_hello(&self) -> HostHello {
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
                .host_book
                .hosts
                .iter()
                .filter(|(_, host)| {
                    host.hello.is_some() && now.since(host.heard_at) < HELLO_TIMEOUT
                })
                .map(|(node, _)| node.clone())
                .collect(),
        }
    }

    /// Bootstraps the log if needed, and maintains the number of voters.
    pub(super) fn manage_voters(&mut self, now: TimePoint) {
        let others = self.host_book.hosts_with_disk(now, FORGET_AFTER);
        let should_bootstrap = self.host_book.should_bootstrap(now);
        let Some(agreement) = &mut self.agreement else { return };
        agreement.set_peers(now, &others);
        if should_bootstrap && !agreement.has_history() && agreement.bootstrap(now) {
            log::info!("bootstrapping the replicated log on this host");
        }
        if self.leadership.is_none() {
            return;
        }
        let own = self.parts.settings.node_name();
        let seats: Vec<NodeName> = agreement.seats().iter().map(|seat| seat.node.clone()).collect();
        for node in seats.iter().filter(|node| **node != own) {
            agreement.set_absent(node, self.host_book.is_silent(now, node, ABSENCE_TIMEOUT));
        }
        agreement.remove_surplus_voter();
    }

    /// Whether there are enough voters for an accepted change to survive the configured losses.
    pub(super) fn has_voters(&self, now: TimePoint) -> bool {
        let wanted = 2 * self.parts.role.losses + 1;
        let seats = self.agreement.as_ref().map_or(0, |agreement| agreement.seats().len());
        seats >= wanted || now.since(TimePoint::default()) >= VOTERS_TIMEOUT
    }
}
