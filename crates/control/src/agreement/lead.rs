//! The leader's side: proposals, replication, majority commit and confirmed reads.

use std::collections::VecDeque;

use briartray_model::names::{LogIndex, NodeName};
use briartray_model::{SortedTable, TimePoint};

use super::core::{AgreementCore, RoleState};
use super::log::entry_bytes;
use super::{
    AppendCall, AppendReply, EntryPayload, FolderId, InstallCall, LogEntry, MemberSeat, PeerBody,
    ProposalRefusal, ProposalToken, ReadToken, StorageWrite,
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

/// Bytes of entries in one message, unless a single entry is larger.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Bytes of entries on the way to one host without an answer.
const MAX_IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;

/// Messages on the way to one host without an answer.
const MAX_IN_FLIGHT: usize = 8;

/// Bytes of a snapshot in one message.
const PIECE_BYTES: usize = 256 * 1024;

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
    round: u64,
    pub(super) token: ReadToken,
}

/// How far one other host is.
#[derive(Debug)]
struct PeerProgress {
    folder: Option<FolderId>,
    next: LogIndex,
    matched: LogIndex,
    /// Entries are sent ahead of answers; otherwise one message at a time finds the common point.
    streaming: bool,
    in_flight: VecDeque<(LogIndex, usize)>,
    in_flight_bytes: usize,
    asked_at: Option<TimePoint>,
    heard_at: TimePoint,
    round: u64,
    piece: Option<u64>,
    admitting: Option<FolderId>,
}

/// What a leader keeps for its term.
#[derive(Debug)]
pub(super) struct LeadState {
    first: LogIndex,
    pub(super) beat_at: TimePoint,
    beat_due: bool,
    round: u64,
    peers: SortedTable<NodeName, PeerProgress>,
    pub(super) proposals: VecDeque<OpenProposal>,
    proposal_bytes: usize,
    pub(super) reads: VecDeque<OpenRead>,
}

impl LeadState {
    /// A leader whose first own entry will be `first`.
    pub(super) fn new(now: TimePoint, first: LogIndex, peers: &[NodeName]) -> Self {
        let progress = |node: &NodeName| {
            let progress = PeerProgress {
                folder: None,
                next: first,
                matched: LogIndex::default(),
                streaming: false,
                in_flight: VecDeque::new(),
                in_flight_bytes: 0,
                asked_at: None,
                heard_at: now,
                round: 0,
                piece: None,
                admitting: None,
            };
            (node.clone(), progress)
        };
        Self {
            first,
            beat_at: now,
            beat_due: true,
            round: 0,
            peers: peers.iter().map(progress).collect(),
            proposals: VecDeque::new(),
            proposal_bytes: 0,
            reads: VecDeque::new(),
        }
    }
}

impl PeerProgress {
    fn forget_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    fn acknowledge(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(index.next());
        while let Some((last, bytes)) = self.in_flight.front().copied() {
            if last > index {
                break;
            }
            self.in_flight_bytes -= bytes;
            self.in_flight.pop_front();
        }
    }

    fn has_room(&self) -> bool {
        if !self.streaming {
            return self.asked_at.is_none();
        }
        self.in_flight.len() < MAX_IN_FLIGHT && self.in_flight_bytes < MAX_IN_FLIGHT_BYTES
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
        if hangs && self.members.len() > 1 {
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
            .values()
            .filter(|peer| peer.folder.is_none() && now.since(peer.heard_at) < self.times.election)
            .count();
        if heard + fresh + 1 < self.majority() {
            log::warn!(term = self.hard.term.0; "no majority answers; stepping down");
            self.step_down(now, self.hard.term);
        }
    }

    /// Sends what the other hosts lack, and heartbeats that are due.
    pub(super) fn replicate(&mut self, now: TimePoint) {
        let RoleState::Leading(lead) = &mut self.role else { return };
        let reads_wait = lead.reads.back().is_some_and(|read| read.round > lead.round);
        if reads_wait || lead.beat_due {
            lead.round += 1;
        }
        let beat = reads_wait || std::mem::take(&mut lead.beat_due);
        for node in self.peers() {
            self.replicate_to(now, &node, beat);
        }
    }

    fn replicate_to(&mut self, now: TimePoint, node: &NodeName, beat: bool) {
        let resend_after = self.times.heartbeat * 2;
        let (last, base) = (self.log.last_index(), self.log.base());
        let RoleState::Leading(lead) = &mut self.role else { return };
        let Some(peer) = lead.peers.get_mut(node) else { return };
        // A lost message or answer is made up for after a while.
        if peer.asked_at.is_some_and(|at| now.since(at) >= resend_after) {
            peer.asked_at = None;
        }
        if peer.next <= base {
            let due = peer.asked_at.is_none();
            if due || beat {
                self.send_piece(now, node, due);
            }
            return;
        }
        let mut sent = false;
        while let Some(next) = self.next_entries(node).filter(|next| *next <= last) {
            let entries = self.log.slice(next, MAX_BATCH_BYTES);
            self.send_append(now, node, entries);
            sent = true;
        }
        if beat && !sent {
            self.send_append(now, node, Vec::new());
        }
    }

    /// Where entries to `node` go on, when there is room for more.
    fn next_entries(&self, node: &NodeName) -> Option<LogIndex> {
        let RoleState::Leading(lead) = &self.role else { return None };
        lead.peers.get(node).filter(|peer| peer.has_room()).map(|peer| peer.next)
    }

    fn send_append(&mut self, now: TimePoint, node: &NodeName, entries: Vec<LogEntry>) {
        let commit = self.commit;
        let RoleState::Leading(lead) = &mut self.role else { return };
        let round = lead.round;
        let Some(peer) = lead.peers.get_mut(node) else { return };
        let prev_index = LogIndex(peer.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else { return };
        if let Some(last) = entries.last() {
            peer.asked_at = Some(now);
            if peer.streaming {
                let bytes = entries.iter().map(entry_bytes).sum();
                peer.next = last.index.next();
                peer.in_flight.push_back((last.index, bytes));
                peer.in_flight_bytes += bytes;
            }
        }
        let call = AppendCall { prev_index, prev_term, entries, commit, round };
        self.send(node.clone(), PeerBody::Append(call));
    }

    /// Sends the next piece of the snapshot, or an empty one as a heartbeat.
    fn send_piece(&mut self, now: TimePoint, node: &NodeName, with_data: bool) {
        let Some(snapshot) = &self.snapshot else { return };
        let RoleState::Leading(lead) = &mut self.role else { return };
        let round = lead.round;
        let Some(peer) = lead.peers.get_mut(node) else { return };
        let total = snapshot.data.len();
        let offset = *peer.piece.get_or_insert(0);
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = if with_data { (start + PIECE_BYTES).min(total) } else { start };
        if with_data {
            peer.asked_at = Some(now);
        }
        let call = InstallCall {
            meta: snapshot.meta.clone(),
            offset,
            total: total as u64,
            data: snapshot.data[start..end].to_vec(),
            round,
        };
        self.send(node.clone(), PeerBody::Install(call));
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
            let fresh = PeerProgress {
                folder: Some(folder),
                next: peer.next,
                matched: LogIndex::default(),
                streaming: false,
                in_flight: VecDeque::new(),
                in_flight_bytes: 0,
                asked_at: None,
                heard_at: now,
                round: 0,
                piece: None,
                admitting: None,
            };
            *peer = fresh;
        }
        peer.folder = Some(folder);
        peer.heard_at = now;
        peer.round = peer.round.max(round);
        true
    }

    /// Proposes a seat for a folder that has caught up.
    fn admit(&mut self, node: &NodeName, folder: FolderId) {
        if self.is_seat(node, folder) {
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
        self.append(EntryPayload::Admit(MemberSeat { node: node.clone(), folder }));
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
