//! Voters that come and go while the log is in use. `BRIARTRAY_SEEDS=5000` asks for a longer run.

use std::time::Duration;

use briartray_control::agreement::{AgreementTimes, ProposalToken};
use briartray_control::state::CommandOutcome;
use briartray_model::names::{ChangeId, RevisionNumber};
use rand::RngExt;

use crate::cluster::{QUIET, SOON, TestCluster, TestEvent, WireFaults, apply_rules};

/// Seeds of every run of CI.
const SEEDS: u64 = 16;

/// Environment variable that asks for more seeds.
const MORE_SEEDS: &str = "BRIARTRAY_SEEDS";

const ROUGH: WireFaults = WireFaults { lost: 40, doubled: 40, delay: 5 };

/// Hosts that could vote.
const HOSTS: usize = 5;

/// Hosts that do.
const VOTERS: usize = 3;

fn grown_cluster(seed: u64, faults: WireFaults) -> TestCluster {
    let mut cluster = TestCluster::dynamic(HOSTS, VOTERS, seed, faults);
    cluster.run_until(SOON, "three voters", |cluster| voters_know(cluster, VOTERS));
    cluster
}

/// Whether there are `count` voters, and each of them knows it and has its seat: one whose disk was
/// emptied counts as lost until then.
fn voters_know(cluster: &TestCluster, count: usize) -> bool {
    let voters = cluster.voters();
    let knows = |host: usize| {
        let core = cluster.hosts[host].core.as_ref();
        core.is_some_and(|core| core.seats().len() == count) && cluster.is_seated(host)
    };
    let named = |host: &usize| voters.contains(&TestCluster::name(*host));
    voters.len() == count && (0..HOSTS).filter(named).all(knows)
}

/// Sends changes to whoever leads until one is committed.
fn commit(cluster: &mut TestCluster, number: u64) {
    let end = cluster.now.after(SOON);
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

/// One host with an empty disk begins, the others are told of it and are added one by one. An
/// operator's first change is kept by three hosts, of which any one may go.
#[test]
fn one_founder_grows_to_the_wanted_voters() {
    let mut cluster = grown_cluster(1, QUIET);

    commit(&mut cluster, 1);
    let leader = cluster.leader().expect("a leader was just there");
    cluster.kill(leader);
    commit(&mut cluster, 2);

    assert!(cluster.naive.rules.current().revision >= RevisionNumber(2));
}

/// A control host burns down. Another one with a disk stands by and is given its vote; afterwards
/// a second loss, which the first one alone would have made fatal, is borne as well.
#[test]
fn a_voter_that_stays_away_is_replaced() {
    let mut cluster = grown_cluster(2, QUIET);
    let voters = cluster.voters();
    let leader = cluster.leader().expect("a grown cluster has a leader");
    let lost = (0..HOSTS)
        .find(|host| *host != leader && voters.contains(&TestCluster::name(*host)))
        .expect("two voters follow");

    cluster.kill(lost);
    cluster.run_until(SOON, "another voter in its place", |cluster| {
        voters_know(cluster, VOTERS) && !cluster.voters().contains(&TestCluster::name(lost))
    });
    let leader = cluster.leader().expect("the leader stays");
    cluster.kill(leader);

    commit(&mut cluster, 3);
}

/// A voter's disk is emptied while its process is down, and it comes back under its old name. It
/// must not vote as the host it was; it gets its seat again once it has caught up.
#[test]
fn a_wiped_voter_is_seated_again() {
    let mut cluster = grown_cluster(3, QUIET);
    commit(&mut cluster, 1);
    let leader = cluster.leader().expect("a grown cluster has a leader");
    let voters = cluster.voters();
    let wiped = (0..HOSTS)
        .find(|host| *host != leader && voters.contains(&TestCluster::name(*host)))
        .expect("two voters follow");

    cluster.wipe(wiped);
    cluster.start(wiped);

    assert!(!cluster.is_seated(wiped), "an empty folder has no vote");
    cluster.run_until(SOON, "its seat", |cluster| cluster.is_seated(wiped));
    commit(&mut cluster, 2);
}

/// Every process ends at once, as when the power fails, after the founder was replaced. The hosts
/// that are left know from their own disks who votes, and go on with all that was accepted.
#[test]
fn voters_survive_a_stop_of_everyone() {
    let mut cluster = grown_cluster(4, QUIET);
    commit(&mut cluster, 1);
    cluster.kill(0);
    cluster.run_until(SOON, "a voter in the founder's place", |cluster| {
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
    assert!(cluster.naive.rules.current().revision >= RevisionNumber(3));
}

/// Hosts are killed, wiped, paused and cut off at random while messages get lost and doubled, and
/// voters are replaced all the while. No committed change may differ between hosts or go away, and
/// no two hosts may lead in one term; the cluster checks both at every step.
#[test]
fn seeded_losses_keep_one_history() {
    let more = std::env::var(MORE_SEEDS).ok().and_then(|text| text.parse().ok());
    for seed in 0..more.unwrap_or(SEEDS) {
        run_seed(seed);
    }
}

fn run_seed(seed: u64) {
    let mut cluster = grown_cluster(1_000 + seed, ROUGH);
    for round in 1..12 {
        commit(&mut cluster, round);
        let host = cluster.random.random_range(0..HOSTS);
        let down = (0..HOSTS).find(|host| cluster.hosts[*host].core.is_none());
        match cluster.random.random_range(0..5) {
            // One loss at a time is what three voters bear.
            _ if down.is_some() => cluster.start(down.unwrap_or(0)),
            0 => cluster.kill(host),
            1 => {
                cluster.wipe(host);
                let wait = Duration::from_millis(cluster.random.random_range(0..6_000));
                cluster.run_for(wait);
                cluster.start(host);
                // Its disk is back only when it has caught up: no other one may go before.
                cluster.run_until(SOON, "the wiped host", |cluster| voters_know(cluster, VOTERS));
            }
            2 => {
                let time = Duration::from_millis(cluster.random.random_range(100..4_000));
                cluster.pause(host, time);
            }
            3 => {
                let others: Vec<usize> = (0..HOSTS).filter(|other| *other != host).collect();
                cluster.cut = others.iter().map(|other| (host, *other)).collect();
                let time = Duration::from_millis(cluster.random.random_range(100..4_000));
                cluster.run_for(time);
                cluster.cut.clear();
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

/// All hosts lose power and start again. They ask for votes while their links are not open yet, and
/// nobody hears it. They asked again only after the usual time without a leader, and callers waited
/// for a second more.
#[test]
fn a_leader_is_found_soon_after_the_links_are_open() {
    for seed in 0..SEEDS {
        let mut cluster = grown_cluster(900 + seed, QUIET);
        cluster.run_for(Duration::from_secs(1));
        let voters: Vec<usize> = (0..HOSTS)
            .filter(|host| cluster.voters().contains(&TestCluster::name(*host)))
            .collect();
        for host in 0..HOSTS {
            cluster.kill(host);
        }
        cluster.cut.push((voters[0], voters[1]));
        cluster.start(voters[0]);
        cluster.start(voters[1]);
        // Both have asked by now, in vain.
        cluster.run_for(Duration::from_millis(700));

        let open = cluster.now;
        cluster.cut.clear();
        cluster.run_until(SOON, "a leader", |cluster| cluster.leader().is_some());

        // Each wait is an eighth of 900 to 1,800 ms; then a vote is held.
        let took = cluster.now.since(open);
        assert!(took < Duration::from_millis(800), "seed {seed}: {took:?}");
    }
}

/// All machines lose power and have it again one after the other. Those that start first ask for votes in vain.
/// They waited for most of a usual time without a leader before they asked again, while a majority was up, and
/// all that time callers were refused or answered late.
#[test]
fn a_leader_is_found_soon_after_a_majority_is_up() {
    let usual = AgreementTimes::default().election;
    for seed in 0..SEEDS {
        let mut cluster = grown_cluster(700 + seed, QUIET);
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
        cluster.run_until(SOON, "a leader", |cluster| cluster.leader().is_some());

        let took = cluster.now.since(majority);
        assert!(took < usual / 2, "seed {seed}: {took:?}");
    }
}
