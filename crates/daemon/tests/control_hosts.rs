//! Three control hosts as real processes, with the failures that their operators meet.

mod hosts;

use std::sync::Arc;
use std::time::Duration;

use hosts::{ControlHosts, wait_for};

/// Operators that race for each revision.
const RACERS: u128 = 6;

#[test]
fn one_racer_wins_though_the_leader_is_killed() {
    // Six operators send different changes on the same revision, and the leader is killed in the
    // middle. Two winners would mean that one operator's change vanished; a resend with another
    // outcome would tell an operator the wrong thing.
    let mut cluster = ControlHosts::ready();
    for round in 0..6_u64 {
        let leader = cluster.leader();
        let shared = Arc::new(cluster);
        let racers: Vec<_> = (0..RACERS)
            .map(|racer| {
                let cluster = Arc::clone(&shared);
                let change = u128::from(round) * RACERS + racer + 1;
                std::thread::spawn(move || {
                    let first = cluster.apply_for_certain(change, round);
                    let again = cluster.apply_for_certain(change, round);
                    assert_eq!(first, again, "a resend got another outcome");
                    first.0
                })
            })
            .collect();
        if round % 2 == 1 {
            shared.hosts[leader].signal("KILL");
        }
        let answers: Vec<u16> =
            racers.into_iter().map(|racer| racer.join().expect("a racer ends")).collect();
        cluster = Arc::into_inner(shared).expect("every racer has ended");
        cluster.hosts[leader].kill();
        cluster.hosts[leader].start();

        let winners = answers.iter().filter(|status| **status == 200).count();
        assert_eq!(winners, 1, "round {round}: {answers:?}");
    }
}

#[test]
fn stopped_leader_answers_nothing_stale_when_it_goes_on() {
    // The leader's process is stopped, as by a virtual machine that is moved, while another
    // leader takes a change. When it goes on it must not show the old rules for one moment.
    let cluster = ControlHosts::ready();
    let old = cluster.leader();
    cluster.apply_for_certain(1, 0);
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
    assert_eq!(stale, None, "the old leader showed old rules");
}

#[test]
fn host_catches_up_after_500_changes_and_after_a_wipe() {
    // A control host is down for 500 changes, later its disk is replaced by an empty one. Each
    // time it must come to the newest rules and count again as a voter.
    let mut cluster = ControlHosts::ready();
    let leader = cluster.leader();
    let late = (leader + 1) % 3;
    cluster.hosts[late].kill();
    for number in 0..500_u64 {
        let (status, _) = cluster.apply_for_certain(u128::from(number) + 1, number);
        assert_eq!(status, 200);
    }
    let caught_up = |cluster: &ControlHosts| {
        wait_for("the newest rules", || {
            let host = &cluster.hosts[late];
            let newest = host.status("revision")? == 500;
            (newest && host.status("role")? == "follower").then_some(())
        });
    };

    cluster.hosts[late].start();
    caught_up(&cluster);
    cluster.hosts[late].kill();
    std::fs::remove_dir_all(&cluster.hosts[late].data_folder).expect("the folder goes");
    cluster.hosts[late].start();
    caught_up(&cluster);

    // The wiped host makes a majority with one of the others.
    let third = (leader + 2) % 3;
    cluster.hosts[third].kill();
    let (status, _) = cluster.apply_for_certain(501, 500);
    assert_eq!(status, 200);
}

#[test]
fn single_survivor_takes_no_change() {
    // Two of three control hosts are gone. The last one cannot know what they agreed on, and an
    // operator must be told so instead of being told that a change is accepted.
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
fn host_whose_disk_refuses_a_write_ends_with_an_error() {
    // One host's disk refuses the next write of the vote while the leader dies. That host must
    // end instead of voting without remembering it, and the others must go on without it.
    let mut cluster = ControlHosts::ready();
    let leader = cluster.leader();
    let broken = (leader + 1) % 3;
    // A folder in the place of the file to be written: opening it for writing fails.
    std::fs::create_dir(cluster.hosts[broken].data_folder.join("vote.new")).expect("it is made");
    cluster.hosts[leader].kill();

    let ended = wait_for("the end of the process", || cluster.hosts[broken].exit_code());
    cluster.hosts[leader].start();
    let (status, _) = cluster.apply_for_certain(1, 0);

    assert_eq!(ended, 2);
    assert_eq!(status, 200);
}
