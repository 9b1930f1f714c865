//! The leader: proposals, replies from followers, majority commit and linearizable reads.

use std::collections::VecDeque;

use briartray_model::names::{LogIndex, NodeName};
use briartray_model::{SortedTable, TimePoint};

use super::core::{AgreementCore, RoleState};
use super::progress::PeerProgress;
use super::seats::holds_seat;
use super::{
    AppendReply, EntryPayload, FolderId, LogEntry, ProposalRefusal, ProposalToken, ReadToken,
    StorageWrite, VoterSeat,
};

/// Maximum number of uncommitted proposals.
const MAX_PROPOSALS: usize = 8192;

/// Maximum size of uncommitted proposals, in bytes.
const MAX_PROPOSAL_BYTES: usize = 16 * 1024 * 1024;

/// Time the leader's disk may take for a write and sync, in minimum election timeouts.
const MAX_SYNC_TIMEOUTS: u32 = 4;

/// Maximum size of a single proposal, in bytes.
const MAX_COMMAND_BYTES: usize = 6 * 1024 * 1024;

/// Maximum number of unconfirmed reads.
const MAX_READS: usize = 65_536;

/// A proposal that is not committed yet.
#[derive(Debug)]
pub(super) struct PendingProposal {
    index: LogIndex,
    bytes: usize,
    pub(super) token: ProposalToken,
}

/// A read that waits until a majority has replied to `round`.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) round: u64,
    pub(super) token: ReadToken,
}

/// State of a leader for the duration of its term.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) term_start_index: LogIndex,
    pub(super) next_heartbeat_at: TimePoint,
    pub(super) heartbeat_due: bool,
    pub(super) round: u64,
    pub(super) peers: SortedTable<NodeName, PeerProgress>,
    pub(super) proposals: VecDeque<PendingProposal>,
    proposal_bytes: usize,
    pub(super) reads: VecDeque<PendingRead>,
    /// Index of the newest proposed seat change; the next one waits until it is committed.
    pub(super) seat_change_index: LogIndex,
}

impl LeaderState {
    /// Creates the state of a leader whose first entry is at `term_start_index`.
    pub(super) fn new(now: TimePoint, term_start_index: LogIndex, peers: &[NodeName]) -> Self {
        let progress = |node: &NodeName| (node.clone(), PeerProgress::new(now, term_start_index));
        Self {
            term_start_index,
            next_heartbeat_at: now,
            heartbeat_due: true,
            round: 0,
            peers: peers.iter().map(progress).collect(),
            proposals: VecDeque::new(),
            proposal_bytes: 0,
            reads: VecDeque::new(),
            seat_change_index: LogIndex::default(),
        }
    }
}

impl AgreementCore {
    /// Proposes `command`; a later drain returns its outcome with `token`.
    ///
    /// # Errors
    /// Returns a `ProposalRefusal` if this host does not lead or is overloaded, or if the command
    /// is too large; the command is then discarded.
    pub fn propose(
        &mut self,
        now: TimePoint,
        token: ProposalToken,
        command: Vec<u8>,
    ) -> Result<(), ProposalRefusal> {
        self.check_quorum(now);
        let RoleState::Leading(state) = &mut self.role else {
            return Err(ProposalRefusal::NotLeader { leader: self.leader.clone() });
        };
        if command.len() > MAX_COMMAND_BYTES {
            let size = command.len();
            return Err(ProposalRefusal::TooLarge { size, limit: MAX_COMMAND_BYTES });
        }
        let bytes = command.len();
        if state.proposals.len() >= MAX_PROPOSALS || state.proposal_bytes >= MAX_PROPOSAL_BYTES {
            return Err(ProposalRefusal::Busy);
        }
        let index = self.log.last_index().next();
        state.proposals.push_back(PendingProposal { index, bytes, token });
        state.proposal_bytes += bytes;
        self.append(EntryPayload::Command(command));
        Ok(())
    }

    /// Requests confirmation that this host still leads. A later drain returns `token` after a
    /// majority has replied to a message sent after this call.
    ///
    /// # Errors
    /// Returns a `ProposalRefusal` if this host does not lead or too many reads are pending.
    pub fn read(&mut self, now: TimePoint, token: ReadToken) -> Result<(), ProposalRefusal> {
        self.check_quorum(now);
        let RoleState::Leading(state) = &mut self.role else {
            return Err(ProposalRefusal::NotLeader { leader: self.leader.clone() });
        };
        if state.reads.len() >= MAX_READS {
            return Err(ProposalRefusal::Busy);
        }
        // Messages of the current round may already have been sent before this read.
        state.reads.push_back(PendingRead { round: state.round + 1, token });
        Ok(())
    }

    /// Appends an entry of the current term to the log.
    pub(super) fn append(&mut self, payload: EntryPayload) {
        let entry = LogEntry { index: self.log.last_index().next(), term: self.hard.term, payload };
        self.note_appended(&entry.payload);
        self.log.push(entry.clone());
        self.sync.write(StorageWrite::Append(vec![entry]));
    }

    /// Marks a heartbeat as due when the heartbeat interval has passed.
    pub(super) fn schedule_heartbeat(&mut self, now: TimePoint) {
        let heartbeat = self.times.heartbeat;
        let RoleState::Leading(state) = &mut self.role else { return };
        if now >= state.next_heartbeat_at {
            state.heartbeat_due = true;
            state.next_heartbeat_at = now.after(heartbeat);
        }
    }

    /// Steps down if no majority has replied within the minimum election timeout, or if the disk
    /// hangs.
    ///
    /// A leader that is partitioned or was paused would otherwise keep answering while another host
    /// is elected, and operators would see changes that are not in effect. A leader whose disk
    /// hangs commits nothing, while its heartbeats prevent the election of a host with a working
    /// disk.
    pub(super) fn check_quorum(&mut self, now: TimePoint) {
        let RoleState::Leading(state) = &self.role else { return };
        let sync_stalled = self.sync.oldest_wait(now) >= self.times.election * MAX_SYNC_TIMEOUTS;
        let own = self.own_share(&self.latest_seats);
        if sync_stalled && self.majority() > own {
            log::warn!(
                term = self.hard.term.0;
                "log write or sync exceeds the time limit; stepping down"
            );
            return self.step_down(now, self.hard.term);
        }
        let identified = state
            .peers
            .iter()
            .filter(|(node, peer)| {
                peer.folder.is_some_and(|folder| self.is_voter(node, folder))
                    && now.since(peer.last_contact) < self.times.election
            })
            .count();
        // At the start of a term the data folder of each voter is not known yet.
        let unidentified = state
            .peers
            .iter()
            .filter(|(node, peer)| {
                peer.folder.is_none()
                    && self.latest_seats.iter().any(|seat| seat.node == **node)
                    && now.since(peer.last_contact) < self.times.election
            })
            .count();
        if identified + unidentified + own < self.majority() {
            log::warn!(
                term = self.hard.term.0;
                "no replies from a majority of voters; stepping down"
            );
            self.step_down(now, self.hard.term);
        }
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: TimePoint,
        from: &NodeName,
        folder: FolderId,
        reply: &AppendReply,
    ) {
        if !self.record_contact(now, from, folder, reply.round) {
            return;
        }
        let last = self.log.last_index();
        let RoleState::Leading(state) = &mut self.role else { return };
        let Some(peer) = state.peers.get_mut(from) else { return };
        if !reply.matched {
            if reply.prev_index <= peer.matched {
                // A delayed rejection of an append request that has since succeeded.
                return;
            }
            peer.pipelined = false;
            peer.awaiting_since = None;
            peer.clear_in_flight();
            peer.next = reply.index.min(reply.prev_index).max(peer.matched).next();
            return;
        }
        if reply.index > last {
            log::error!(
                from = from.as_str();
                "ignored an acknowledgement beyond the end of the log"
            );
            return;
        }
        peer.snapshot_offset = None;
        peer.acknowledge(reply.index);
        // The logs match up to this entry, so later entries may be sent without waiting.
        if !peer.pipelined && reply.index >= reply.prev_index {
            peer.pipelined = true;
            peer.next = peer.matched.next();
        }
        if peer.in_flight.is_empty() {
            peer.awaiting_since = None;
        }
        self.advance_commit(now);
        self.propose_seat(from, folder);
    }

    pub(super) fn handle_install_reply(
        &mut self,
        now: TimePoint,
        from: &NodeName,
        folder: FolderId,
        (index, offset, round): (LogIndex, u64, u64),
    ) {
        if !self.record_contact(now, from, folder, round) {
            return;
        }
        let current = self.snapshot.as_ref().map(|snapshot| snapshot.meta.index);
        let RoleState::Leading(state) = &mut self.role else { return };
        let Some(peer) = state.peers.get_mut(from) else { return };
        if current != Some(index) {
            // The reply refers to an older snapshot: restart with the newest one.
            peer.snapshot_offset = Some(0);
            peer.awaiting_since = None;
        } else if peer.snapshot_offset != Some(offset) {
            peer.snapshot_offset = Some(offset);
            peer.awaiting_since = None;
        }
    }

    /// Records a reply from `from`; returns `false` if this host does not lead or does not know it.
    fn record_contact(
        &mut self,
        now: TimePoint,
        from: &NodeName,
        folder: FolderId,
        round: u64,
    ) -> bool {
        let seated = self.is_voter(from, folder);
        let RoleState::Leading(state) = &mut self.role else { return false };
        let Some(peer) = state.peers.get_mut(from) else { return false };
        if peer.folder.is_some_and(|known| known != folder) {
            if seated {
                // A replaced folder has no seat, so this is no delayed reply: the old folder is in
                // use again.
                log::warn!(
                    from = from.as_str();
                    "host replied from an earlier data folder; restarting replication to it"
                );
            }
            *peer = PeerProgress::new(now, peer.next);
        }
        peer.folder = Some(folder);
        peer.last_contact = now;
        peer.round = peer.round.max(round);
        true
    }

    /// Proposes a voter seat for a data folder that has caught up.
    fn propose_seat(&mut self, node: &NodeName, folder: FolderId) {
        if self.is_voter(node, folder) || !self.may_grant_seat(node) {
            return;
        }
        let commit = self.commit;
        let RoleState::Leading(state) = &mut self.role else { return };
        let own_term_committed = commit >= state.term_start_index;
        let Some(peer) = state.peers.get_mut(node) else { return };
        if !own_term_committed || peer.matched < commit || peer.pending_seat == Some(folder) {
            return;
        }
        peer.pending_seat = Some(folder);
        log::info!(
            node = node.as_str();
            "data folder has caught up; proposing a voter seat for it"
        );
        self.propose_seat_change(EntryPayload::Admit(VoterSeat { node: node.clone(), folder }));
    }

    /// Advances the commit index to the newest entry synced by this host and a majority.
    ///
    /// While a seat change of this leader is not committed, a majority of the previous voters must
    /// agree too: a new folder does not count for its own seat.
    pub(super) fn advance_commit(&mut self, now: TimePoint) {
        let RoleState::Leading(state) = &self.role else { return };
        let is_pending = self.commit < state.seat_change_index;
        let Some(mut index) = self.synced_by_majority(state, &self.latest_seats) else { return };
        if is_pending {
            let Some(previous) = self.synced_by_majority(state, &self.seats) else { return };
            index = index.min(previous);
        }
        // Entries of earlier terms are committed only together with an entry of this term: even
        // when a majority holds them, another leader may still overwrite them.
        if self.log.term_at(index) == Some(self.hard.term) {
            self.commit_to(index);
            self.resign_if_removed(now);
        }
    }

    /// Index of the newest entry synced by this host and a majority of `seats`.
    fn synced_by_majority(&self, state: &LeaderState, seats: &[VoterSeat]) -> Option<LogIndex> {
        let holds = |node: &NodeName, peer: &PeerProgress| {
            peer.folder.is_some_and(|folder| holds_seat(seats, node, folder))
        };
        let peers = state.peers.iter().filter(|(node, peer)| holds(node, peer));
        let mut synced: Vec<LogIndex> = peers.map(|(_, peer)| peer.matched).collect();
        let own = self.sync.durable();
        if holds_seat(seats, &self.node, self.folder) {
            synced.push(own);
        }
        synced.sort_by(|a, b| b.cmp(a));
        let index = synced.get(self.majority_of(seats) - 1).copied()?;
        Some(index.min(own))
    }

    /// Outputs the reads that a majority has confirmed.
    pub(super) fn confirm_reads(&mut self) {
        let majority = self.majority();
        let commit = self.commit;
        let RoleState::Leading(state) = &self.role else { return };
        if state.reads.is_empty() || commit < state.term_start_index {
            return;
        }
        let mut rounds: Vec<u64> = state
            .peers
            .iter()
            .filter(|(node, peer)| peer.folder.is_some_and(|folder| self.is_voter(node, folder)))
            .map(|(_, peer)| peer.round)
            .collect();
        if self.is_self_voter() {
            rounds.push(state.round);
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(confirmed) = rounds.get(majority - 1).copied() else { return };
        let RoleState::Leading(state) = &mut self.role else { return };
        while let Some(read) = state.reads.front() {
            if read.round > confirmed {
                break;
            }
            self.output.confirmed.push(read.token);
            state.reads.pop_front();
        }
    }

    /// Removes and returns the token of the proposal that `entry` came from, if it was made here.
    pub(super) fn pop_proposal_token(&mut self, entry: &LogEntry) -> Option<ProposalToken> {
        let RoleState::Leading(state) = &mut self.role else { return None };
        let first = state.proposals.front()?;
        if first.index != entry.index || entry.term != self.hard.term {
            return None;
        }
        let proposal = state.proposals.pop_front()?;
        state.proposal_bytes -= proposal.bytes;
        Some(proposal.token)
    }
}
