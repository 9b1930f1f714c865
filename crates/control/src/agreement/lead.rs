//! The leader's side: proposals, answers of the other hosts, majority commit and confirmed reads.

use std::collections::VecDeque;

use briartray_model::names::{LogIndex, NodeName};
use briartray_model::{SortedTable, TimePoint};

use super::core::{AgreementCore, RoleState};
use super::progress::PeerProgress;
use super::{
    AppendReply, EntryPayload, FolderId, LogEntry, MemberSeat, ProposalRefusal, ProposalToken,
    ReadToken, StorageWrite,
};

/// Proposals that may wait for a majority.
const MAX_PROPOSALS: usize = 8192;

/// Bytes of entries that may wait for a majority.
const MAX_PROPOSAL_BYTES: usize = 16 * 1024 * 1024;

/// Shortest election timeouts that a write and sync of the leader may take.
const MAX_SYNC_TIMEOUTS: u32 = 4;

/// Largest single proposal, in bytes.
const MAX_COMMAND_BYTES: usize = 6 * 1024 * 1024;

/// Reads that may wait for a majority.
const MAX_READS: usize = 65_536;

/// A proposal that is not committed yet.
#[derive(Debug)]
pub(super) struct OpenProposal {
    index: LogIndex,
    bytes: usize,
    pub(super) token: ProposalToken,
}

/// A read that waits for a majority's answer to `round`.
#[derive(Debug)]
pub(super) struct OpenRead {
    pub(super) round: u64,
    pub(super) token: ReadToken,
}

/// What a leader keeps for its term.
#[derive(Debug)]
pub(super) struct LeadState {
    pub(super) first: LogIndex,
    pub(super) beat_at: TimePoint,
    pub(super) beat_due: bool,
    pub(super) round: u64,
    pub(super) peers: SortedTable<NodeName, PeerProgress>,
    pub(super) proposals: VecDeque<OpenProposal>,
    proposal_bytes: usize,
    pub(super) reads: VecDeque<OpenRead>,
    /// The newest change of the seats proposed here; the next one waits until it is committed.
    pub(super) seat_change: LogIndex,
}

impl LeadState {
    /// A leader whose first own entry will be `first`.
    pub(super) fn new(now: TimePoint, first: LogIndex, peers: &[NodeName]) -> Self {
        let progress = |node: &NodeName| (node.clone(), PeerProgress::unknown(now, first));
        Self {
            first,
            beat_at: now,
            beat_due: true,
            round: 0,
            peers: peers.iter().map(progress).collect(),
            proposals: VecDeque::new(),
            proposal_bytes: 0,
            reads: VecDeque::new(),
            seat_change: LogIndex::default(),
        }
    }
}

impl AgreementCore {
    /// Proposes `command`; its outcome comes with `token` out of a later drain.
    ///
    /// # Errors
    /// A `ProposalRefusal` when this host does not lead or too much waits; nothing was kept then.
    pub fn propose(
        &mut self,
        now: TimePoint,
        token: ProposalToken,
        command: Vec<u8>,
    ) -> Result<(), ProposalRefusal> {
        self.check_quorum(now);
        let RoleState::Leading(lead) = &mut self.role else {
            return Err(ProposalRefusal::NotLeader { leader: self.leader.clone() });
        };
        if command.len() > MAX_COMMAND_BYTES {
            let size = command.len();
            return Err(ProposalRefusal::TooLarge { size, limit: MAX_COMMAND_BYTES });
        }
        let bytes = command.len();
        if lead.proposals.len() >= MAX_PROPOSALS || lead.proposal_bytes >= MAX_PROPOSAL_BYTES {
            return Err(ProposalRefusal::Busy);
        }
        let index = self.log.last_index().next();
        lead.proposals.push_back(OpenProposal { index, bytes, token });
        lead.proposal_bytes += bytes;
        self.append(EntryPayload::Command(command));
        Ok(())
    }

    /// Asks for a confirmation that this host still leads; `token` comes out of a later drain
    /// once a majority has answered a message that was sent after this call.
    ///
    /// # Errors
    /// A `ProposalRefusal` when this host does not lead or too many reads wait.
    pub fn read(&mut self, now: TimePoint, token: ReadToken) -> Result<(), ProposalRefusal> {
        self.check_quorum(now);
        let RoleState::Leading(lead) = &mut self.role else {
            return Err(ProposalRefusal::NotLeader { leader: self.leader.clone() });
        };
        if lead.reads.len() >= MAX_READS {
            return Err(ProposalRefusal::Busy);
        }
        // Messages of the current round may already be on their way.
        lead.reads.push_back(OpenRead { round: lead.round + 1, token });
        Ok(())
    }

    /// Adds an entry of the own term.
    pub(super) fn append(&mut self, payload: EntryPayload) {
        let entry = LogEntry { index: self.log.last_index().next(), term: self.hard.term, payload };
        self.log.push(entry.clone());
        self.sync.write(StorageWrite::Append(vec![entry]));
    }

    /// Marks a heartbeat as due.
    pub(super) fn beat(&mut self, now: TimePoint) {
        let heartbeat = self.times.heartbeat;
        let RoleState::Leading(lead) = &mut self.role else { return };
        if now >= lead.beat_at {
            lead.beat_due = true;
            lead.beat_at = now.after(heartbeat);
        }
    }

    /// Steps down when no majority was heard for the shortest election timeout.
    ///
    /// A leader that is cut off or slept would otherwise go on answering while another one is
    /// elected: operators would see changes that are not in force. A leader whose disk hangs
    /// commits nothing, while its heartbeats keep the others from electing one whose disk works.
    pub(super) fn check_quorum(&mut self, now: TimePoint) {
        let RoleState::Leading(lead) = &self.role else { return };
        let hangs = self.sync.waiting(now) >= self.times.election * MAX_SYNC_TIMEOUTS;
        if hangs && self.majority() > 1 {
            log::warn!(term = self.hard.term.0; "the disk hangs; stepping down");
            return self.step_down(now, self.hard.term);
        }
        let heard = lead
            .peers
            .iter()
            .filter(|(node, peer)| {
                peer.folder.is_some_and(|folder| self.is_seat(node, folder))
                    && now.since(peer.heard_at) < self.times.election
            })
            .count();
        // A new leader has heard the votes, but not yet which folder sent them.
        let fresh = lead
            .peers
            .iter()
            .filter(|(node, peer)| {
                peer.folder.is_none()
                    && self.seats.iter().any(|seat| seat.node == **node)
                    && now.since(peer.heard_at) < self.times.election
            })
            .count();
        if heard + fresh + 1 < self.majority() {
            log::warn!(term = self.hard.term.0; "no majority answers; stepping down");
            self.step_down(now, self.hard.term);
        }
    }

    pub(super) fn take_append_reply(
        &mut self,
        now: TimePoint,
        from: &NodeName,
        folder: FolderId,
        reply: &AppendReply,
    ) {
        if !self.hear(now, from, folder, reply.round) {
            return;
        }
        let last = self.log.last_index();
        let RoleState::Leading(lead) = &mut self.role else { return };
        let Some(peer) = lead.peers.get_mut(from) else { return };
        if !reply.matched {
            if reply.prev_index <= peer.matched {
                // A late answer to a question of long ago.
                return;
            }
            peer.streaming = false;
            peer.asked_at = None;
            peer.forget_in_flight();
            peer.next = reply.index.min(reply.prev_index).max(peer.matched).next();
            return;
        }
        if reply.index > last {
            log::error!(from = from.as_str(); "a host acknowledges more than was sent");
            return;
        }
        peer.piece = None;
        peer.acknowledge(reply.index);
        // Entries before the one that matched are held; what follows may be sent ahead.
        if !peer.streaming && reply.index >= reply.prev_index {
            peer.streaming = true;
            peer.next = peer.matched.next();
        }
        if peer.in_flight.is_empty() {
            peer.asked_at = None;
        }
        self.advance_commit();
        self.admit(from, folder);
    }

    pub(super) fn take_install_reply(
        &mut self,
        now: TimePoint,
        from: &NodeName,
        folder: FolderId,
        (index, offset, round): (LogIndex, u64, u64),
    ) {
        if !self.hear(now, from, folder, round) {
            return;
        }
        let current = self.snapshot.as_ref().map(|snapshot| snapshot.meta.index);
        let RoleState::Leading(lead) = &mut self.role else { return };
        let Some(peer) = lead.peers.get_mut(from) else { return };
        if current != Some(index) {
            // Answers to pieces of an older snapshot: begin again with the newest one.
            peer.piece = Some(0);
            peer.asked_at = None;
        } else if peer.piece != Some(offset) {
            peer.piece = Some(offset);
            peer.asked_at = None;
        }
    }

    /// Takes note that `from` answered; `false` when it does not matter.
    fn hear(&mut self, now: TimePoint, from: &NodeName, folder: FolderId, round: u64) -> bool {
        let seated = self.is_seat(from, folder);
        let RoleState::Leading(lead) = &mut self.role else { return false };
        let Some(peer) = lead.peers.get_mut(from) else { return false };
        if peer.folder.is_some_and(|known| known != folder) {
            if seated {
                // A late answer of a folder that is gone would have no seat; this one is back.
                log::warn!(from = from.as_str(); "a host answers from its earlier data folder");
            }
            *peer = PeerProgress::unknown(now, peer.next);
        }
        peer.folder = Some(folder);
        peer.heard_at = now;
        peer.round = peer.round.max(round);
        true
    }

    /// Proposes a seat for a folder that has caught up.
    fn admit(&mut self, node: &NodeName, folder: FolderId) {
        if self.is_seat(node, folder) || !self.may_admit(node) {
            return;
        }
        let commit = self.commit;
        let RoleState::Leading(lead) = &mut self.role else { return };
        let ready = commit >= lead.first;
        let Some(peer) = lead.peers.get_mut(node) else { return };
        if !ready || peer.matched < commit || peer.admitting == Some(folder) {
            return;
        }
        peer.admitting = Some(folder);
        log::info!(node = node.as_str(); "a new data folder has caught up and gets its seat");
        self.change_seats(EntryPayload::Admit(MemberSeat { node: node.clone(), folder }));
    }

    /// Commits what a majority has synced, this host among it, in the current term.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leading(lead) = &self.role else { return };
        let mut synced: Vec<LogIndex> = lead
            .peers
            .iter()
            .filter(|(node, peer)| peer.folder.is_some_and(|folder| self.is_seat(node, folder)))
            .map(|(_, peer)| peer.matched)
            .collect();
        let own = self.sync.durable();
        synced.push(own);
        synced.sort_by(|a, b| b.cmp(a));
        let Some(index) = synced.get(self.majority() - 1).copied() else { return };
        let index = index.min(own);
        // Entries of earlier terms become committed only together with one of this term: a
        // majority that holds an old entry may still be overruled by another leader.
        if self.log.term_at(index) == Some(self.hard.term) {
            self.commit_to(index);
        }
    }

    /// Hands out the reads that a majority has confirmed.
    pub(super) fn confirm_reads(&mut self) {
        let majority = self.majority();
        let commit = self.commit;
        let RoleState::Leading(lead) = &self.role else { return };
        if lead.reads.is_empty() || commit < lead.first {
            return;
        }
        let mut rounds: Vec<u64> = lead
            .peers
            .iter()
            .filter(|(node, peer)| peer.folder.is_some_and(|folder| self.is_seat(node, folder)))
            .map(|(_, peer)| peer.round)
            .collect();
        rounds.push(lead.round);
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(confirmed) = rounds.get(majority - 1).copied() else { return };
        let RoleState::Leading(lead) = &mut self.role else { return };
        while let Some(read) = lead.reads.front() {
            if read.round > confirmed {
                break;
            }
            self.output.confirmed.push(read.token);
            lead.reads.pop_front();
        }
    }

    /// The proposal that `entry` came from, when it was made here in this term.
    pub(super) fn take_token(&mut self, entry: &LogEntry) -> Option<ProposalToken> {
        let RoleState::Leading(lead) = &mut self.role else { return None };
        let first = lead.proposals.front()?;
        if first.index != entry.index || entry.term != self.hard.term {
            return None;
        }
        let proposal = lead.proposals.pop_front()?;
        lead.proposal_bytes -= proposal.bytes;
        Some(proposal.token)
    }
}
