//! Voters that are added and removed through the log, one at a time.
//!
//! Two sets of voters that differ by one host share a host in any two of their majorities, so no
//! two leaders can be elected in one term while the change spreads. Two changes at once would
//! break that: a new one is proposed only when the one before is committed and the leader has
//! committed an entry of its own term, which settles changes that an earlier leader left open.

use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::EntryPayload;
use super::core::{AgreementCore, MembershipMode, RoleState};
use super::progress::PeerProgress;

impl AgreementCore {
    /// Founds the log with this host as its only voter; `false` when the folder has a past.
    ///
    /// The caller sees to it that only one host does this in the life of a deployment: two logs
    /// would both accept changes, and one of them would lose its own.
    pub fn bootstrap(&mut self, now: TimePoint) -> bool {
        if !self.may_found() {
            return false;
        }
        let seat = super::MemberSeat { node: self.node.clone(), folder: self.folder };
        self.found(now, vec![seat]);
        self.election_at = now;
        true
    }

    /// Whether the folder has taken part in anything.
    pub fn has_history(&self) -> bool {
        !self.may_found()
    }

    /// Lets `nodes` take part: they are sent the log, and get a seat while voters are missing.
    ///
    /// Seated hosts stay known whether or not they are named.
    pub fn set_peers(&mut self, now: TimePoint, nodes: &[NodeName]) {
        let seated = self.seats.iter().map(|seat| seat.node.clone());
        let mut members: Vec<NodeName> = nodes.iter().cloned().chain(seated).collect();
        members.push(self.node.clone());
        members.sort();
        members.dedup();
        self.members = members;
        let (peers, next) = (self.peers(), self.log.last_index().next());
        let RoleState::Leading(lead) = &mut self.role else { return };
        for peer in &peers {
            lead.peers.get_or_insert_with(peer.clone(), || PeerProgress::unknown(now, next));
        }
        lead.peers.retain(|node, _| peers.contains(node));
    }

    /// Proposes that a voter beyond the wanted number votes no longer, an absent one first.
    ///
    /// A host that was only away and comes back to find itself replaced takes part as any other.
    pub fn remove_surplus_voter(&mut self) {
        let MembershipMode::Dynamic { voters } = self.membership else { return };
        if self.seats.len() <= voters || !self.seats_settled() {
            return;
        }
        let RoleState::Leading(lead) = &self.role else { return };
        let absent = |node: &NodeName| lead.peers.get(node).is_some_and(|peer| peer.absent);
        let others = || self.seats.iter().map(|seat| &seat.node).filter(|node| **node != self.node);
        let surplus = others().find(|node| absent(node)).or_else(|| others().next_back()).cloned();
        if let Some(node) = surplus {
            log::info!(node = node.as_str(); "a voter is removed");
            self.change_seats(EntryPayload::Dismiss(node));
        }
    }

    /// Whether a seat may be proposed for `node` now.
    ///
    /// A voter with a new folder takes its old seat; any other host is added only while voters
    /// are missing or one of them is about to be replaced.
    pub(super) fn may_admit(&self, node: &NodeName) -> bool {
        let MembershipMode::Dynamic { voters } = self.membership else { return true };
        let seated = self.seats.iter().any(|seat| seat.node == *node);
        self.seats_settled() && (seated || self.seats.len() < voters + self.absent_seats())
    }

    /// Seats whose host is no longer among those that take part.
    fn absent_seats(&self) -> usize {
        let RoleState::Leading(lead) = &self.role else { return 0 };
        let absent = |node: &NodeName| lead.peers.get(node).is_some_and(|peer| peer.absent);
        self.seats.iter().filter(|seat| absent(&seat.node)).count()
    }

    /// Notes whether `node` counts as gone, so that another host may be added in its stead.
    pub fn set_absent(&mut self, node: &NodeName, absent: bool) {
        let RoleState::Leading(lead) = &mut self.role else { return };
        if let Some(peer) = lead.peers.get_mut(node) {
            peer.absent = absent;
        }
    }

    /// Proposes a change of the seats and remembers where it stands.
    pub(super) fn change_seats(&mut self, payload: EntryPayload) {
        let index = self.log.last_index().next();
        if let RoleState::Leading(lead) = &mut self.role {
            lead.seat_change = index;
        }
        self.append(payload);
    }

    /// Lets the voters know of a change at once: until they do, they count other majorities than
    /// the leader, and could elect none without it.
    pub(super) fn hurry_beat(&mut self) {
        if let RoleState::Leading(lead) = &mut self.role {
            lead.beat_due = true;
        }
    }

    pub(super) fn unseat(&mut self, node: &NodeName) {
        self.seats.retain(|seat| seat.node != *node);
        self.write_hard();
    }

    /// Whether no change of the seats is under way.
    fn seats_settled(&self) -> bool {
        let RoleState::Leading(lead) = &self.role else { return false };
        self.commit >= lead.first && self.commit >= lead.seat_change
    }
}
