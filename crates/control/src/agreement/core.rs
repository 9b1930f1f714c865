//! The core: what every control host keeps, whatever its role.

use std::time::Duration;

use briartray_model::names::{LogIndex, NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint, plain_choice};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::follow::IncomingSnapshot;
use super::lead::LeadState;
use super::log::EntryLog;
use super::sync::SyncBook;
use super::{
    CommittedEntry, CoreOutput, EntryPayload, FolderId, HardState, LogDelivery, LogSnapshot,
    MemberSeat, PeerBody, PeerMessage, RecoveredState, StorageWrite,
};

/// Committed entries in memory after which a snapshot is due.
const SNAPSHOT_ENTRIES: u64 = 4096;

/// Bytes of entries in memory after which a snapshot is due.
const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Entries that stay behind a snapshot, so that a host that is a little late needs no snapshot.
const TRAILING_ENTRIES: u64 = 512;

/// Part of the usual election timeout that a host waits after its start, as a fraction.
const FIRST_ELECTION: (u32, u32) = (1, 8);

/// The times of the agreement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgreementTimes {
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Shortest time without a leader before an election; the longest is twice as long.
    pub election: Duration,
}

impl Default for AgreementTimes {
    fn default() -> Self {
        Self { heartbeat: Duration::from_millis(150), election: Duration::from_millis(900) }
    }
}

/// Who takes part, seen from one control host.
#[derive(Debug, Clone, PartialEq)]
pub struct AgreementSettings {
    /// This host.
    pub node: NodeName,
    /// Its data folder.
    pub folder: FolderId,
    /// All control hosts, this one among them; those known so far when membership is dynamic.
    pub members: Vec<NodeName>,
    /// How it is settled who votes.
    pub membership: MembershipMode,
    /// The times.
    pub times: AgreementTimes,
    /// Seed of the election timeouts.
    pub seed: u64,
}

plain_choice! {
    /// How it is settled who votes.
    #[derive(Default)]
    pub enum MembershipMode {
        /// The settings name every voter, and together they found the log.
        #[default]
        Fixed,
        /// One host founds the log alone; every other voter is added and removed through the log.
        Dynamic {
            /// Voters that the log is grown to.
            voters: usize,
        },
    }

    /// What a control host is in the current term.
    pub enum MemberRole {
        /// Its data folder has no seat yet; it takes entries and does not vote.
        Learner,
        /// It follows a leader, or waits for one.
        Follower,
        /// It asks for votes.
        Candidate,
        /// It leads.
        Leader,
    }
}

/// What a host does in the current term.
#[derive(Debug)]
pub(super) enum RoleState {
    Following,
    /// Asks whether it would get votes, without changing a term.
    PreVoting(Vec<NodeName>),
    Voting(Vec<NodeName>),
    Leading(LeadState),
}

/// The replicated log as one control host sees it.
#[derive(Debug)]
pub struct AgreementCore {
    pub(super) node: NodeName,
    pub(super) folder: FolderId,
    pub(super) members: Vec<NodeName>,
    pub(super) membership: MembershipMode,
    pub(super) times: AgreementTimes,
    random: ChaCha8Rng,
    pub(super) hard: HardState,
    pub(super) founding: Option<Vec<MemberSeat>>,
    pub(super) seats: Vec<MemberSeat>,
    pub(super) role: RoleState,
    pub(super) leader: Option<NodeName>,
    pub(super) leader_heard: Option<TimePoint>,
    pub(super) election_at: TimePoint,
    pub(super) hello_at: TimePoint,
    pub(super) greeted: SortedTable<NodeName, FolderId>,
    pub(super) log: EntryLog,
    pub(super) snapshot: Option<LogSnapshot>,
    pub(super) commit: LogIndex,
    delivered: LogIndex,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) sync: SyncBook,
    pub(super) output: CoreOutput,
}

impl AgreementCore {
    /// A core that goes on from what its data folder held.
    ///
    /// What is known to be committed comes out of the first drain; nothing later is adopted
    /// before a majority has confirmed it.
    pub fn new(now: TimePoint, settings: AgreementSettings, recovered: RecoveredState) -> Self {
        let mut members = settings.members;
        members.sort();
        members.dedup();
        let RecoveredState { hard, founding, snapshot, entries } = recovered;
        let log = rebuild_log(snapshot.as_ref(), entries);
        let base = snapshot.as_ref().map_or(LogIndex::default(), |snapshot| snapshot.meta.index);
        let seats = match &snapshot {
            Some(snapshot) => snapshot.meta.seats.clone(),
            None => founding.clone().unwrap_or_default(),
        };
        let commit = hard.commit.max(base).min(log.last_index());
        let mut core = Self {
            node: settings.node,
            folder: settings.folder,
            members,
            membership: settings.membership,
            times: settings.times,
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            hard,
            founding,
            seats,
            role: RoleState::Following,
            leader: None,
            leader_heard: None,
            election_at: now,
            hello_at: now,
            greeted: SortedTable::new(),
            sync: SyncBook::new(log.last_index()),
            log,
            snapshot: snapshot.clone(),
            commit,
            delivered: base,
            incoming: None,
            output: CoreOutput::default(),
        };
        if let Some(snapshot) = snapshot {
            core.output.deliveries.push(LogDelivery::Restore(snapshot));
        }
        core.deliver();
        // A single member has nobody to wait for.
        if core.membership != MembershipMode::Fixed || core.members.len() > 1 {
            core.delay_pre_vote(now);
        }
        core
    }

    /// When a host that has heard of no leader since its start asks whether it would be elected.
    ///
    /// Where voters come and go it waits a part of the usual time only, each time: when every process
    /// was stopped at once, nobody leads, and the usual wait is most of the time without service. The
    /// first questions, or the answers, meet hosts that are not up yet. A leader that does exist is
    /// not disturbed, since its followers refuse the pre-vote.
    pub(super) fn delay_pre_vote(&mut self, now: TimePoint) {
        self.delay_election(now);
        let is_new = self.leader_heard.is_none();
        if is_new && matches!(self.membership, MembershipMode::Dynamic { .. }) {
            let usual = self.election_at.since(now);
            self.election_at = now.after(usual * FIRST_ELECTION.0 / FIRST_ELECTION.1);
        }
    }

    /// Takes note of the time: elections, heartbeats, and the end of a leadership that a majority
    /// no longer confirms.
    pub fn tick(&mut self, now: TimePoint) {
        self.check_quorum(now);
        match &self.role {
            RoleState::Leading(_) => self.beat(now),
            _ if !self.has_seat() => self.seek_seat(now),
            _ if now >= self.election_at => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Takes a message of another control host.
    pub fn receive(&mut self, now: TimePoint, message: PeerMessage) {
        // A process that slept finds its leadership gone before it believes old answers.
        self.check_quorum(now);
        if message.from == self.node || !self.members.contains(&message.from) {
            return;
        }
        if !self.accept_term(now, &message) {
            return;
        }
        let PeerMessage { from, folder, term, body } = message;
        match body {
            PeerBody::Hello => self.take_hello(from, folder),
            PeerBody::Welcome { caller, founding } if caller == self.folder => {
                self.take_welcome(now, from, folder, founding);
            }
            PeerBody::Welcome { .. } => {}
            PeerBody::PreVote(call) => self.answer_pre_vote(now, from, term, &call),
            PeerBody::PreVoteReply { granted } => {
                self.take_pre_vote(now, from, folder, term, granted);
            }
            PeerBody::Vote(call) => self.answer_vote(now, from, &call),
            PeerBody::VoteReply { granted } => self.take_vote(now, from, folder, granted),
            PeerBody::Append(call) => self.take_append(now, from, call),
            PeerBody::AppendReply(reply) => self.take_append_reply(now, &from, folder, &reply),
            PeerBody::Install(call) => self.take_install(now, from, call),
            PeerBody::InstallReply { index, offset, round } => {
                self.take_install_reply(now, &from, folder, (index, offset, round));
            }
        }
    }

    /// Takes note that the batch with `ticket` is synced.
    pub fn stored(&mut self, now: TimePoint, ticket: u64) {
        self.check_quorum(now);
        let free = self.sync.finish(ticket);
        self.output.messages.extend(free);
        self.count_own_vote(now);
        self.advance_commit();
    }

    /// Hands out everything that follows from the steps so far.
    pub fn drain(&mut self, now: TimePoint) -> CoreOutput {
        self.check_quorum(now);
        self.replicate(now);
        self.advance_commit();
        self.confirm_reads();
        self.output.batch = self.sync.take_batch(now, self.log.last_index());
        std::mem::take(&mut self.output)
    }

    /// When `tick` is needed again at the latest.
    pub fn deadline(&self) -> TimePoint {
        match &self.role {
            RoleState::Leading(lead) => lead.beat_at,
            _ if !self.has_seat() => self.hello_at,
            _ => self.election_at,
        }
    }

    /// What this host is.
    pub fn role(&self) -> MemberRole {
        match &self.role {
            RoleState::Leading(_) => MemberRole::Leader,
            RoleState::PreVoting(_) | RoleState::Voting(_) => MemberRole::Candidate,
            RoleState::Following if self.has_seat() => MemberRole::Follower,
            RoleState::Following => MemberRole::Learner,
        }
    }

    /// The current term.
    pub fn term(&self) -> TermNumber {
        self.hard.term
    }

    /// Who leads, when known.
    pub fn leader(&self) -> Option<&NodeName> {
        self.leader.as_ref()
    }

    /// Last entry known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Last entry of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Last entry that is synced here.
    pub fn durable(&self) -> LogIndex {
        self.sync.durable()
    }

    /// Who may vote, as far as is committed here.
    pub fn seats(&self) -> &[MemberSeat] {
        &self.seats
    }

    /// Whether a snapshot of the state should be taken now.
    ///
    /// The log may grow as large as the last snapshot first: with a fixed bound a large state
    /// would be encoded and written again and again for a few entries each time.
    pub fn wants_snapshot(&self) -> bool {
        let (covered, size) = self
            .snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.meta.index.0, snapshot.data.len()));
        let (fresh, bytes) = (self.delivered.0 - covered, self.log.bytes());
        fresh > 0 && bytes >= size && (fresh >= SNAPSHOT_ENTRIES || bytes >= SNAPSHOT_BYTES)
    }

    /// Keeps `data`, the state after every entry delivered so far, and drops what it covers.
    pub fn compact(&mut self, data: Vec<u8>) {
        let covered = self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.meta.index);
        if self.delivered == covered {
            return;
        }
        let Some(term) = self.log.term_at(self.delivered) else { return };
        let meta = super::SnapshotMeta { index: self.delivered, term, seats: self.seats.clone() };
        let snapshot = LogSnapshot { meta, data: std::sync::Arc::new(data) };
        let by_bytes = self.log.bytes() >= SNAPSHOT_BYTES;
        let trailing = if by_bytes { 0 } else { TRAILING_ENTRIES };
        let keep_after = LogIndex(self.delivered.0.saturating_sub(trailing)).max(self.log.base());
        self.log.compact(keep_after);
        self.sync.write(StorageWrite::Snapshot { snapshot: snapshot.clone(), keep_after });
        self.snapshot = Some(snapshot);
    }

    /// How many seats make a majority.
    pub(super) fn majority(&self) -> usize {
        match self.membership {
            MembershipMode::Fixed => self.members.len() / 2 + 1,
            MembershipMode::Dynamic { .. } => self.seats.len() / 2 + 1,
        }
    }

    pub(super) fn delay_election(&mut self, now: TimePoint) {
        let base = u64::try_from(self.times.election.as_micros()).unwrap_or(u64::MAX);
        let wait = self.random.random_range(base..base * 2);
        self.election_at = now.after(Duration::from_micros(wait));
    }

    pub(super) fn write_hard(&mut self) {
        self.hard.commit = self.commit;
        self.sync.write_hard(StorageWrite::Hard(self.hard.clone()));
    }

    pub(super) fn message(&self, body: PeerBody) -> PeerMessage {
        let (from, folder) = (self.node.clone(), self.folder);
        PeerMessage { from, folder, term: self.hard.term, body }
    }

    pub(super) fn send(&mut self, to: NodeName, body: PeerBody) {
        let message = self.message(body);
        self.output.messages.push((to, message));
    }

    /// Sends `body` once `ticket` is synced.
    pub(super) fn send_after(&mut self, ticket: u64, to: NodeName, body: PeerBody) {
        let message = self.message(body);
        if let Some(free) = self.sync.hold(ticket, to, message) {
            self.output.messages.push(free);
        }
    }

    /// Takes `index` as committed and delivers what that covers.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        if index > self.commit {
            self.commit = index.min(self.log.last_index());
            self.deliver();
        }
    }

    /// Goes on from a snapshot that replaced the log.
    pub(super) fn restore(&mut self, snapshot: LogSnapshot) {
        self.commit = snapshot.meta.index;
        self.delivered = snapshot.meta.index;
        self.seats.clone_from(&snapshot.meta.seats);
        self.snapshot = Some(snapshot.clone());
        self.output.deliveries.push(LogDelivery::Restore(snapshot));
    }

    fn deliver(&mut self) {
        while self.delivered < self.commit {
            let Some(entry) = self.log.get(self.delivered.next()).cloned() else { return };
            self.delivered = entry.index;
            match &entry.payload {
                EntryPayload::Admit(seat) => {
                    self.seat(seat.clone());
                    self.hurry_beat();
                }
                EntryPayload::Dismiss(node) => {
                    self.unseat(node);
                    self.hurry_beat();
                }
                EntryPayload::Blank | EntryPayload::Command(_) => {}
            }
            let token = self.take_token(&entry);
            self.output.deliveries.push(LogDelivery::Entry(CommittedEntry { entry, token }));
        }
    }
}

/// The log in memory: entries that follow the snapshot or reach back before it without a gap.
fn rebuild_log(snapshot: Option<&LogSnapshot>, entries: Vec<super::LogEntry>) -> EntryLog {
    let covered = snapshot.map(|snapshot| (snapshot.meta.index, snapshot.meta.term));
    let (base, term) = covered.unwrap_or_default();
    let mut log = EntryLog::after(base, term);
    for entry in entries {
        if entry.index == log.last_index().next() {
            log.push(entry);
        }
    }
    log
}
