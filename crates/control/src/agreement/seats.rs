//! Which data folder may vote in the name of which host.
//!
//! A vote or an acknowledgement promises to remember. A wiped folder remembers nothing: would it
//! vote as before, an entry that a majority holds could be lost and two leaders elected in one
//! term. Every folder therefore has a random id, and only seated folders count. The founding
//! seats are settled once, when every control host is there with an empty folder; later a folder
//! gets a seat by a log entry, which is committed without its own voice.

use briartray_model::TimePoint;
use briartray_model::names::NodeName;

use super::core::{AgreementCore, MembershipMode};
use super::{FolderId, MemberSeat, PeerBody, StorageWrite};

impl AgreementCore {
    /// Whether the own folder may vote.
    pub(super) fn has_seat(&self) -> bool {
        self.is_seat(&self.node, self.folder)
    }

    /// Whether `folder` may vote in the name of `node`.
    pub(super) fn is_seat(&self, node: &NodeName, folder: FolderId) -> bool {
        self.seats.iter().any(|seat| seat.node == *node && seat.folder == folder)
    }

    /// Seats a folder in place of the one its host had before.
    pub(super) fn seat(&mut self, seat: MemberSeat) {
        self.seats.retain(|known| known.node != seat.node);
        self.seats.push(seat);
        self.seats.sort_by(|a, b| a.node.cmp(&b.node));
        // Kept with the commit, so that the seat still counts after all hosts restart at once.
        self.write_hard();
    }

    /// Looks for the other hosts while the own folder has no seat.
    pub(super) fn seek_seat(&mut self, now: TimePoint) {
        let fixed = self.membership == MembershipMode::Fixed;
        if fixed && self.may_found() && self.members.len() == 1 {
            return self.found(now, self.greeted_seats());
        }
        if now < self.hello_at {
            return;
        }
        self.hello_at = now.after(self.times.heartbeat);
        if self.founding.is_none() {
            for peer in self.peers() {
                self.send(peer, PeerBody::Hello);
            }
        }
    }

    pub(super) fn take_hello(&mut self, from: NodeName, caller: FolderId) {
        let founding = self.founding.clone();
        if founding.is_none() && !self.may_found() {
            // Seated later than the founding: the leader takes care of the caller.
            return;
        }
        // Founding seats must be synced before anyone hears of them.
        let welcome = PeerBody::Welcome { caller, founding };
        self.send_after(self.sync.hard_ticket(), from, welcome);
    }

    pub(super) fn take_welcome(
        &mut self,
        now: TimePoint,
        from: NodeName,
        folder: FolderId,
        founding: Option<Vec<MemberSeat>>,
    ) {
        match founding {
            // Whether this folder may vote follows from the seats: one that was wiped since the
            // founding is not among them.
            Some(seats) if self.founding.is_none() => self.found(now, seats),
            Some(_) => {}
            None if self.may_found() && self.membership == MembershipMode::Fixed => {
                self.greeted.insert(from, folder);
                // One host alone settles the seats: two could settle different ones while a third
                // is being wiped.
                let settles = self.members.first() == Some(&self.node);
                if settles && self.greeted.len() + 1 == self.members.len() {
                    let seats = self.greeted_seats();
                    self.found(now, seats);
                }
            }
            None => {}
        }
    }

    fn greeted_seats(&self) -> Vec<MemberSeat> {
        let own = MemberSeat { node: self.node.clone(), folder: self.folder };
        let others = self
            .greeted
            .iter()
            .map(|(node, folder)| MemberSeat { node: node.clone(), folder: *folder });
        let mut seats: Vec<MemberSeat> = others.chain([own]).collect();
        seats.sort_by(|a, b| a.node.cmp(&b.node));
        seats
    }

    /// Whether the folder has never taken part in anything.
    pub(super) fn may_found(&self) -> bool {
        self.founding.is_none()
            && self.hard.term.0 == 0
            && self.log.last_index().0 == 0
            && self.snapshot.is_none()
    }

    pub(super) fn found(&mut self, now: TimePoint, seats: Vec<MemberSeat>) {
        log::info!(members = seats.len(); "the control log is founded");
        // Seats that were given later stand.
        for seat in &seats {
            if !self.seats.iter().any(|known| known.node == seat.node) {
                self.seats.push(seat.clone());
            }
        }
        self.seats.sort_by(|a, b| a.node.cmp(&b.node));
        self.founding = Some(seats.clone());
        self.sync.write(StorageWrite::Founding(seats));
        // Votes and answers wait for the founding seats as for a term.
        self.write_hard();
        if self.members.len() > 1 {
            self.delay_election(now);
        }
    }
}
