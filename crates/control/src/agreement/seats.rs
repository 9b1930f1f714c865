//! Voter seats: which data folder may vote for which host.
//!
//! Votes and acknowledgements are only safe if the host persists them. A wiped data folder has lost
//! them; if it could still vote, an entry held by a majority could be lost and two leaders could be
//! elected in one term. Each folder therefore has a random id, and only folders that hold a seat
//! count as voters. The founding seats are determined once, when all control hosts are up with
//! empty folders. Later, a folder gets a seat through a log entry that is committed without its
//! own acknowledgement.

use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::core::{AgreementCore, MembershipMode};
use super::{FolderId, PeerBody, StorageWrite, VoterSeat};

impl AgreementCore {
    /// Whether the data folder of this host may vote.
    pub(super) fn is_self_voter(&self) -> bool {
        self.is_voter(&self.node, self.folder)
    }

    /// Whether `folder` may vote for `node`.
    pub(super) fn is_voter(&self, node: &NodeName, folder: FolderId) -> bool {
        self.seats.iter().any(|seat| seat.node == *node && seat.folder == folder)
    }

    /// Grants a seat to a data folder, replacing any earlier folder of the same host.
    pub(super) fn grant_seat(&mut self, seat: VoterSeat) {
        self.seats.retain(|known| known.node != seat.node);
        self.seats.push(seat);
        self.seats.sort_by(|a, b| a.node.cmp(&b.node));
        // Stored with the commit index, so that the seat is still valid after all hosts restart.
        self.write_hard_state();
    }

    /// Contacts the other hosts while this host has no voter seat.
    pub(super) fn discover_peers(&mut self, now: TimePoint) {
        let fixed = self.membership == MembershipMode::Fixed;
        if fixed && self.is_pristine() && self.members.len() == 1 {
            return self.record_founding(now, self.founding_seats());
        }
        if now < self.next_hello_at {
            return;
        }
        self.next_hello_at = now.after(self.times.heartbeat);
        if self.founding.is_none() {
            for peer in self.peers() {
                self.send(peer, PeerBody::Hello);
            }
        }
    }

    pub(super) fn handle_hello(&mut self, from: NodeName, caller: FolderId) {
        let founding = self.founding.clone();
        if founding.is_none() && !self.is_pristine() {
            // This host joined after the founding; the leader will replicate to the sender.
            return;
        }
        // The founding seats must be synced before they are sent to another host.
        let welcome = PeerBody::Welcome { caller, founding };
        self.send_after(self.sync.hard_state_ticket(), from, welcome);
    }

    pub(super) fn handle_welcome(
        &mut self,
        now: TimePoint,
        from: NodeName,
        folder: FolderId,
        founding: Option<Vec<VoterSeat>>,
    ) {
        match founding {
            // The seats determine whether this folder may vote; they do not list a folder that was
            // wiped after the founding.
            Some(seats) if self.founding.is_none() => self.record_founding(now, seats),
            Some(_) => {}
            None if self.is_pristine() && self.membership == MembershipMode::Fixed => {
                self.discovered.insert(from, folder);
                // Only the first host determines the seats. Two hosts could choose different ones
                // while a third is being wiped.
                let chooses_seats = self.members.first() == Some(&self.node);
                if chooses_seats && self.discovered.len() + 1 == self.members.len() {
                    let seats = self.founding_seats();
                    self.record_founding(now, seats);
                }
            }
            None => {}
        }
    }

    fn founding_seats(&self) -> Vec<VoterSeat> {
        let own = VoterSeat { node: self.node.clone(), folder: self.folder };
        let others = self
            .discovered
            .iter()
            .map(|(node, folder)| VoterSeat { node: node.clone(), folder: *folder });
        let mut seats: Vec<VoterSeat> = others.chain([own]).collect();
        seats.sort_by(|a, b| a.node.cmp(&b.node));
        seats
    }

    /// Whether the data folder has never been used.
    pub(super) fn is_pristine(&self) -> bool {
        self.founding.is_none()
            && self.hard.term.0 == 0
            && self.log.last_index().0 == 0
            && self.snapshot.is_none()
    }

    pub(super) fn record_founding(&mut self, now: TimePoint, seats: Vec<VoterSeat>) {
        log::info!(members = seats.len(); "accepted the founding voters of the control log");
        // Keep seats that were granted after the founding.
        for seat in &seats {
            if !self.seats.iter().any(|known| known.node == seat.node) {
                self.seats.push(seat.clone());
            }
        }
        self.seats.sort_by(|a, b| a.node.cmp(&b.node));
        self.founding = Some(seats.clone());
        self.sync.write(StorageWrite::Founding(seats));
        // Votes and replies must wait until the founding seats are synced, as they do for a term.
        self.write_hard_state();
        if self.members.len() > 1 {
            self.reset_election_timer(now);
        }
    }
}
