//! Randomized runs with all kinds of faults. Set `BRIARTRAY_SEEDS=5000` for a longer run.

use std::time::Duration;

use briartray_control::agreement::{ProposalToken, ReadToken};
use briartray_control::state::CommandOutcome;
use briartray_model::names::{ChangeId, LogIndex, RevisionNumber};
use rand::RngExt;

use crate::cluster::{
    NO_FAULTS, NetworkFaults, STEP, TIME_LIMIT, TestCluster, TestEvent, apply_rules, ready_cluster,
};

/// Number of seeds without the environment variable, as in CI.
const DEFAULT_SEEDS: u64 = 24;

/// Environment variable that sets the number of seeds.
const SEEDS_VARIABLE: &str = "BRIARTRAY_SEEDS";

/// Number of steps with faults per run.
const STEPS: usize = 3_000;

const FAULTY_NETWORK: NetworkFaults = NetworkFaults { lost: 60, duplicated: 60, delay: 6 };

/// A change that was sent, with its expected and first known outcome.
struct SentChange {
    token: ProposalToken,
    change: ChangeId,
    expect: RevisionNumber,
    first: Option<CommandOutcome>,
}

/// A read, with the number of entries committed when it was requested.
struct SentRead {
    token: ReadToken,
    floor: LogIndex,
}

/// Simulated operators that send, resend and read concurrently while hosts fail.
struct Operators {
    changes: Vec<SentChange>,
    reads: Vec<SentRead>,
    next: u64,
}

impl Operators {
    fn act(&mut self, cluster: &mut TestCluster) {
        let anyone = cluster.random.random_range(0..cluster.hosts.len());
        let to_leader = cluster.random.random_range(0..2) == 0;
        let host = cluster.leader().filter(|_| to_leader).unwrap_or(anyone);
        self.next += 1;
        match cluster.random.random_range(0..10) {
            0..5 => self.send(cluster, host),
            5..7 => self.resend(cluster, host),
            _ => self.read(cluster, host),
        }
    }

    fn send(&mut self, cluster: &mut TestCluster, host: usize) {
        let (token, change) = (ProposalToken(self.next), ChangeId(u128::from(self.next)));
        // The revision may be outdated on this host, which makes changes race for the same
        // revision.
        let expect = cluster.hosts[host].state.rules.current().revision;
        if cluster.propose(host, token, &apply_rules(change, expect, self.next)) {
            self.changes.push(SentChange { token, change, expect, first: None });
        }
    }

    fn resend(&mut self, cluster: &mut TestCluster, host: usize) {
        if self.changes.is_empty() {
            return;
        }
        let picked = cluster.random.random_range(0..self.changes.len());
        let known = &self.changes[picked];
        let number = u64::try_from(known.change.0).expect("change numbers are small in tests");
        let (token, change, expect) = (ProposalToken(self.next), known.change, known.expect);
        let first = known.first.clone();
        if cluster.propose(host, token, &apply_rules(change, expect, number)) {
            self.changes.push(SentChange { token, change, expect, first });
        }
    }

    fn read(&mut self, cluster: &mut TestCluster, host: usize) {
        let token = ReadToken(self.next);
        let floor = LogIndex(cluster.history.len() as u64);
        if cluster.read(host, token) {
            self.reads.push(SentRead { token, floor });
        }
    }

    /// Compares new replies with earlier ones.
    fn check(&mut self, cluster: &mut TestCluster) {
        for (_, event) in std::mem::take(&mut cluster.events) {
            match event {
                TestEvent::Done(token, outcome) => self.check_outcome(token, &outcome),
                TestEvent::Read { token, applied, state } => {
                    let read = self.reads.iter().find(|read| read.token == token);
                    let floor = read.expect("the read was requested").floor;
                    assert!(applied >= floor, "a read at {applied} is older than {floor}");
                    assert!(
                        state.rules.current().revision
                            <= cluster.reference.rules.current().revision
                    );
                }
                TestEvent::Lost(_) | TestEvent::ReadLost(_) => {}
            }
        }
    }

    fn check_outcome(&mut self, token: ProposalToken, outcome: &CommandOutcome) {
        let sent = self.changes.iter().find(|sent| sent.token == token);
        let (change, expect) =
            sent.map(|sent| (sent.change, sent.expect)).expect("the change was sent");
        for other in self.changes.iter_mut().filter(|other| other.change == change) {
            let first = other.first.get_or_insert_with(|| outcome.clone());
            assert_eq!(first, outcome, "a resend of {change} got another outcome");
        }
        if let CommandOutcome::RulesAccepted { revision } = outcome {
            assert_eq!(*revision, expect.next(), "compare-and-set skipped a revision");
        }
    }

    /// Checks that each revision was assigned to only one change.
    fn check_revisions(&self) {
        let mut given: Vec<(RevisionNumber, ChangeId)> = self
            .changes
            .iter()
            .filter_map(|sent| match &sent.first {
                Some(CommandOutcome::RulesAccepted { revision }) => Some((*revision, sent.change)),
                _ => None,
            })
            .collect();
        given.sort();
        given.dedup();
        assert!(
            given.windows(2).all(|pair| pair[0].0 != pair[1].0),
            "two changes were assigned the same revision"
        );
    }
}

/// Injects a random fault; wipes a host only while all hosts hold their seats.
fn inject_fault(cluster: &mut TestCluster) {
    let size = cluster.hosts.len();
    let host = cluster.random.random_range(0..size);
    match cluster.random.random_range(0..100) {
        0..4 => {
            let other = cluster.random.random_range(0..size);
            cluster.partitions.push((host, other));
        }
        4 => cluster.partitions = (0..size).map(|other| (host, other)).collect(),
        5..12 => cluster.partitions.clear(),
        12..15 => {
            let time = STEP * cluster.random.random_range(1..400);
            cluster.pause(host, time);
        }
        15..19 => cluster.kill(host),
        19..28 if cluster.hosts[host].core.is_none() => cluster.start(host),
        28 if (0..size).all(|host| cluster.is_seated(host)) => {
            cluster.wipe(host);
            cluster.start(host);
        }
        _ => {}
    }
}

fn clear_faults(cluster: &mut TestCluster) {
    cluster.partitions.clear();
    cluster.faults = NO_FAULTS;
    for host in 0..cluster.hosts.len() {
        if cluster.hosts[host].core.is_none() {
            cluster.start(host);
        }
    }
}

/// Runs one seed with faults and then without, after which all hosts must agree.
///
/// Returns the number of accepted changes.
fn run_seed(size: usize, seed: u64) -> u64 {
    let mut cluster = ready_cluster(size, seed, FAULTY_NETWORK);
    let mut operators = Operators { changes: Vec::new(), reads: Vec::new(), next: 0 };
    for _ in 0..STEPS {
        if cluster.random.random_range(0..4) == 0 {
            operators.act(&mut cluster);
        }
        if cluster.random.random_range(0..8) == 0 {
            inject_fault(&mut cluster);
        }
        cluster.step();
        operators.check(&mut cluster);
    }
    clear_faults(&mut cluster);
    cluster
        .run_until(TIME_LIMIT, "a leader after the faults", |cluster| cluster.leader().is_some());
    cluster.run_for(Duration::from_secs(20));
    operators.check(&mut cluster);
    let accepted = cluster.reference.rules.current().revision;
    let leader = cluster.leader().expect("a leader after the faults");
    operators.next += 1;
    operators.send(&mut cluster, leader);
    cluster.run_for(Duration::from_secs(2));
    operators.check(&mut cluster);
    operators.check_revisions();
    let end = LogIndex(cluster.history.len() as u64);
    assert_eq!(
        cluster.reference.rules.current().revision,
        accepted.next(),
        "the change after the faults was not accepted"
    );
    for (number, host) in cluster.hosts.iter().enumerate() {
        assert_eq!(host.applied, end, "host {number} did not catch up");
        assert_eq!(host.state, cluster.reference, "host {number} differs from the reference copy");
        assert!(cluster.is_seated(number), "host {number} did not regain its seat");
    }
    cluster.reference.rules.current().revision.0
}

/// Runs all seeds from `first` on.
fn run_seeds(size: usize, first: u64) {
    let mut accepted = 0;
    let seeds = seeds();
    for seed in seeds.clone() {
        println!("seed {}", first + seed);
        accepted += run_seed(size, first + seed);
    }
    // Runs in which hardly any change is accepted would prove nothing.
    assert!(accepted > 20 * seeds.end, "{accepted} changes in {} runs are too few", seeds.end);
}

fn seeds() -> std::ops::Range<u64> {
    let more = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    0..more.unwrap_or(DEFAULT_SEEDS)
}

#[test]
fn three_hosts_match_reference_copy() {
    // Messages are lost, duplicated and reordered; hosts pause, restart, are partitioned or wiped
    // while operators race. Guards against reverted changes, two changes accepted for one revision,
    // and stale reads.
    run_seeds(3, 0);
}

#[test]
fn five_hosts_match_reference_copy() {
    // The same with five hosts, of which two may fail at a time.
    run_seeds(5, 1_000_000);
}
