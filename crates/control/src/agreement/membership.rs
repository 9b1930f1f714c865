//! Dynamic membership: adding and removing voters through the log, one at a time.
//!
//! If two voter sets differ by one host, any majority of one overlaps any majority of the other, so
//! two leaders cannot be elected in one term while the change is being replicated. Two concurrent
//! changes would break this. A change is therefore proposed only after the previous one is
//! committed and the leader has committed an entry of its own term, which also settles changes
//! that an earlier leader left open.

use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::EntryPayload;
use super::core::{AgreementCore, MembershipMode, RoleState};
use super::progress::PeerProgress;

impl AgreementCore {
    /// Bootstraps the log with this host as its only voter; returns `false` if the folder is in
    /// use.
    ///
    /// The caller must ensure that only one host ever does this in a deployment. Otherwise two logs
    /// would both accept changes, and the changes of one of them would be lost.
    pub fn bootstrap(&mut self, now: TimePoint) -> bool {
        if !self.is_pristine() {
            return false;
        }
        let seat = super::VoterSeat { node: self.node.clone(), folder: self.folder };
        self.record_founding(now, vec![seat]);
        self.election_deadline = now;
        true
    }

    /// Whether the data folder holds a vote, entries, a snapshot or the founding seats.
    pub fn has_history(&self) -> bool {
        !self.is_pristine()
    }

    /// Sets the hosts to replicate to; they get voter seats while there are fewer than the target.
    ///
    /// Hosts that hold a seat remain members even if `nodes` does not list them.
    pub fn set_peers(&mut self, now: TimePoint, nodes: &[NodeName]) {
        let seats = self.seats.iter().chain(&self.latest_seats);
        let seated = seats.map(|seat| seat.node.clone());
        let mut members: Vec<NodeName> = nodes.iter().cloned().chain(seated).collect();
        members.push(self.node.clone());
        members.sort();
        members.dedup();
        self.members = members;
        let (peers, next) = (self.peers(), self.log.last_index().next());
        let RoleState::Leading(state) = &mut self.role else { return };
        for peer in &peers {
            state.peers.get_or_insert_with(peer.clone(), || PeerProgress::new(now, next));
        }
        state.peers.retain(|node, _| peers.contains(node));
    }

    /// Proposes to remove one voter while there are more than the target, absent ones first.
    ///
    /// A host that was replaced while it was away may rejoin like any other host.
    pub fn remove_surplus_voter(&mut self) {
        let MembershipMode::Dynamic { voters } = self.membership else { return };
        if self.seats.len() <= voters || !self.no_seat_change_pending() {
            return;
        }
        let RoleState::Leading(state) = &self.role else { return };
        let absent = |node: &NodeName| state.peers.get(node).is_some_and(|peer| peer.absent);
        let others = || self.seats.iter().map(|seat| &seat.node).filter(|node| **node != self.node);
        let surplus = others().find(|node| absent(node)).or_else(|| others().next_back()).cloned();
        if let Some(node) = surplus {
            log::info!(
                node = node.as_str();
                "more voters than the target; proposing to remove one"
            );
            self.propose_seat_change(EntryPayload::Dismiss(node));
        }
    }

    /// Whether a voter seat may be proposed for `node` now.
    ///
    /// A voter with a new data folder keeps its seat. Any other host is added only if there are
    /// fewer voters than the target or an absent voter is to be replaced.
    pub(super) fn may_grant_seat(&self, node: &NodeName) -> bool {
        let MembershipMode::Dynamic { voters } = self.membership else { return true };
        let seated = self.seats.iter().any(|seat| seat.node == *node);
        self.no_seat_change_pending()
            && (seated || self.seats.len() < voters + self.count_absent_voters())
    }

    /// Number of voters that are marked absent.
    fn count_absent_voters(&self) -> usize {
        let RoleState::Leading(state) = &self.role else { return 0 };
        let absent = |node: &NodeName| state.peers.get(node).is_some_and(|peer| peer.absent);
        self.seats.iter().filter(|seat| absent(&seat.node)).count()
    }

    /// Marks `node` as absent or present; another host may replace an absent voter.
    pub fn set_absent(&mut self, node: &NodeName, absent: bool) {
        let RoleState::Leading(state) = &mut self.role else { return };
        if let Some(peer) = state.peers.get_mut(node) {
            peer.absent = absent;
        }
    }

    /// Proposes a seat change and records its index.
    pub(super) fn propose_seat_change(&mut self, payload: EntryPayload) {
        let index = self.log.last_index().next();
        if let RoleState::Leading(state) = &mut self.role {
            state.seat_change_index = index;
        }
        self.append(payload);
    }

    /// Schedules an immediate heartbeat after a seat change, so that the voters learn soon that it is
    /// committed.
    pub(super) fn request_heartbeat(&mut self) {
        if let RoleState::Leading(state) = &mut self.role {
            state.heartbeat_due = true;
        }
    }

    /// Whether the last seat change and an entry of the current term are committed.
    fn no_seat_change_pending(&self) -> bool {
        let RoleState::Leading(state) = &self.role else { return false };
        self.commit >= state.term_start_index && self.commit >= state.seat_change_index
    }
}
