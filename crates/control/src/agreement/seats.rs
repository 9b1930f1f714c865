//! Voter seats: which data folder may vote for which host.
//!
//! Votes and acknowledgements are only safe if the host persists them. A wiped data folder has lost
//! them; if it could still vote, an entry held by a majority could be lost and two leaders could be
//! elected in one term. Each folder therefore has a random id, and only folders that hold a seat
//! count as voters. The founding seats are determined once, when all control hosts are up with
//! empty folders. Later, a folder gets a seat through a log entry that is committed without its
//! own acknowledgement.
//!
//! Elections count the seats as of the last entry of the log, committed or not. After a power loss
//! a host knows its log for certain, but may not know which of its entries were committed.
//!
//! A host whose log removes it stands for election, and may lead, until the removal is committed: it may
//! be the only one with the newest log, without which nobody is elected. It counts neither its own vote
//! nor its own copy of the log, since it is no voter of the set that its log names.

use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::core::{AgreementCore, MembershipMode};
use super::{EntryPayload, FolderId, PeerBody, StorageWrite, VoterSeat};

impl AgreementCore {
    /// Whether the data folder of this host may vote.
    pub(super) fn is_self_voter(&self) -> bool {
        self.is_voter(&self.node, self.folder)
    }

    /// Whether the voter seat of this host is committed and was not taken away since.
    pub(super) fn has_committed_seat(&self) -> bool {
        holds_seat(&self.seats, &self.node, self.folder) && self.is_self_voter()
    }

    /// Whether this host may stand for election: it has a voter seat, or has had one that may still be
    /// valid because its removal is not known to be committed.
    pub(super) fn may_stand(&self) -> bool {
        self.is_self_voter()
            || holds_seat(&self.seats, &self.node, self.folder)
            || self.has_open_admission()
    }

    /// Whether an entry that is not known to be committed gives this host a voter seat.
    fn has_open_admission(&self) -> bool {
        let is_own = |seat: &VoterSeat| seat.node == self.node && seat.folder == self.folder;
        self.log
            .entries_after(self.last_delivered)
            .any(|entry| matches!(&entry.payload, EntryPayload::Admit(seat) if is_own(seat)))
    }

    /// Number of votes, or copies of the log, that this host itself contributes to a majority of `seats`.
    pub(super) fn own_share(&self, seats: &[VoterSeat]) -> usize {
        usize::from(holds_seat(seats, &self.node, self.folder))
    }

    /// Whether `folder` may vote for `node`.
    pub(super) fn is_voter(&self, node: &NodeName, folder: FolderId) -> bool {
        holds_seat(&self.latest_seats, node, folder)
    }

    /// Number of voters that form a majority.
    pub(super) fn majority(&self) -> usize {
        self.majority_of(&self.latest_seats)
    }

    /// Number of voters that form a majority of `seats`.
    pub(super) fn majority_of(&self, seats: &[VoterSeat]) -> usize {
        match self.membership {
            MembershipMode::Fixed => self.members.len() / 2 + 1,
            MembershipMode::Dynamic { .. } => seats.len() / 2 + 1,
        }
    }

    /// Updates the latest seats for an entry that was appended to the log.
    pub(super) fn note_appended(&mut self, payload: &EntryPayload) {
        change_seats(&mut self.latest_seats, payload);
    }

    /// Computes the latest seats from the committed ones and the entries after them.
    pub(super) fn recompute_latest_seats(&mut self) {
        let mut seats = self.seats.clone();
        for entry in self.log.entries_after(self.last_delivered) {
            change_seats(&mut seats, &entry.payload);
        }
        self.latest_seats = seats;
    }

    /// Applies a committed seat change.
    pub(super) fn commit_seat_change(&mut self, payload: &EntryPayload) {
        change_seats(&mut self.seats, payload);
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
        self.recompute_latest_seats();
        self.founding = Some(seats.clone());
        self.sync.write(StorageWrite::Founding(seats));
        // Votes and replies must wait until the founding seats are synced, as they do for a term.
        self.write_hard_state();
        if self.members.len() > 1 {
            self.reset_election_timer(now);
        }
    }
}

/// Whether `seats` lists `folder` as voter of `node`.
pub(super) fn holds_seat(seats: &[VoterSeat], node: &NodeName, folder: FolderId) -> bool {
    seats.iter().any(|seat| seat.node == *node && seat.folder == folder)
}

/// Applies a seat change; a seat replaces that of any earlier folder of the same host.
fn change_seats(seats: &mut Vec<VoterSeat>, payload: &EntryPayload) {
    match payload {
        EntryPayload::Admit(seat) => {
            seats.retain(|known| known.node != seat.node);
            seats.push(seat.clone());
            seats.sort_by(|a, b| a.node.cmp(&b.node));
        }
        EntryPayload::Dismiss(node) => seats.retain(|seat| seat.node != *node),
        EntryPayload::Blank | EntryPayload::Command(_) => {}
    }
}
