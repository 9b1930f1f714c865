//! The consensus state machine: state that a control host keeps in every role.

use std::time::Duration;

use briartray_model::names::{LogIndex, NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint, plain_choice};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::follower::IncomingSnapshot;
use super::leader::LeaderState;
use super::log::EntryLog;
use super::sync::SyncTracker;
use super::{
    CommittedEntry, CoreOutput, EntryPayload, FolderId, HardState, LogDelivery, LogSnapshot,
    PeerBody, PeerMessage, RecoveredState, StorageWrite, VoterSeat,
};

/// Committed entries since the last snapshot that trigger a new one.
const SNAPSHOT_ENTRIES: u64 = 4096;

/// Bytes of log entries in memory that trigger a new snapshot.
const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Entries kept before a snapshot, so that a slightly lagging host can catch up without one.
const TRAILING_ENTRIES: u64 = 512;

/// Fraction (numerator, denominator) of the election timeout to wait after a start or a resignation of the leader.
const SHORT_ELECTION_FRACTION: (u32, u32) = (1, 8);

/// Timing parameters of the consensus protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgreementTimes {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Minimum election timeout; each timeout is drawn between this value and twice this value.
    pub election: Duration,
}

impl Default for AgreementTimes {
    fn default() -> Self {
        Self { heartbeat: Duration::from_millis(150), election: Duration::from_millis(900) }
    }
}

/// Configuration of the consensus protocol on one control host.
#[derive(Debug, Clone, PartialEq)]
pub struct AgreementSettings {
    /// Name of this host.
    pub node: NodeName,
    /// Id of its data folder.
    pub folder: FolderId,
    /// All control hosts including this one; the currently known ones with dynamic membership.
    pub members: Vec<NodeName>,
    /// How the set of voters is determined.
    pub membership: MembershipMode,
    /// Timing parameters.
    pub times: AgreementTimes,
    /// Seed for the randomized election timeouts.
    pub seed: u64,
}

plain_choice! {
    /// How the set of voters is determined.
    #[derive(Default)]
    pub enum MembershipMode {
        /// The settings list every voter; all of them together establish the founding
        /// configuration.
        #[default]
        Fixed,
        /// One host bootstraps the log alone; other voters are added and removed through the log.
        Dynamic {
            /// Target number of voters.
            voters: usize,
        },
    }

    /// Role of a control host in the current term.
    pub enum MemberRole {
        /// Receives entries but has no voter seat yet.
        Learner,
        /// Follows a leader, or waits for one.
        Follower,
        /// Requests votes.
        Candidate,
        /// Leads the current term.
        Leader,
    }
}

/// Role of this host with the state that belongs to it.
#[derive(Debug)]
pub(super) enum RoleState {
    Following,
    /// Polls the voters before an election, without increasing the term.
    PreVoting(Vec<NodeName>),
    Voting(Vec<NodeName>),
    Leading(LeaderState),
}

/// The replicated log from the point of view of one control host.
#[derive(Debug)]
pub struct AgreementCore {
    pub(super) node: NodeName,
    pub(super) folder: FolderId,
    pub(super) members: Vec<NodeName>,
    pub(super) membership: MembershipMode,
    pub(super) times: AgreementTimes,
    random: ChaCha8Rng,
    pub(super) hard: HardState,
    pub(super) founding: Option<Vec<VoterSeat>>,
    /// Seats as of the last committed entry.
    pub(super) seats: Vec<VoterSeat>,
    /// Seats as of the last entry of the log.
    pub(super) latest_seats: Vec<VoterSeat>,
    pub(super) role: RoleState,
    pub(super) leader: Option<NodeName>,
    pub(super) last_leader_contact: Option<TimePoint>,
    pub(super) election_deadline: TimePoint,
    /// Election attempts without a majority since this host last knew a leader.
    pub(super) failed_attempts: u32,
    pub(super) next_hello_at: TimePoint,
    pub(super) discovered: SortedTable<NodeName, FolderId>,
    pub(super) log: EntryLog,
    pub(super) snapshot: Option<LogSnapshot>,
    pub(super) commit: LogIndex,
    pub(super) last_delivered: LogIndex,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) sync: SyncTracker,
    pub(super) output: CoreOutput,
}

impl AgreementCore {
    /// Creates a core from the contents of the data folder.
    ///
    /// The first drain delivers the entries known to be committed. Later entries are delivered only
    /// after a majority has confirmed them.
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
            latest_seats: Vec::new(),
            role: RoleState::Following,
            leader: None,
            last_leader_contact: None,
            election_deadline: now,
            failed_attempts: 0,
            next_hello_at: now,
            discovered: SortedTable::new(),
            sync: SyncTracker::new(log.last_index()),
            log,
            snapshot: snapshot.clone(),
            commit,
            last_delivered: base,
            incoming: None,
            output: CoreOutput::default(),
        };
        if let Some(snapshot) = snapshot {
            core.output.deliveries.push(LogDelivery::Restore(snapshot));
        }
        core.deliver();
        core.recompute_latest_seats();
        // A single member needs no votes from others, so it starts its election at once.
        if core.membership != MembershipMode::Fixed || core.members.len() > 1 {
            core.schedule_pre_vote(now);
        }
        core
    }

    /// Schedules the next pre-vote.
    ///
    /// With dynamic membership, a host that has not heard from a leader since its start waits for
    /// only a fraction of the election timeout. After a simultaneous restart nobody leads, and the
    /// full timeout would make up most of the outage. The shortened wait applies to every attempt,
    /// because the first requests or replies reach hosts that are not up yet. An existing leader is
    /// not disturbed: its followers reject the pre-vote.
    pub(super) fn schedule_pre_vote(&mut self, now: TimePoint) {
        self.reset_election_timer(now);
        let is_new = self.last_leader_contact.is_none();
        if is_new && matches!(self.membership, MembershipMode::Dynamic { .. }) {
            self.shorten_election_timer(now);
        }
    }

    /// Reduces the election timer to a fraction, for use where no leader can be disturbed.
    pub(super) fn shorten_election_timer(&mut self, now: TimePoint) {
        let usual = self.election_deadline.since(now);
        self.election_deadline =
            now.after(usual * SHORT_ELECTION_FRACTION.0 / SHORT_ELECTION_FRACTION.1);
    }

    /// Advances time: starts elections, sends heartbeats, and steps down when a majority no longer
    /// responds.
    pub fn tick(&mut self, now: TimePoint) {
        self.check_quorum(now);
        match &self.role {
            RoleState::Leading(_) => self.schedule_heartbeat(now),
            _ if !self.may_stand() => self.discover_peers(now),
            // A new attempt would need another sync, so that none would end on a slow disk.
            _ if now >= self.election_deadline && self.awaits_own_vote() => {
                self.reset_election_timer(now);
            }
            _ if now >= self.election_deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Handles a message from another control host.
    pub fn receive(&mut self, now: TimePoint, message: PeerMessage) {
        // After a pause of the process, step down before old replies can count as a majority.
        self.check_quorum(now);
        if message.from == self.node || !self.members.contains(&message.from) {
            return;
        }
        if !self.reconcile_term(now, &message) {
            return;
        }
        let PeerMessage { from, folder, term, body } = message;
        match body {
            PeerBody::Hello => self.handle_hello(from, folder),
            PeerBody::Welcome { caller, founding } if caller == self.folder => {
                self.handle_welcome(now, from, folder, founding);
            }
            PeerBody::Welcome { .. } => {}
            PeerBody::PreVote(call) => self.handle_pre_vote(now, from, term, &call),
            PeerBody::PreVoteReply { granted } => {
                self.handle_pre_vote_reply(now, from, folder, term, granted);
            }
            PeerBody::Vote(call) => self.handle_vote(now, from, &call),
            PeerBody::VoteReply { granted } => self.handle_vote_reply(now, from, folder, granted),
            PeerBody::Append(call) => self.handle_append(now, from, call),
            PeerBody::AppendReply(reply) => self.handle_append_reply(now, &from, folder, &reply),
            PeerBody::Install(call) => self.handle_install(now, from, call),
            PeerBody::Resigned => self.handle_resignation(now, &from),
            PeerBody::InstallReply { index, offset, round } => {
                self.handle_install_reply(now, &from, folder, (index, offset, round));
            }
        }
    }

    /// Records that the batch with `ticket` has been synced to disk.
    pub fn stored(&mut self, now: TimePoint, ticket: u64) {
        self.check_quorum(now);
        let released = self.sync.mark_synced(ticket);
        self.output.messages.extend(released);
        self.count_own_vote(now);
        self.advance_commit(now);
    }

    /// Returns all output produced since the last drain.
    pub fn drain(&mut self, now: TimePoint) -> CoreOutput {
        self.check_quorum(now);
        self.replicate(now);
        self.advance_commit(now);
        self.confirm_reads();
        self.output.batch = self.sync.take_batch(now, self.log.last_index());
        std::mem::take(&mut self.output)
    }

    /// Latest time at which `tick` must be called again.
    pub fn deadline(&self) -> TimePoint {
        match &self.role {
            RoleState::Leading(state) => state.next_heartbeat_at,
            _ if !self.may_stand() => self.next_hello_at,
            _ => self.election_deadline,
        }
    }

    /// Current role of this host. It is a follower only once its voter seat is committed: until then, a
    /// majority of the previous voters is needed, and stopping one of them could prevent the commit.
    pub fn role(&self) -> MemberRole {
        match &self.role {
            RoleState::Leading(_) => MemberRole::Leader,
            RoleState::PreVoting(_) | RoleState::Voting(_) => MemberRole::Candidate,
            RoleState::Following if self.has_committed_seat() => MemberRole::Follower,
            RoleState::Following => MemberRole::Learner,
        }
    }

    /// Current term.
    pub fn term(&self) -> TermNumber {
        self.hard.term
    }

    /// Current leader, if known.
    pub fn leader(&self) -> Option<&NodeName> {
        self.leader.as_ref()
    }

    /// Index of the last entry known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry in the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Index of the last entry synced to the local disk.
    pub fn durable(&self) -> LogIndex {
        self.sync.durable()
    }

    /// Voter seats as of the last entry committed on this host.
    pub fn seats(&self) -> &[VoterSeat] {
        &self.seats
    }

    /// Whether the state machine should be snapshotted now.
    ///
    /// The log must first grow as large as the last snapshot. With a fixed threshold, a large state
    /// would be encoded and written again after only a few entries.
    pub fn wants_snapshot(&self) -> bool {
        let (covered, size) = self
            .snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.meta.index.0, snapshot.data.len()));
        let (uncovered, bytes) = (self.last_delivered.0 - covered, self.log.bytes());
        uncovered > 0 && bytes >= size && (uncovered >= SNAPSHOT_ENTRIES || bytes >= SNAPSHOT_BYTES)
    }

    /// Stores `data`, the state after all delivered entries, as a snapshot and compacts the log.
    pub fn compact(&mut self, data: Vec<u8>) {
        let covered = self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.meta.index);
        if self.last_delivered == covered {
            return;
        }
        let Some(term) = self.log.term_at(self.last_delivered) else { return };
        let meta =
            super::SnapshotMeta { index: self.last_delivered, term, seats: self.seats.clone() };
        let snapshot = LogSnapshot { meta, data: std::sync::Arc::new(data) };
        let by_bytes = self.log.bytes() >= SNAPSHOT_BYTES;
        let trailing = if by_bytes { 0 } else { TRAILING_ENTRIES };
        let keep_after =
            LogIndex(self.last_delivered.0.saturating_sub(trailing)).max(self.log.base());
        self.log.compact(keep_after);
        self.sync.write(StorageWrite::Snapshot { snapshot: snapshot.clone(), keep_after });
        self.snapshot = Some(snapshot);
    }

    pub(super) fn reset_election_timer(&mut self, now: TimePoint) {
        let base = u64::try_from(self.times.election.as_micros()).unwrap_or(u64::MAX);
        let wait = self.random.random_range(base..base * 2);
        self.election_deadline = now.after(Duration::from_micros(wait));
    }

    pub(super) fn write_hard_state(&mut self) {
        self.hard.commit = self.commit;
        self.sync.write_hard_state(StorageWrite::Hard(self.hard.clone()));
    }

    pub(super) fn message(&self, body: PeerBody) -> PeerMessage {
        let (from, folder) = (self.node.clone(), self.folder);
        PeerMessage { from, folder, term: self.hard.term, body }
    }

    pub(super) fn send(&mut self, to: NodeName, body: PeerBody) {
        let message = self.message(body);
        self.output.messages.push((to, message));
    }

    /// Sends `body` after the batch with `ticket` is synced.
    pub(super) fn send_after(&mut self, ticket: u64, to: NodeName, body: PeerBody) {
        let message = self.message(body);
        if let Some(released) = self.sync.defer(ticket, to, message) {
            self.output.messages.push(released);
        }
    }

    /// Advances the commit index to `index` and delivers the newly committed entries.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        if index > self.commit {
            self.commit = index.min(self.log.last_index());
            self.deliver();
        }
    }

    /// Continues from a snapshot that replaced the log.
    pub(super) fn restore(&mut self, snapshot: LogSnapshot) {
        self.commit = snapshot.meta.index;
        self.last_delivered = snapshot.meta.index;
        self.seats.clone_from(&snapshot.meta.seats);
        self.recompute_latest_seats();
        self.snapshot = Some(snapshot.clone());
        self.output.deliveries.push(LogDelivery::Restore(snapshot));
    }

    fn deliver(&mut self) {
        while self.last_delivered < self.commit {
            let Some(entry) = self.log.get(self.last_delivered.next()).cloned() else { return };
            self.last_delivered = entry.index;
            if matches!(entry.payload, EntryPayload::Admit(_) | EntryPayload::Dismiss(_)) {
                self.commit_seat_change(&entry.payload);
                self.request_heartbeat();
            }
            let token = self.pop_proposal_token(&entry);
            self.output.deliveries.push(LogDelivery::Entry(CommittedEntry { entry, token }));
        }
    }
}

/// Builds the in-memory log from the entries that connect to the snapshot without a gap.
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
