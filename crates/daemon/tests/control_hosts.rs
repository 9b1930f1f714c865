//! Failures of three control hosts that run as real processes.

mod hosts;

use std::sync::Arc;
use std::time::Duration;

use hosts::{ControlHosts, wait_for};

/// Number of operators that send concurrent changes for each revision.
const CONCURRENT_OPERATORS: u128 = 6;

#[test]
fn one_concurrent_change_wins_although_the_leader_is_killed() {
    // Six operators send different changes for the same revision, and the leader is killed
    // meanwhile. If two of them succeeded, one change would be lost; a retry with another outcome
    // would misinform its operator.
    let mut cluster = ControlHosts::ready();
    for round in 0..6_u64 {
        let leader = cluster.leader();
        let shared = Arc::new(cluster);
        let operators: Vec<_> = (0..CONCURRENT_OPERATORS)
            .map(|operator| {
                let cluster = Arc::clone(&shared);
                let change = u128::from(round) * CONCURRENT_OPERATORS + operator + 1;
                std::thread::spawn(move || {
                    let first = cluster.apply_until_certain(change, round);
                    let again = cluster.apply_until_certain(change, round);
                    assert_eq!(first, again, "a retry got another outcome");
                    first.0
                })
            })
            .collect();
        if round % 2 == 1 {
            shared.hosts[leader].signal("KILL");
        }
        let answers: Vec<u16> = operators
            .into_iter()
            .map(|operator| operator.join().expect("an operator thread ends"))
            .collect();
        cluster = Arc::into_inner(shared).expect("all operator threads have ended");
        cluster.hosts[leader].kill();
        cluster.hosts[leader].start();

        let winners = answers.iter().filter(|status| **status == 200).count();
        assert_eq!(winners, 1, "round {round}: {answers:?}");
    }
}

#[test]
fn resumed_leader_answers_nothing_stale() {
    // The leader is paused, as during a live migration, while a new leader accepts a change. After
    // it resumes it must never return the old rules.
    let cluster = ControlHosts::ready();
    let old = cluster.leader();
    cluster.apply_until_certain(1, 0);
    let others: Vec<usize> = (0..3).filter(|host| *host != old).collect();
    cluster.hosts[old].signal("STOP");
    cluster.leader_among(&others);
    let changed = wait_for("a change without the old leader", || {
        let accepted =
            |host: &usize| cluster.hosts[*host].apply(2, 1).filter(|(status, _)| *status == 200);
        others.iter().find_map(accepted)
    });

    cluster.hosts[old].signal("CONT");
    let mut answers = Vec::new();
    for _ in 0..200 {
        answers.extend(cluster.hosts[old].get("/v1/rules"));
        std::thread::sleep(Duration::from_millis(5));
    }

    assert_eq!(changed.1["revision"], 2);
    assert!(!answers.is_empty());
    let stale = answers.iter().find(|(status, body)| *status == 200 && body["revision"] != 2);
    assert_eq!(stale, None, "the old leader returned old rules");
}

#[test]
fn host_catches_up_after_500_changes_and_after_a_wipe() {
    // A control host is down for 500 changes, and later its data folder is lost. Each time it must
    // catch up with the newest rules and be counted as a voter again.
    let mut cluster = ControlHosts::ready();
    let leader = cluster.leader();
    let lagging = (leader + 1) % 3;
    cluster.hosts[lagging].kill();
    for number in 0..500_u64 {
        let (status, _) = cluster.apply_until_certain(u128::from(number) + 1, number);
        assert_eq!(status, 200);
    }
    let caught_up = |cluster: &ControlHosts| {
        wait_for("the newest rules", || {
            let host = &cluster.hosts[lagging];
            let newest = host.status("revision")? == 500;
            (newest && host.status("role")? == "follower").then_some(())
        });
    };

    cluster.hosts[lagging].start();
    caught_up(&cluster);
    cluster.hosts[lagging].kill();
    std::fs::remove_dir_all(&cluster.hosts[lagging].data_folder).expect("the folder is removed");
    cluster.hosts[lagging].start();
    caught_up(&cluster);

    // The wiped host and one of the others form a majority.
    let third = (leader + 2) % 3;
    cluster.hosts[third].kill();
    let (status, _) = cluster.apply_until_certain(501, 500);
    assert_eq!(status, 200);
}

#[test]
fn single_remaining_host_accepts_no_change() {
    // Two of three control hosts are killed. The remaining one has no majority and must refuse a
    // change instead of accepting it.
    let mut cluster = ControlHosts::ready();
    let leader = cluster.leader();
    for host in (0..3).filter(|host| *host != leader) {
        cluster.hosts[host].kill();
    }

    let answer = cluster.hosts[leader].apply(1, 0);
    let later = wait_for("a refusal", || cluster.hosts[leader].apply(2, 0));

    assert!(answer.is_none_or(|(status, _)| status == 503));
    assert_eq!(later.0, 503);
}

#[test]
fn host_that_cannot_store_its_vote_exits_with_an_error() {
    // A host fails to write its vote to disk after the leader was killed. It must exit instead of
    // voting without a durable record, and the other hosts must continue without it.
    let mut cluster = ControlHosts::ready();
    let leader = cluster.leader();
    let broken = (leader + 1) % 3;
    // A folder in place of the file makes opening it for writing fail.
    std::fs::create_dir(cluster.hosts[broken].data_folder.join("vote.new")).expect("it is made");
    cluster.hosts[leader].kill();

    let ended = wait_for("the end of the process", || cluster.hosts[broken].exit_code());
    cluster.hosts[leader].start();
    let (status, _) = cluster.apply_until_certain(1, 0);

    assert_eq!(ended, 2);
    assert_eq!(status, 200);
}
