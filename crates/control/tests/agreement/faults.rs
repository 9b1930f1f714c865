//! One fault at a time, brought about on purpose.

use std::time::Duration;

use assert_matches::assert_matches;
use briartray_control::agreement::{MemberRole, ProposalRefusal, ProposalToken, ReadToken};
use briartray_control::state::{CommandOutcome, ControlCommand};
use briartray_model::codec;
use briartray_model::names::{ChangeId, LogIndex, RevisionNumber, TermNumber};

use crate::cluster::{QUIET, SOON, TestCluster, TestEvent, apply_rules, ready_cluster};

/// Longer than any election timeout.
const LONG: Duration = Duration::from_secs(10);

fn leader(cluster: &TestCluster) -> usize {
    cluster.leader().expect("a leader")
}

fn term(cluster: &TestCluster, host: usize) -> TermNumber {
    cluster.hosts[host].core.as_ref().expect("a running host").term()
}

fn role(cluster: &TestCluster, host: usize) -> MemberRole {
    cluster.hosts[host].core.as_ref().expect("a running host").role()
}

fn others(cluster: &TestCluster, host: usize) -> Vec<usize> {
    (0..cluster.hosts.len()).filter(|other| *other != host).collect()
}

fn cut_off(cluster: &mut TestCluster, host: usize) {
    cluster.cut = others(cluster, host).into_iter().map(|other| (host, other)).collect();
}

/// Commits changes `from..to` on the leader, each on the revision before it.
fn commit_changes(cluster: &mut TestCluster, from: u64, to: u64) {
    let host = leader(cluster);
    for number in from..to {
        let change = ChangeId(u128::from(number));
        let command = apply_rules(change, RevisionNumber(number), number);
        assert!(cluster.propose(host, ProposalToken(number), &command));
        cluster.run_until(SOON, "a commit", |cluster| {
            cluster.hosts[host].state.rules.current().revision.0 > number
        });
    }
}

#[test]
fn cut_off_leader_steps_down_and_confirms_nothing() {
    // The leader's network card dies while the process runs on. An entry that still reaches it
    // would be told that old rules are in force.
    let mut cluster = ready_cluster(3, 1, QUIET);
    let old = leader(&cluster);
    cut_off(&mut cluster, old);
    assert!(cluster.read(old, ReadToken(1)));

    cluster.run_for(LONG);

    assert_ne!(role(&cluster, old), MemberRole::Leader);
    assert_ne!(leader(&cluster), old);
    let confirmed = cluster.events.iter().any(|(_, event)| matches!(event, TestEvent::Read { .. }));
    assert!(!confirmed, "a read was confirmed without a majority");
    assert!(cluster.events.contains(&(old, TestEvent::ReadLost(ReadToken(1)))));
}

#[test]
fn paused_leader_answers_nothing_when_it_wakes() {
    // The leader's process stands still for ten seconds while another one is elected. When it
    // goes on, it must not answer the read that came first, nor take a proposal.
    let mut cluster = ready_cluster(3, 2, QUIET);
    let old = leader(&cluster);
    cluster.pause(old, LONG);
    cluster.run_for(LONG);

    let now = cluster.now;
    let core = cluster.hosts[old].core.as_mut().expect("a running host");
    let read = core.read(now, ReadToken(1));
    let command = apply_rules(ChangeId(1), RevisionNumber(0), 1);
    let proposal = core.propose(now, ProposalToken(1), codec::encode(&command).expect("encodes"));

    assert_matches!(read, Err(ProposalRefusal::NotLeader { .. }));
    assert_matches!(proposal, Err(ProposalRefusal::NotLeader { .. }));
}

#[test]
fn rejoining_host_leaves_healthy_leader_alone() {
    // A control host is cut off for a long time and comes back. Without pre-vote its term would
    // have grown meanwhile, and operators would see the healthy leader lose its place.
    let mut cluster = ready_cluster(3, 3, QUIET);
    let healthy = leader(&cluster);
    let cut = others(&cluster, healthy)[0];
    let before = term(&cluster, healthy);
    cut_off(&mut cluster, cut);
    cluster.run_for(LONG * 6);

    cluster.cut.clear();
    cluster.run_for(LONG);

    assert_eq!(leader(&cluster), healthy);
    assert_eq!(term(&cluster, healthy), before);
    assert_eq!(term(&cluster, cut), before);
}

#[test]
fn wiped_voter_does_not_vote_as_its_old_self() {
    // A change is held by the leader and one other host when that other host loses its disk and
    // the leader is cut off. Would the empty host vote, it and the host that never had the change
    // would be a majority, and an accepted change would be gone.
    let mut cluster = ready_cluster(3, 4, QUIET);
    let first = leader(&cluster);
    let (wiped, late) = (others(&cluster, first)[0], others(&cluster, first)[1]);
    cut_off(&mut cluster, late);
    commit_changes(&mut cluster, 0, 1);
    cluster.kill(first);
    cluster.wipe(wiped);
    cluster.start(wiped);
    cluster.cut.clear();

    cluster.run_for(LONG * 6);

    assert_eq!(cluster.leader(), None, "a leader without the accepted change");
    assert_eq!(role(&cluster, wiped), MemberRole::Learner);

    cluster.start(first);
    cluster.run_until(SOON, "the seat of the new folder", |cluster| cluster.is_seated(wiped));
    cluster.run_for(LONG);
    let revisions: Vec<u64> =
        cluster.hosts.iter().map(|host| host.state.rules.current().revision.0).collect();
    assert_eq!(revisions, [1, 1, 1]);
}

#[test]
fn wiped_host_gets_seat_and_makes_majority_again() {
    // After a disk was replaced the host must count again, or the next failure stops everything.
    let mut cluster = ready_cluster(3, 5, QUIET);
    commit_changes(&mut cluster, 0, 5);
    let first = leader(&cluster);
    let wiped = others(&cluster, first)[0];
    cluster.wipe(wiped);
    cluster.start(wiped);
    cluster.run_until(SOON, "the seat of the new folder", |cluster| cluster.is_seated(wiped));
    cluster.run_for(LONG);

    let healthy = others(&cluster, first).into_iter().find(|host| *host != wiped);
    cluster.kill(healthy.expect("a third host"));
    cluster.run_for(LONG);
    commit_changes(&mut cluster, 5, 6);
    cluster.run_for(LONG);

    assert_eq!(cluster.hosts[wiped].state.rules.current().revision, RevisionNumber(6));
}

#[test]
fn seat_of_new_folder_outlives_restart_of_all() {
    // The power fails after a disk was replaced, and one of the old hosts stays down. The new
    // folder must still count, or two hosts of three could not elect a leader.
    let mut cluster = ready_cluster(3, 6, QUIET);
    commit_changes(&mut cluster, 0, 2);
    let first = leader(&cluster);
    let (wiped, lost) = (others(&cluster, first)[0], others(&cluster, first)[1]);
    cluster.wipe(wiped);
    cluster.start(wiped);
    cluster.run_until(SOON, "the seat of the new folder", |cluster| cluster.is_seated(wiped));
    cluster.run_for(LONG);
    for host in 0..3 {
        cluster.kill(host);
    }

    for host in [first, wiped] {
        cluster.start(host);
    }

    cluster.run_until(SOON, "a leader of two", |cluster| cluster.leader().is_some());
    assert!(cluster.hosts[lost].core.is_none());
}

#[test]
fn late_host_catches_up_by_snapshot() {
    // A host is down while hundreds of changes are made and the log is compacted. It must end
    // with the newest effect and nothing in between.
    let mut cluster = ready_cluster(3, 7, QUIET);
    let first = leader(&cluster);
    let late = others(&cluster, first)[0];
    cluster.kill(late);
    commit_changes(&mut cluster, 0, 700);
    for host in (0..3).filter(|host| *host != late) {
        let data = cluster.hosts[host].state.encode().expect("the state has an encoding");
        cluster.hosts[host].core.as_mut().expect("a running host").compact(data);
    }

    cluster.start(late);
    cluster.run_until(SOON, "the late host", |cluster| {
        cluster.hosts[late].state.rules.current().revision == RevisionNumber(700)
    });

    assert_eq!(cluster.hosts[late].state, cluster.naive);
}

#[test]
fn resend_gets_first_outcome_after_change_of_leader_and_snapshot() {
    // The answer to an accepted change is lost with the leader. The operator sends the same
    // change again to the next leader and must learn that it was accepted, not that it lost.
    let mut cluster = ready_cluster(3, 8, QUIET);
    commit_changes(&mut cluster, 0, 3);
    let first = leader(&cluster);
    let data = cluster.hosts[first].state.encode().expect("the state has an encoding");
    cluster.hosts[first].core.as_mut().expect("a running host").compact(data);
    cluster.kill(first);
    cluster.run_until(SOON, "the next leader", |cluster| cluster.leader().is_some());
    cluster.run_for(LONG);

    let next = leader(&cluster);
    let resent = apply_rules(ChangeId(1), RevisionNumber(1), 1);
    assert!(cluster.propose(next, ProposalToken(99), &resent));
    cluster.run_for(LONG);

    let accepted = CommandOutcome::RulesAccepted { revision: RevisionNumber(2) };
    assert!(cluster.events.contains(&(next, TestEvent::Done(ProposalToken(99), accepted))));
    assert_eq!(cluster.naive.rules.current().revision, RevisionNumber(3));
}

#[test]
fn proposals_beyond_the_bound_are_refused_as_busy() {
    // No majority answers while operators and entries go on. Memory must not grow without end;
    // whoever comes too late is told to come again.
    let mut cluster = ready_cluster(3, 9, QUIET);
    let first = leader(&cluster);
    let now = cluster.now;
    let core = cluster.hosts[first].core.as_mut().expect("a running host");

    let refusal = (0..100_000)
        .find_map(|number| core.propose(now, ProposalToken(number), vec![0; 1024]).err());

    assert_eq!(refusal, Some(ProposalRefusal::Busy));
    assert!(core.last_index().0 < 20_000);
}

#[test]
fn single_host_leads_at_once() {
    // The demonstration has one control host and must not wait for an election timeout.
    let mut cluster = TestCluster::new(1, 10, QUIET);

    cluster.run_until(Duration::from_millis(300), "a leader", |cluster| cluster.leader().is_some());

    let command: ControlCommand = apply_rules(ChangeId(1), RevisionNumber(0), 1);
    assert!(cluster.propose(0, ProposalToken(1), &command));
    cluster.run_until(SOON, "a commit", |cluster| cluster.hosts[0].applied >= LogIndex(2));
}
