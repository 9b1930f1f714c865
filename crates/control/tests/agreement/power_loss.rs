//! Disks are lost while all other hosts lose power. Set `BRIARTRAY_SEEDS=5000` for a longer run.

use std::time::Duration;

use briartray_control::agreement::{ProposalToken, ReadToken};
use briartray_control::state::CommandOutcome;
use briartray_model::names::{ChangeId, RevisionNumber};
use rand::RngExt;

use crate::cluster::{
    NO_FAULTS, NetworkFaults, STEP, TIME_LIMIT, TestCluster, TestEvent, apply_rules,
};
use crate::membership::{HOSTS, VOTERS, voters_know};

/// Number of seeds without the environment variable, as in CI.
const DEFAULT_SEEDS: u64 = 16;

/// Environment variable that sets the number of seeds.
const SEEDS_VARIABLE: &str = "BRIARTRAY_SEEDS";

/// Number of power losses per run.
const ROUNDS: usize = 6;

/// Longest time of a write and sync on a slow disk, in steps.
const SLOW_SYNC_STEPS: u32 = 80;

/// Longest time until the power loss, in steps.
const MOMENT_STEPS: usize = 500;

/// Longest time between two starts after a power loss, in steps.
const START_STEPS: u32 = 60;

const FAULTY_NETWORK: NetworkFaults = NetworkFaults { lost: 40, duplicated: 40, delay: 5 };

/// An operator that sends one change after another.
#[derive(Default)]
pub struct ChangeStream {
    sent: u64,
    /// Newest revision that was acknowledged.
    pub accepted: RevisionNumber,
}

impl ChangeStream {
    /// Sends a change to the leader, if there is one.
    fn send(&mut self, cluster: &mut TestCluster) {
        let Some(leader) = cluster.leader() else { return };
        self.sent += 1;
        let expect = cluster.hosts[leader].state.rules.current().revision;
        let command = apply_rules(ChangeId(u128::from(self.sent)), expect, self.sent);
        cluster.propose(leader, ProposalToken(self.sent), &command);
    }

    /// Sends changes for `steps` steps; returns whether one was acknowledged in the last of them.
    pub fn run(&mut self, cluster: &mut TestCluster, steps: u32) -> bool {
        let mut fresh = false;
        for _ in 0..steps {
            if cluster.random.random_range(0..3) == 0 {
                self.send(cluster);
            }
            cluster.step();
            fresh = self.take_outcomes(cluster);
        }
        fresh
    }

    fn take_outcomes(&mut self, cluster: &mut TestCluster) -> bool {
        let before = self.accepted;
        for (_, event) in std::mem::take(&mut cluster.events) {
            if let TestEvent::Done(_, CommandOutcome::RulesAccepted { revision }) = event {
                self.accepted = self.accepted.max(revision);
            }
        }
        self.accepted > before
    }

    /// Reads the newest revision back, confirmed by a majority.
    pub fn read_back(&mut self, cluster: &mut TestCluster) -> RevisionNumber {
        let end = cluster.now.after(TIME_LIMIT);
        loop {
            assert!(
                cluster.now < end,
                "no read is confirmed after the power loss: {}",
                summary(cluster)
            );
            self.sent += 1;
            let token = ReadToken(self.sent);
            let asked = cluster.leader().is_some_and(|leader| cluster.read(leader, token));
            for _ in 0..if asked { 100 } else { 1 } {
                cluster.step();
                for (_, event) in std::mem::take(&mut cluster.events) {
                    match event {
                        TestEvent::Read { token: known, state, .. } if known == token => {
                            return state.rules.current().revision;
                        }
                        _ => {}
                    }
                }
            }
        }
    }
}

/// Kills, restarts or pauses a host, or slows its disk, so that seats change; no disk is lost.
fn disturb(cluster: &mut TestCluster, stream: &mut ChangeStream) {
    let host = cluster.random.random_range(0..cluster.hosts.len());
    match cluster.random.random_range(0..6) {
        0 => cluster.hosts[host].disk.sync_steps = SLOW_SYNC_STEPS,
        1 => cluster.kill(host),
        2 => {
            cluster.kill(host);
            let steps = cluster.random.random_range(250..400);
            stream.run(cluster, steps);
            cluster.start(host);
        }
        3 => {
            let time = STEP * cluster.random.random_range(10..500);
            cluster.pause(host, time);
        }
        4 => {
            let size = cluster.hosts.len();
            cluster.partitions = (0..size).map(|other| (host, other)).collect();
            let steps = cluster.random.random_range(10..400);
            stream.run(cluster, steps);
            cluster.partitions.clear();
        }
        _ => {}
    }
}

/// Sends changes until one is acknowledged or the leader has applied a seat change, and a moment longer.
fn run_to_moment(cluster: &mut TestCluster, stream: &mut ChangeStream) {
    let seat_change = cluster.random.random_range(0..2) == 0;
    let seats = |cluster: &TestCluster| {
        let leader = cluster.leader().and_then(|host| cluster.hosts[host].core.as_ref());
        leader.map(|core| core.seats().to_vec())
    };
    let before = seats(cluster);
    for _ in 0..MOMENT_STEPS {
        let accepted = stream.run(cluster, 1);
        if if seat_change { seats(cluster) != before } else { accepted } {
            break;
        }
    }
    let steps = cluster.random.random_range(0..5);
    stream.run(cluster, steps);
}

/// Wipes `wiped` random hosts, cuts the power of all others, and starts all again.
fn lose_power(cluster: &mut TestCluster, wiped: usize) {
    let mut hosts: Vec<usize> = (0..cluster.hosts.len()).collect();
    for position in (1..hosts.len()).rev() {
        hosts.swap(position, cluster.random.random_range(0..=position));
    }
    for (position, host) in hosts.iter().copied().enumerate() {
        cluster.pause(host, Duration::ZERO);
        match position < wiped {
            true => cluster.wipe(host),
            false => cluster.cut_power(host),
        }
        cluster.hosts[host].disk.sync_steps = crate::disk::SYNC_STEPS;
    }
    for position in (1..hosts.len()).rev() {
        hosts.swap(position, cluster.random.random_range(0..=position));
    }
    for host in hosts {
        cluster.start(host);
        let steps = cluster.random.random_range(0..START_STEPS);
        cluster.run_for(STEP * steps);
    }
}

/// Runs one seed; `is_safe` tells whether the cluster tolerates the loss of `wiped` disks. Returns the
/// number of acknowledged changes.
fn run_seed(mut cluster: TestCluster, wiped: usize, is_safe: fn(&TestCluster) -> bool) -> u64 {
    let mut stream = ChangeStream::default();
    for _ in 0..ROUNDS {
        cluster.run_until(TIME_LIMIT, "seats for all voters", is_safe);
        disturb(&mut cluster, &mut stream);
        let steps = cluster.random.random_range(0..200);
        stream.run(&mut cluster, steps);
        run_to_moment(&mut cluster, &mut stream);

        lose_power(&mut cluster, wiped);

        let found = stream.read_back(&mut cluster);
        assert!(found >= stream.accepted, "read {found}, acknowledged was {}", stream.accepted);
        let before = stream.accepted;
        let end = cluster.now.after(TIME_LIMIT);
        while stream.accepted == before {
            assert!(cluster.now < end, "no change is accepted after the power loss");
            stream.run(&mut cluster, 1);
        }
    }
    stream.accepted.0
}

fn run_seeds(run: impl Fn(u64) -> u64) {
    let more = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    let seeds = more.unwrap_or(DEFAULT_SEEDS);
    let mut accepted = 0;
    for seed in 0..seeds {
        println!("seed {seed}");
        accepted += run(seed);
    }
    assert!(accepted > 20 * seeds, "{accepted} changes in {seeds} runs are too few");
}

/// Describes each host: role, term, commit, last entry and known seats.
fn summary(cluster: &TestCluster) -> String {
    let line = |host: usize| match &cluster.hosts[host].core {
        None => format!("host {host} is down"),
        Some(core) => {
            let seats: Vec<String> = core
                .seats()
                .iter()
                .map(|seat| format!("{}/{}", seat.node.as_str(), seat.folder.0))
                .collect();
            let (role, term) = (core.role(), core.term());
            let (commit, last) = (core.commit(), core.last_index());
            format!("host {host}: {role:?}, {term}, commit {commit}, last {last}, {seats:?}")
        }
    };
    (0..cluster.hosts.len()).map(line).collect::<Vec<String>>().join("\n")
}

fn faults(seed: u64) -> NetworkFaults {
    if seed.is_multiple_of(2) { NO_FAULTS } else { FAULTY_NETWORK }
}

fn all_seated(cluster: &TestCluster) -> bool {
    cluster.leader().is_some() && (0..cluster.hosts.len()).all(|host| cluster.is_seated(host))
}

fn voters_seated(cluster: &TestCluster) -> bool {
    voters_know(cluster, VOTERS)
}

/// Guards against a change, or the election of a leader, that depends on a host whose disk is lost while
/// all others lose power, also in the middle of a seat change.
#[test]
fn changes_outlive_a_lost_disk_and_a_power_loss() {
    run_seeds(|seed| {
        let cluster = TestCluster::dynamic(HOSTS, VOTERS, 5_000 + seed, faults(seed));
        run_seed(cluster, 1, voters_seated)
    });
}

/// As above with seven hosts, five voters and two lost disks.
#[test]
fn changes_outlive_two_lost_disks_among_five_voters() {
    run_seeds(|seed| {
        let cluster = TestCluster::dynamic(7, 5, 8_000 + seed, faults(seed));
        run_seed(cluster, 2, |cluster| voters_know(cluster, 5))
    });
}

/// As above with three hosts that are all voters from the start.
#[test]
fn changes_outlive_a_lost_disk_among_three_hosts() {
    run_seeds(|seed| run_seed(TestCluster::new(3, 6_000 + seed, faults(seed)), 1, all_seated));
}

/// As above with five hosts, of which two lose their disks.
#[test]
fn changes_outlive_two_lost_disks_among_five_hosts() {
    run_seeds(|seed| run_seed(TestCluster::new(5, 7_000 + seed, faults(seed)), 2, all_seated));
}

/// Guards against a control plane without a leader: the only host with the newest log is being removed, and does
/// not stand for election.
#[test]
fn removed_host_with_the_newest_log_is_elected_after_a_power_loss() {
    const SEED: u64 = 1_844;
    let cluster = TestCluster::dynamic(HOSTS, VOTERS, 5_000 + SEED, faults(SEED));

    run_seed(cluster, 1, voters_seated);
}
