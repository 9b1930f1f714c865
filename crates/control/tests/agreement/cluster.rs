//! Test fixtures: several consensus cores driven in one thread over a simulated faulty network, and
//! a reference copy of the state machine.

use std::sync::Arc;
use std::time::Duration;

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, CoreOutput, EntryPayload, FolderId,
    LogDelivery, LogEntry, MemberRole, MembershipMode, PeerBody, PeerMessage, ProposalToken,
    ReadToken,
};
use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_model::names::{ChangeId, LogIndex, NodeName, RevisionNumber};
use briartray_model::{TimePoint, codec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::disk::TestDisk;

/// Simulated time of one step.
pub const STEP: Duration = Duration::from_millis(10);

/// One simulated control host.
pub struct TestHost {
    pub core: Option<AgreementCore>,
    pub state: ControlState,
    pub applied: LogIndex,
    folder: FolderId,
    pub disk: TestDisk,
    /// End of a pause of the process; the simulated clock goes on meanwhile.
    paused_until: TimePoint,
    inbox: Vec<PeerMessage>,
}

/// Outcome of a proposal or read.
#[derive(Debug, Clone, PartialEq)]
pub enum TestEvent {
    Done(ProposalToken, CommandOutcome),
    Lost(ProposalToken),
    Read { token: ReadToken, applied: LogIndex, state: Arc<ControlState> },
    ReadLost(ReadToken),
}

/// Lost and duplicated messages per thousand, and the longest delay in steps.
#[derive(Debug, Clone, Copy)]
pub struct NetworkFaults {
    pub lost: u32,
    pub duplicated: u32,
    pub delay: u64,
}

/// A network without faults.
pub const NO_FAULTS: NetworkFaults = NetworkFaults { lost: 0, duplicated: 0, delay: 1 };

/// Maximum simulated time to wait for an expected event.
pub const TIME_LIMIT: Duration = Duration::from_secs(60);

/// Creates a cluster that has elected a leader.
pub fn ready_cluster(size: usize, seed: u64, faults: NetworkFaults) -> TestCluster {
    let mut cluster = TestCluster::new(size, seed, faults);
    cluster.run_until(TIME_LIMIT, "the first leader", |cluster| cluster.leader().is_some());
    cluster.run_for(Duration::from_secs(2));
    cluster
}

/// Creates a rule change whose document differs for each `number`.
pub fn apply_rules(change: ChangeId, expect: RevisionNumber, number: u64) -> ControlCommand {
    let text = format!("services: []\nteams:\n  - name: team-{number}\nrules: []\n");
    ControlCommand::ApplyRules { change, expect: Some(expect), text }
}

/// A simulated cluster that runs in one thread.
pub struct TestCluster {
    pub now: TimePoint,
    pub hosts: Vec<TestHost>,
    pub events: Vec<(usize, TestEvent)>,
    pub random: ChaCha8Rng,
    pub faults: NetworkFaults,
    /// Pairs of hosts that cannot exchange messages.
    pub partitions: Vec<(usize, usize)>,
    network: Vec<(TimePoint, usize, usize, PeerMessage)>,
    /// The committed log, as applied by the first host to reach each entry.
    pub history: Vec<LogEntry>,
    /// The reference copy, to which every command of the history is applied in order.
    pub reference: ControlState,
    leaders: Vec<(u64, usize)>,
    next_folder: u64,
    membership: MembershipMode,
    /// For each host, the time since which it has no process.
    down_since: Vec<Option<TimePoint>>,
    /// Number of messages with a change of voters.
    pub seat_changes_sent: usize,
}

/// Time without a process after which a voter is marked absent.
const ABSENT_AFTER: Duration = Duration::from_secs(3);

impl TestCluster {
    pub fn new(size: usize, seed: u64, faults: NetworkFaults) -> Self {
        Self::with(size, seed, faults, MembershipMode::Fixed)
    }

    /// Creates a cluster that the first host bootstraps alone; `voters` hosts get seats.
    pub fn dynamic(size: usize, voters: usize, seed: u64, faults: NetworkFaults) -> Self {
        let mut cluster = Self::with(size, seed, faults, MembershipMode::Dynamic { voters });
        let now = cluster.now;
        let core = cluster.hosts[0].core.as_mut().expect("every host was started");
        assert!(core.bootstrap(now), "an empty folder can be bootstrapped");
        cluster
    }

    fn with(size: usize, seed: u64, faults: NetworkFaults, membership: MembershipMode) -> Self {
        let mut cluster = Self {
            now: TimePoint(1_000_000),
            hosts: Vec::new(),
            events: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            faults,
            partitions: Vec::new(),
            network: Vec::new(),
            history: Vec::new(),
            reference: ControlState::default(),
            leaders: Vec::new(),
            next_folder: 1,
            membership,
            down_since: vec![None; size],
            seat_changes_sent: 0,
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

    /// Starts the process of `host` from the synced contents of its disk.
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

    /// Kills the process of `host`; a random number of its unsynced batches reach the disk.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].disk.keep_batches(&mut self.random);
        self.end_process(host);
    }

    /// Cuts the power of `host`; writes that are not synced are lost, and one of them may be torn.
    pub fn cut_power(&mut self, host: usize) {
        self.hosts[host].disk.keep_writes(&mut self.random);
        self.end_process(host);
    }

    fn end_process(&mut self, host: usize) {
        self.hosts[host].core = None;
        self.hosts[host].inbox.clear();
        self.down_since[host].get_or_insert(self.now);
    }

    /// Kills `host` and replaces its data folder by an empty one.
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
        let Some(core) = self.running_core(host) else { return false };
        core.propose(now, token, bytes).is_ok()
    }

    pub fn read(&mut self, host: usize, token: ReadToken) -> bool {
        let now = self.now;
        self.running_core(host).is_some_and(|core| core.read(now, token).is_ok())
    }

    fn running_core(&mut self, host: usize) -> Option<&mut AgreementCore> {
        let now = self.now;
        let host = &mut self.hosts[host];
        host.core.as_mut().filter(|_| host.paused_until <= now)
    }

    /// Steps until `done` returns `true`; panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now.after(limit);
        while !done(self) {
            assert!(self.now < end, "timed out waiting for {what}");
            self.step();
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.step();
        }
    }

    /// Advances all hosts by one step of time.
    pub fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.deliver_messages();
        for host in 0..self.hosts.len() {
            self.step_host(host);
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let mut due: Vec<(usize, usize, PeerMessage)> = Vec::new();
        self.network.retain(|(at, from, to, message)| {
            if *at <= now {
                due.push((*from, *to, message.clone()));
            }
            *at > now
        });
        for (from, to, message) in due {
            let is_cut =
                self.partitions.contains(&(from, to)) || self.partitions.contains(&(to, from));
            if !is_cut && self.hosts[to].core.is_some() {
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
        self.update_membership(host);
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
        self.check_single_leader(host);
    }

    /// Does the surrounding process's part of dynamic membership: sets peers and marks absent
    /// voters.
    fn update_membership(&mut self, host: usize) {
        if self.membership == MembershipMode::Fixed {
            return;
        }
        let now = self.now;
        let names: Vec<NodeName> = (0..self.hosts.len()).map(Self::name).collect();
        let absent: Vec<bool> = self
            .down_since
            .iter()
            .map(|since| since.is_some_and(|since| now.since(since) > ABSENT_AFTER))
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

    /// Names of the voters, as known to the leader.
    pub fn voters(&self) -> Vec<NodeName> {
        let leader = self.leader().and_then(|host| self.hosts[host].core.as_ref());
        leader.map_or_else(Vec::new, |core| {
            core.seats().iter().map(|seat| seat.node.clone()).collect()
        })
    }

    fn finish_writes(&mut self, host: usize) -> Vec<u64> {
        let now = self.now;
        self.hosts[host].disk.finish_due(now)
    }

    fn take_output(&mut self, host: usize, output: CoreOutput) {
        if let Some(batch) = output.batch {
            let slow = self.random.random_range(0..self.hosts[host].disk.sync_steps);
            let at = self.now.after(STEP * slow);
            self.hosts[host].disk.queued.push((at, batch));
        }
        for (to, message) in output.messages {
            self.enqueue_message(host, &to, message);
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

    fn enqueue_message(&mut self, from: usize, to: &NodeName, message: PeerMessage) {
        let to = (0..self.hosts.len()).find(|host| Self::name(*host) == *to);
        let to = to.expect("messages go to members");
        if let PeerBody::Append(call) = &message.body {
            let changes_seats = |entry: &LogEntry| {
                matches!(entry.payload, EntryPayload::Admit(_) | EntryPayload::Dismiss(_))
            };
            self.seat_changes_sent += usize::from(call.entries.iter().any(changes_seats));
        }
        // Encode and decode the message as on a real connection.
        let bytes = codec::encode(&message).expect("a message has an encoding");
        let message: PeerMessage = codec::decode(&bytes).expect("a message decodes");
        if self.random.random_range(0..1000) < self.faults.lost {
            return;
        }
        let copies = if self.random.random_range(0..1000) < self.faults.duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let steps = self.random.random_range(0..=self.faults.delay);
            let at = self.now.after(STEP * u32::try_from(steps).unwrap_or(0));
            self.network.push((at, from, to, message.clone()));
        }
    }

    /// Applies a committed entry and compares it with the history.
    fn apply(&mut self, host: usize, delivery: LogDelivery) {
        match delivery {
            LogDelivery::Restore(snapshot) => {
                let index = snapshot.meta.index;
                assert!(
                    index.0 <= self.history.len() as u64,
                    "a snapshot contains uncommitted entries"
                );
                let state = ControlState::decode(&snapshot.data).expect("a snapshot decodes");
                self.hosts[host].state = state;
                self.hosts[host].applied = index;
            }
            LogDelivery::Entry(committed) => {
                let entry = committed.entry;
                let next = self.hosts[host].applied.next();
                assert_eq!(entry.index, next, "host {host} skipped entries");
                self.hosts[host].applied = next;
                let position = usize::try_from(next.0 - 1).expect("a test's log is short");
                let outcome = apply_to(&mut self.hosts[host].state, &entry);
                if position == self.history.len() {
                    apply_to(&mut self.reference, &entry);
                    self.history.push(entry);
                    assert_eq!(
                        self.hosts[host].state, self.reference,
                        "the state differs from the reference copy"
                    );
                } else {
                    assert_eq!(self.history[position], entry, "committed entry {next} changed");
                }
                if let (Some(token), Some(outcome)) = (committed.token, outcome) {
                    self.events.push((host, TestEvent::Done(token, outcome)));
                }
            }
        }
    }

    /// Compacts the log at random times, so that lagging hosts need a snapshot.
    fn snapshot(&mut self, host: usize) {
        if self.random.random_range(0..200) > 0 {
            return;
        }
        let data = self.hosts[host].state.encode().expect("the state has an encoding");
        if let Some(core) = self.hosts[host].core.as_mut().filter(|_| !data.is_empty()) {
            core.compact(data);
        }
    }

    fn check_single_leader(&mut self, host: usize) {
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
