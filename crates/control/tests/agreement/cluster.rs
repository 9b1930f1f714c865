//! Fixtures: a handful of cores stepped in one thread over a lossy wire, and a naive single copy.

use std::sync::Arc;
use std::time::Duration;

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, CoreOutput, EntryPayload, FolderId,
    LogDelivery, LogEntry, LogSnapshot, MemberRole, MembershipMode, PeerMessage, ProposalToken,
    ReadToken, RecoveredState, StorageWrite, WriteBatch,
};
use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_model::names::{ChangeId, LogIndex, NodeName, RevisionNumber};
use briartray_model::{TimePoint, codec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time of one step.
pub const STEP: Duration = Duration::from_millis(10);

/// What a disk holds, and what was handed to it without being synced yet.
#[derive(Default)]
pub struct TestDisk {
    synced: RecoveredState,
    queued: Vec<(TimePoint, WriteBatch)>,
}

/// One control host.
pub struct TestHost {
    pub core: Option<AgreementCore>,
    pub state: ControlState,
    pub applied: LogIndex,
    folder: FolderId,
    disk: TestDisk,
    /// Until when the process is paused; its clock goes on.
    paused_until: TimePoint,
    inbox: Vec<PeerMessage>,
}

/// What became of one proposal or read.
#[derive(Debug, Clone, PartialEq)]
pub enum TestEvent {
    Done(ProposalToken, CommandOutcome),
    Lost(ProposalToken),
    Read { token: ReadToken, applied: LogIndex, state: Arc<ControlState> },
    ReadLost(ReadToken),
}

/// Faults per thousand messages, and the longest delay in steps.
#[derive(Debug, Clone, Copy)]
pub struct WireFaults {
    pub lost: u32,
    pub doubled: u32,
    pub delay: u64,
}

/// A wire without faults.
pub const QUIET: WireFaults = WireFaults { lost: 0, doubled: 0, delay: 1 };

/// Longer than anything may take on the cluster's own clock.
pub const SOON: Duration = Duration::from_secs(60);

/// A cluster that has a leader.
pub fn ready_cluster(size: usize, seed: u64, faults: WireFaults) -> TestCluster {
    let mut cluster = TestCluster::new(size, seed, faults);
    cluster.run_until(SOON, "the first leader", |cluster| cluster.leader().is_some());
    cluster.run_for(Duration::from_secs(2));
    cluster
}

/// A change of the rules that differs from any with another number.
pub fn apply_rules(change: ChangeId, expect: RevisionNumber, number: u64) -> ControlCommand {
    let text = format!("services: []\nteams:\n  - name: team-{number}\nrules: []\n");
    ControlCommand::ApplyRules { change, expect: Some(expect), text }
}

/// A cluster in one thread.
pub struct TestCluster {
    pub now: TimePoint,
    pub hosts: Vec<TestHost>,
    pub events: Vec<(usize, TestEvent)>,
    pub random: ChaCha8Rng,
    pub faults: WireFaults,
    /// Pairs of hosts between which nothing arrives.
    pub cut: Vec<(usize, usize)>,
    wire: Vec<(TimePoint, usize, usize, PeerMessage)>,
    /// The one true log, as the first host to apply an entry saw it.
    pub history: Vec<LogEntry>,
    /// The naive copy: every command of the history, applied in order.
    pub naive: ControlState,
    leaders: Vec<(u64, usize)>,
    next_folder: u64,
    membership: MembershipMode,
    /// Since when each host that has no process has none.
    down_since: Vec<Option<TimePoint>>,
}

/// Time without a process after which a voter counts as gone.
const ABSENT: Duration = Duration::from_secs(3);

impl TestCluster {
    pub fn new(size: usize, seed: u64, faults: WireFaults) -> Self {
        Self::with(size, seed, faults, MembershipMode::Fixed)
    }

    /// A cluster whose first host founds the log alone; `voters` of the hosts get seats.
    pub fn dynamic(size: usize, voters: usize, seed: u64, faults: WireFaults) -> Self {
        let mut cluster = Self::with(size, seed, faults, MembershipMode::Dynamic { voters });
        let now = cluster.now;
        let core = cluster.hosts[0].core.as_mut().expect("every host was started");
        assert!(core.bootstrap(now), "an empty folder can found the log");
        cluster
    }

    fn with(size: usize, seed: u64, faults: WireFaults, membership: MembershipMode) -> Self {
        let mut cluster = Self {
            now: TimePoint(1_000_000),
            hosts: Vec::new(),
            events: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            faults,
            cut: Vec::new(),
            wire: Vec::new(),
            history: Vec::new(),
            naive: ControlState::default(),
            leaders: Vec::new(),
            next_folder: 1,
            membership,
            down_since: vec![None; size],
        };
        for _ in 0..size {
            let folder = cluster.new_folder();
            cluster.hosts.push(TestHost {
                core: None,
                state: ControlState::default(),
                applied: LogIndex(0),
                folder,
                disk: TestDisk::default(),
                paused_until: TimePoint(0),
                inbox: Vec::new(),
            });
        }
        for host in 0..size {
            cluster.start(host);
        }
        cluster
    }

    fn new_folder(&mut self) -> FolderId {
        self.next_folder += 1;
        FolderId(self.next_folder)
    }

    pub fn name(host: usize) -> NodeName {
        NodeName::new(&format!("control-{host}"))
    }

    /// Starts the process of `host` from what its disk holds.
    pub fn start(&mut self, host: usize) {
        let settings = AgreementSettings {
            node: Self::name(host),
            folder: self.hosts[host].folder,
            members: (0..self.hosts.len().max(host + 1)).map(Self::name).collect(),
            membership: self.membership,
            times: AgreementTimes::default(),
            seed: self.random.random_range(0..u64::MAX),
        };
        self.down_since[host] = None;
        self.hosts[host].state = ControlState::default();
        self.hosts[host].applied = LogIndex(0);
        self.hosts[host].core =
            Some(AgreementCore::new(self.now, settings, self.hosts[host].disk.synced.clone()));
    }

    /// Kills the process of `host`; of its unsynced batches a random number had reached the disk.
    pub fn kill(&mut self, host: usize) {
        let queued = std::mem::take(&mut self.hosts[host].disk.queued);
        let kept = self.random.random_range(0..=queued.len());
        for (_, batch) in queued.into_iter().take(kept) {
            write(&mut self.hosts[host].disk.synced, batch);
        }
        self.hosts[host].core = None;
        self.hosts[host].inbox.clear();
        self.down_since[host].get_or_insert(self.now);
    }

    /// Kills `host` and empties its data folder.
    pub fn wipe(&mut self, host: usize) {
        self.kill(host);
        let folder = self.new_folder();
        self.hosts[host].folder = folder;
        self.hosts[host].disk = TestDisk::default();
    }

    /// Whether the data folder of `host` may vote.
    pub fn is_seated(&self, host: usize) -> bool {
        let core = self.hosts[host].core.as_ref();
        core.is_some_and(|core| core.role() != MemberRole::Learner)
    }

    pub fn pause(&mut self, host: usize, time: Duration) {
        self.hosts[host].paused_until = self.now.after(time);
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &TestHost| {
            let core = host.core.as_ref().filter(|_| host.paused_until <= self.now);
            core.filter(|core| core.role() == MemberRole::Leader).map(AgreementCore::term)
        };
        (0..self.hosts.len())
            .filter_map(|host| leads(&self.hosts[host]).map(|term| (term, host)))
            .max()
            .map(|(_, host)| host)
    }

    pub fn propose(&mut self, host: usize, token: ProposalToken, command: &ControlCommand) -> bool {
        let bytes = codec::encode(command).expect("a command has an encoding");
        let now = self.now;
        let Some(core) = self.awake(host) else { return false };
        core.propose(now, token, bytes).is_ok()
    }

    pub fn read(&mut self, host: usize, token: ReadToken) -> bool {
        let now = self.now;
        self.awake(host).is_some_and(|core| core.read(now, token).is_ok())
    }

    fn awake(&mut self, host: usize) -> Option<&mut AgreementCore> {
        let now = self.now;
        let host = &mut self.hosts[host];
        host.core.as_mut().filter(|_| host.paused_until <= now)
    }

    /// Steps until `done` holds; panics when it does not in `limit`.
    pub fn run_until(&mut self, limit: Duration, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now.after(limit);
        while !done(self) {
            assert!(self.now < end, "not in time: {what}");
            self.step();
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.step();
        }
    }

    /// One step of time for every host.
    pub fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.carry();
        for host in 0..self.hosts.len() {
            self.step_host(host);
        }
    }

    fn carry(&mut self) {
        let now = self.now;
        let mut due: Vec<(usize, usize, PeerMessage)> = Vec::new();
        self.wire.retain(|(at, from, to, message)| {
            if *at <= now {
                due.push((*from, *to, message.clone()));
            }
            *at > now
        });
        for (from, to, message) in due {
            let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
            if !cut && self.hosts[to].core.is_some() {
                self.hosts[to].inbox.push(message);
            }
        }
    }

    fn step_host(&mut self, host: usize) {
        let now = self.now;
        if self.hosts[host].paused_until > now || self.hosts[host].core.is_none() {
            return;
        }
        let inbox = std::mem::take(&mut self.hosts[host].inbox);
        let synced = self.finish_writes(host);
        self.manage_voters(host);
        let Some(core) = &mut self.hosts[host].core else { return };
        for message in inbox {
            core.receive(now, message);
        }
        for ticket in synced {
            core.stored(now, ticket);
        }
        core.tick(now);
        for _ in 0..4 {
            let Some(core) = &mut self.hosts[host].core else { return };
            let output = core.drain(now);
            self.take_output(host, output);
        }
        self.note_leader(host);
    }

    /// What the process around a core does with dynamic membership.
    fn manage_voters(&mut self, host: usize) {
        if self.membership == MembershipMode::Fixed {
            return;
        }
        let now = self.now;
        let names: Vec<NodeName> = (0..self.hosts.len()).map(Self::name).collect();
        let absent: Vec<bool> = self
            .down_since
            .iter()
            .map(|since| since.is_some_and(|since| now.since(since) > ABSENT))
            .collect();
        let Some(core) = &mut self.hosts[host].core else { return };
        core.set_peers(now, &names);
        if core.role() == MemberRole::Leader {
            for (name, absent) in names.iter().zip(absent) {
                core.set_absent(name, absent);
            }
            core.remove_surplus_voter();
        }
    }

    /// Names of the voters as the leader knows them.
    pub fn voters(&self) -> Vec<NodeName> {
        let leader = self.leader().and_then(|host| self.hosts[host].core.as_ref());
        leader.map_or_else(Vec::new, |core| {
            core.seats().iter().map(|seat| seat.node.clone()).collect()
        })
    }

    fn finish_writes(&mut self, host: usize) -> Vec<u64> {
        let now = self.now;
        let disk = &mut self.hosts[host].disk;
        let mut tickets = Vec::new();
        while disk.queued.first().is_some_and(|(at, _)| *at <= now) {
            let (_, batch) = disk.queued.remove(0);
            tickets.push(batch.ticket);
            write(&mut disk.synced, batch);
        }
        tickets
    }

    fn take_output(&mut self, host: usize, output: CoreOutput) {
        if let Some(batch) = output.batch {
            let slow = self.random.random_range(0..4);
            let at = self.now.after(STEP * slow);
            self.hosts[host].disk.queued.push((at, batch));
        }
        for (to, message) in output.messages {
            self.post(host, &to, message);
        }
        for token in output.lost {
            self.events.push((host, TestEvent::Lost(token)));
        }
        for delivery in output.deliveries {
            self.apply(host, delivery);
        }
        for token in output.unconfirmed {
            self.events.push((host, TestEvent::ReadLost(token)));
        }
        for token in output.confirmed {
            let applied = self.hosts[host].applied;
            let state = Arc::new(self.hosts[host].state.clone());
            self.events.push((host, TestEvent::Read { token, applied, state }));
        }
        self.snapshot(host);
    }

    fn post(&mut self, from: usize, to: &NodeName, message: PeerMessage) {
        let to = (0..self.hosts.len()).find(|host| Self::name(*host) == *to);
        let to = to.expect("messages go to members");
        // Through the codec, as on a real wire.
        let bytes = codec::encode(&message).expect("a message has an encoding");
        let message: PeerMessage = codec::decode(&bytes).expect("a message decodes");
        if self.random.random_range(0..1000) < self.faults.lost {
            return;
        }
        let copies = if self.random.random_range(0..1000) < self.faults.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let steps = self.random.random_range(0..=self.faults.delay);
            let at = self.now.after(STEP * u32::try_from(steps).unwrap_or(0));
            self.wire.push((at, from, to, message.clone()));
        }
    }

    /// Applies a committed entry and holds it against the history.
    fn apply(&mut self, host: usize, delivery: LogDelivery) {
        match delivery {
            LogDelivery::Restore(snapshot) => {
                let index = snapshot.meta.index;
                assert!(
                    index.0 <= self.history.len() as u64,
                    "a snapshot of what is not committed"
                );
                let state = ControlState::decode(&snapshot.data).expect("a snapshot decodes");
                self.hosts[host].state = state;
                self.hosts[host].applied = index;
            }
            LogDelivery::Entry(committed) => {
                let entry = committed.entry;
                let next = self.hosts[host].applied.next();
                assert_eq!(entry.index, next, "host {host} skips entries");
                self.hosts[host].applied = next;
                let position = usize::try_from(next.0 - 1).expect("a test's log is short");
                let outcome = apply_to(&mut self.hosts[host].state, &entry);
                if position == self.history.len() {
                    apply_to(&mut self.naive, &entry);
                    self.history.push(entry);
                    assert_eq!(self.hosts[host].state, self.naive, "the copies differ");
                } else {
                    assert_eq!(self.history[position], entry, "committed entry {next} changed");
                }
                if let (Some(token), Some(outcome)) = (committed.token, outcome) {
                    self.events.push((host, TestEvent::Done(token, outcome)));
                }
            }
        }
    }

    /// Compacts now and then, so that late hosts need a snapshot.
    fn snapshot(&mut self, host: usize) {
        if self.random.random_range(0..200) > 0 {
            return;
        }
        let data = self.hosts[host].state.encode().expect("the state has an encoding");
        if let Some(core) = self.hosts[host].core.as_mut().filter(|_| !data.is_empty()) {
            core.compact(data);
        }
    }

    fn note_leader(&mut self, host: usize) {
        let Some(core) = &self.hosts[host].core else { return };
        if core.role() != MemberRole::Leader {
            return;
        }
        let term = core.term().0;
        let known = self.leaders.iter().find(|(known, _)| *known == term);
        assert!(known.is_none_or(|(_, other)| *other == host), "two leaders in term {term}");
        if known.is_none() {
            self.leaders.push((term, host));
        }
    }
}

fn apply_to(state: &mut ControlState, entry: &LogEntry) -> Option<CommandOutcome> {
    let EntryPayload::Command(bytes) = &entry.payload else { return None };
    let command: ControlCommand = codec::decode(bytes).expect("a command decodes");
    Some(state.apply(&command))
}

/// A disk that does what it is told, in memory.
fn write(synced: &mut RecoveredState, batch: WriteBatch) {
    for change in batch.writes {
        match change {
            StorageWrite::Founding(seats) => synced.founding = Some(seats),
            StorageWrite::Hard(hard) => synced.hard = hard,
            StorageWrite::Truncate(index) => synced.entries.retain(|entry| entry.index < index),
            StorageWrite::Append(entries) => synced.entries.extend(entries),
            StorageWrite::Snapshot { snapshot, keep_after } => {
                synced.entries.retain(|entry| entry.index > keep_after);
                keep(synced, snapshot);
            }
            StorageWrite::Install(snapshot) => {
                synced.entries.clear();
                keep(synced, snapshot);
            }
        }
    }
}

fn keep(synced: &mut RecoveredState, snapshot: LogSnapshot) {
    synced.snapshot = Some(snapshot);
}
