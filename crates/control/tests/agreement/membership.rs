//! Tests of dynamic membership. Set `BRIARTRAY_SEEDS=5000` for a longer run.

use std::time::Duration;

use briartray_control::agreement::{AgreementTimes, ProposalToken};
use briartray_control::state::CommandOutcome;
use briartray_model::names::{ChangeId, RevisionNumber};
use rand::RngExt;

use crate::cluster::{NO_FAULTS, NetworkFaults, TIME_LIMIT, TestCluster, TestEvent, apply_rules};

/// Number of seeds without the environment variable, as in CI.
const DEFAULT_SEEDS: u64 = 16;

/// Environment variable that sets the number of seeds.
const SEEDS_VARIABLE: &str = "BRIARTRAY_SEEDS";

const FAULTY_NETWORK: NetworkFaults = NetworkFaults { lost: 40, duplicated: 40, delay: 5 };

/// Number of hosts.
pub const HOSTS: usize = 5;

/// Target number of voters.
pub const VOTERS: usize = 3;

fn full_cluster(seed: u64, faults: NetworkFaults) -> TestCluster {
    let mut cluster = TestCluster::dynamic(HOSTS, VOTERS, seed, faults);
    cluster.run_until(TIME_LIMIT, "three voters", |cluster| voters_know(cluster, VOTERS));
    cluster
}

/// Whether there are `count` voters that all know this and hold their seats. A voter with a wiped
/// disk does not count until it has regained its seat.
pub fn voters_know(cluster: &TestCluster, count: usize) -> bool {
    let voters = cluster.voters();
    let knows = |host: usize| {
        let core = cluster.hosts[host].core.as_ref();
        core.is_some_and(|core| core.seats().len() == count) && cluster.is_seated(host)
    };
    let named = |host: &usize| voters.contains(&TestCluster::name(*host));
    voters.len() == count && (0..cluster.hosts.len()).filter(named).all(knows)
}

/// Proposes a change to the current leader until one is committed.
pub fn commit(cluster: &mut TestCluster, number: u64) {
    let end = cluster.now.after(TIME_LIMIT);
    let mut tries = 0;
    loop {
        assert!(cluster.now < end, "change {number} is not committed in time");
        let Some(leader) = cluster.leader() else {
            cluster.step();
            continue;
        };
        tries += 1;
        let token = ProposalToken(number * 1_000 + tries);
        let expect = cluster.hosts[leader].state.rules.current().revision;
        let change = ChangeId(u128::from(number * 1_000 + tries));
        if !cluster.propose(leader, token, &apply_rules(change, expect, number)) {
            cluster.step();
            continue;
        }
        for _ in 0..300 {
            cluster.step();
            let done = |(_, event): &(usize, TestEvent)| {
                matches!(event, TestEvent::Done(known, CommandOutcome::RulesAccepted { .. })
                    if *known == token)
            };
            if cluster.events.iter().any(done) {
                return;
            }
        }
    }
}

/// One host bootstraps the log with an empty disk, and the others are added one by one. Afterwards
/// committed changes must survive the loss of any one host.
#[test]
fn bootstrapped_log_grows_to_target_voters() {
    let mut cluster = full_cluster(1, NO_FAULTS);

    commit(&mut cluster, 1);
    let leader = cluster.leader().expect("a leader was just there");
    cluster.kill(leader);
    commit(&mut cluster, 2);

    assert!(cluster.reference.rules.current().revision >= RevisionNumber(2));
}

/// A voter is lost for good, and another host takes over its vote. The cluster must then survive a
/// second loss, which would be fatal without the replacement.
#[test]
fn absent_voter_is_replaced() {
    let mut cluster = full_cluster(2, NO_FAULTS);
    let voters = cluster.voters();
    let leader = cluster.leader().expect("a grown cluster has a leader");
    let lost = (0..HOSTS)
        .find(|host| *host != leader && voters.contains(&TestCluster::name(*host)))
        .expect("two voters follow");

    cluster.kill(lost);
    cluster.run_until(TIME_LIMIT, "another voter in its place", |cluster| {
        voters_know(cluster, VOTERS) && !cluster.voters().contains(&TestCluster::name(lost))
    });
    let leader = cluster.leader().expect("the leader stays");
    cluster.kill(leader);

    commit(&mut cluster, 3);
}

/// A voter's disk is wiped while its process is down, and it returns under its old name. It must
/// not vote until it has caught up and regained its seat.
#[test]
fn wiped_voter_regains_its_seat() {
    let mut cluster = full_cluster(3, NO_FAULTS);
    commit(&mut cluster, 1);
    let leader = cluster.leader().expect("a grown cluster has a leader");
    let voters = cluster.voters();
    let wiped = (0..HOSTS)
        .find(|host| *host != leader && voters.contains(&TestCluster::name(*host)))
        .expect("two voters follow");

    cluster.wipe(wiped);
    cluster.start(wiped);

    assert!(!cluster.is_seated(wiped), "an empty folder has no vote");
    cluster.run_until(TIME_LIMIT, "its seat", |cluster| cluster.is_seated(wiped));
    commit(&mut cluster, 2);
}

/// All processes stop at once after the bootstrapping host was replaced. The remaining hosts must
/// know the voters from their own disks and keep all accepted changes.
#[test]
fn voters_are_kept_after_restart_of_all_hosts() {
    let mut cluster = full_cluster(4, NO_FAULTS);
    commit(&mut cluster, 1);
    cluster.kill(0);
    cluster.run_until(TIME_LIMIT, "a voter in the founder's place", |cluster| {
        voters_know(cluster, VOTERS) && !cluster.voters().contains(&TestCluster::name(0))
    });
    commit(&mut cluster, 2);

    for host in 1..HOSTS {
        cluster.kill(host);
    }
    for host in 1..HOSTS {
        cluster.start(host);
    }

    commit(&mut cluster, 3);
    assert!(cluster.reference.rules.current().revision >= RevisionNumber(3));
}

/// Hosts are killed, wiped, paused and partitioned at random while messages are lost and duplicated
/// and voters are replaced. Committed changes must not differ between hosts or disappear, and no
/// two hosts may lead in one term; the simulated cluster checks both at every step.
#[test]
fn committed_history_is_consistent_under_random_faults() {
    let more = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 0..more.unwrap_or(DEFAULT_SEEDS) {
        run_seed(seed);
    }
}

fn run_seed(seed: u64) {
    let mut cluster = full_cluster(1_000 + seed, FAULTY_NETWORK);
    for round in 1..12 {
        commit(&mut cluster, round);
        let host = cluster.random.random_range(0..HOSTS);
        let down = (0..HOSTS).find(|host| cluster.hosts[*host].core.is_none());
        match cluster.random.random_range(0..5) {
            // Three voters tolerate one failure at a time.
            _ if down.is_some() => cluster.start(down.unwrap_or(0)),
            0 => cluster.kill(host),
            1 => {
                cluster.wipe(host);
                let wait = Duration::from_millis(cluster.random.random_range(0..6_000));
                cluster.run_for(wait);
                cluster.start(host);
                // The wiped host counts as failed until it has caught up, so wait before the next
                // fault.
                cluster.run_until(TIME_LIMIT, "the wiped host", |cluster| {
                    voters_know(cluster, VOTERS)
                });
            }
            2 => {
                let time = Duration::from_millis(cluster.random.random_range(100..4_000));
                cluster.pause(host, time);
            }
            3 => {
                let others: Vec<usize> = (0..HOSTS).filter(|other| *other != host).collect();
                cluster.partitions = others.iter().map(|other| (host, *other)).collect();
                let time = Duration::from_millis(cluster.random.random_range(100..4_000));
                cluster.run_for(time);
                cluster.partitions.clear();
            }
            _ => {
                for host in 0..HOSTS {
                    cluster.kill(host);
                }
                for host in 0..HOSTS {
                    cluster.start(host);
                }
            }
        }
        let pause = Duration::from_millis(cluster.random.random_range(0..5_000));
        cluster.run_for(pause);
    }
}

/// All hosts restart at once. Their first vote requests are lost because connections are not open
/// yet. If they then waited for a full election timeout, callers would wait a second longer.
#[test]
fn leader_is_elected_soon_after_network_recovers() {
    for seed in 0..DEFAULT_SEEDS {
        let mut cluster = full_cluster(900 + seed, NO_FAULTS);
        cluster.run_for(Duration::from_secs(1));
        let voters: Vec<usize> = (0..HOSTS)
            .filter(|host| cluster.voters().contains(&TestCluster::name(*host)))
            .collect();
        for host in 0..HOSTS {
            cluster.kill(host);
        }
        cluster.partitions.push((voters[0], voters[1]));
        cluster.start(voters[0]);
        cluster.start(voters[1]);
        // Both hosts have sent a request by now, and it was lost.
        cluster.run_for(Duration::from_millis(700));

        let open = cluster.now;
        cluster.partitions.clear();
        cluster.run_until(TIME_LIMIT, "a leader", |cluster| cluster.leader().is_some());

        // Each wait is an eighth of 900 to 1,800 ms; then an election takes place.
        let took = cluster.now.since(open);
        assert!(took < Duration::from_millis(800), "seed {seed}: {took:?}");
    }
}

/// All hosts lose power and restart one after the other. The first ones request votes in vain. If
/// they then waited for a full election timeout while a majority is up, callers would be rejected
/// or answered late during that time.
#[test]
fn leader_is_elected_soon_after_majority_starts() {
    let usual = AgreementTimes::default().election;
    for seed in 0..DEFAULT_SEEDS {
        let mut cluster = full_cluster(700 + seed, NO_FAULTS);
        cluster.run_for(Duration::from_secs(1));
        let (voters, rest): (Vec<usize>, Vec<usize>) =
            (0..HOSTS).partition(|host| cluster.voters().contains(&TestCluster::name(*host)));
        for host in 0..HOSTS {
            cluster.kill(host);
        }
        for host in rest.into_iter().chain([voters[0]]) {
            cluster.start(host);
        }
        cluster.run_for(Duration::from_millis(400));

        cluster.start(voters[1]);
        let majority = cluster.now;
        cluster.run_until(TIME_LIMIT, "a leader", |cluster| cluster.leader().is_some());

        let took = cluster.now.since(majority);
        assert!(took < usual / 2, "seed {seed}: {took:?}");
    }
}
