//! Tests that inject one specific fault each.

use std::time::Duration;

use assert_matches::assert_matches;
use briartray_control::agreement::{MemberRole, ProposalRefusal, ProposalToken, ReadToken};
use briartray_control::state::{CommandOutcome, ControlCommand};
use briartray_model::codec;
use briartray_model::names::{ChangeId, LogIndex, RevisionNumber, TermNumber};

use crate::cluster::{NO_FAULTS, TIME_LIMIT, TestCluster, TestEvent, apply_rules, ready_cluster};

/// Time after which elections have completed, longer than any election timeout.
const SETTLE_TIME: Duration = Duration::from_secs(10);

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
    cluster.partitions = others(cluster, host).into_iter().map(|other| (host, other)).collect();
}

/// Commits changes `from..to` on the leader, each based on the previous revision.
fn commit_changes(cluster: &mut TestCluster, from: u64, to: u64) {
    let host = leader(cluster);
    for number in from..to {
        let change = ChangeId(u128::from(number));
        let command = apply_rules(change, RevisionNumber(number), number);
        assert!(cluster.propose(host, ProposalToken(number), &command));
        cluster.run_until(TIME_LIMIT, "a commit", |cluster| {
            cluster.hosts[host].state.rules.current().revision.0 > number
        });
    }
}

#[test]
fn partitioned_leader_steps_down_and_confirms_no_read() {
    // Guards against stale reads: a leader that is cut off from the other hosts could otherwise
    // tell an entry that still reaches it that old rules are in force.
    let mut cluster = ready_cluster(3, 1, NO_FAULTS);
    let old = leader(&cluster);
    cut_off(&mut cluster, old);
    assert!(cluster.read(old, ReadToken(1)));

    cluster.run_for(SETTLE_TIME);

    assert_ne!(role(&cluster, old), MemberRole::Leader);
    assert_ne!(leader(&cluster), old);
    let confirmed = cluster.events.iter().any(|(_, event)| matches!(event, TestEvent::Read { .. }));
    assert!(!confirmed, "a read was confirmed without a majority");
    assert!(cluster.events.contains(&(old, TestEvent::ReadLost(ReadToken(1)))));
}

#[test]
fn resumed_leader_rejects_reads_and_proposals() {
    // The leader's process pauses for ten seconds while another host is elected. After resuming, it
    // must reject reads and proposals.
    let mut cluster = ready_cluster(3, 2, NO_FAULTS);
    let old = leader(&cluster);
    cluster.pause(old, SETTLE_TIME);
    cluster.run_for(SETTLE_TIME);

    let now = cluster.now;
    let core = cluster.hosts[old].core.as_mut().expect("a running host");
    let read = core.read(now, ReadToken(1));
    let command = apply_rules(ChangeId(1), RevisionNumber(0), 1);
    let proposal = core.propose(now, ProposalToken(1), codec::encode(&command).expect("encodes"));

    assert_matches!(read, Err(ProposalRefusal::NotLeader { .. }));
    assert_matches!(proposal, Err(ProposalRefusal::NotLeader { .. }));
}

#[test]
fn rejoining_host_does_not_depose_leader() {
    // A host is partitioned for a long time and rejoins. Without pre-vote, its increased term would
    // depose a healthy leader.
    let mut cluster = ready_cluster(3, 3, NO_FAULTS);
    let healthy = leader(&cluster);
    let isolated = others(&cluster, healthy)[0];
    let before = term(&cluster, healthy);
    cut_off(&mut cluster, isolated);
    cluster.run_for(SETTLE_TIME * 6);

    cluster.partitions.clear();
    cluster.run_for(SETTLE_TIME);

    assert_eq!(leader(&cluster), healthy);
    assert_eq!(term(&cluster, healthy), before);
    assert_eq!(term(&cluster, isolated), before);
}

#[test]
fn wiped_voter_does_not_vote() {
    // A change is held by the leader and one other host. That host loses its disk and the leader
    // goes down. If the empty folder could vote, it and the host without the change would form a
    // majority, and an accepted change would be lost.
    let mut cluster = ready_cluster(3, 4, NO_FAULTS);
    let first = leader(&cluster);
    let (wiped, lagging) = (others(&cluster, first)[0], others(&cluster, first)[1]);
    cut_off(&mut cluster, lagging);
    commit_changes(&mut cluster, 0, 1);
    cluster.kill(first);
    cluster.wipe(wiped);
    cluster.start(wiped);
    cluster.partitions.clear();

    cluster.run_for(SETTLE_TIME * 6);

    assert_eq!(cluster.leader(), None, "a leader without the accepted change");
    assert_eq!(role(&cluster, wiped), MemberRole::Learner);

    cluster.start(first);
    cluster.run_until(TIME_LIMIT, "the seat of the new folder", |cluster| cluster.is_seated(wiped));
    cluster.run_for(SETTLE_TIME);
    let revisions: Vec<u64> =
        cluster.hosts.iter().map(|host| host.state.rules.current().revision.0).collect();
    assert_eq!(revisions, [1, 1, 1]);
}

#[test]
fn wiped_host_regains_seat_and_counts_for_majority() {
    // After a disk replacement the host must count for majorities again, or the next failure is
    // fatal.
    let mut cluster = ready_cluster(3, 5, NO_FAULTS);
    commit_changes(&mut cluster, 0, 5);
    let first = leader(&cluster);
    let wiped = others(&cluster, first)[0];
    cluster.wipe(wiped);
    cluster.start(wiped);
    cluster.run_until(TIME_LIMIT, "the seat of the new folder", |cluster| cluster.is_seated(wiped));
    cluster.run_for(SETTLE_TIME);

    let healthy = others(&cluster, first).into_iter().find(|host| *host != wiped);
    cluster.kill(healthy.expect("a third host"));
    cluster.run_for(SETTLE_TIME);
    commit_changes(&mut cluster, 5, 6);
    cluster.run_for(SETTLE_TIME);

    assert_eq!(cluster.hosts[wiped].state.rules.current().revision, RevisionNumber(6));
}

#[test]
fn seat_of_new_folder_survives_restart_of_all_hosts() {
    // All hosts lose power after a disk was replaced, and one of the other hosts stays down. If the
    // seat of the new folder were lost, two of three hosts could not elect a leader.
    let mut cluster = ready_cluster(3, 6, NO_FAULTS);
    commit_changes(&mut cluster, 0, 2);
    let first = leader(&cluster);
    let (wiped, lost) = (others(&cluster, first)[0], others(&cluster, first)[1]);
    cluster.wipe(wiped);
    cluster.start(wiped);
    cluster.run_until(TIME_LIMIT, "the seat of the new folder", |cluster| cluster.is_seated(wiped));
    cluster.run_for(SETTLE_TIME);
    for host in 0..3 {
        cluster.kill(host);
    }

    for host in [first, wiped] {
        cluster.start(host);
    }

    cluster.run_until(TIME_LIMIT, "a leader of two", |cluster| cluster.leader().is_some());
    assert!(cluster.hosts[lost].core.is_none());
}

#[test]
fn lagging_host_catches_up_by_snapshot() {
    // A host is down while hundreds of changes are committed and the log is compacted. Its state
    // must equal the newest one afterwards.
    let mut cluster = ready_cluster(3, 7, NO_FAULTS);
    let first = leader(&cluster);
    let lagging = others(&cluster, first)[0];
    cluster.kill(lagging);
    commit_changes(&mut cluster, 0, 700);
    for host in (0..3).filter(|host| *host != lagging) {
        let data = cluster.hosts[host].state.encode().expect("the state has an encoding");
        cluster.hosts[host].core.as_mut().expect("a running host").compact(data);
    }

    cluster.start(lagging);
    cluster.run_until(TIME_LIMIT, "the lagging host", |cluster| {
        cluster.hosts[lagging].state.rules.current().revision == RevisionNumber(700)
    });

    assert_eq!(cluster.hosts[lagging].state, cluster.reference);
}

#[test]
fn resend_gets_first_outcome_after_change_of_leader_and_snapshot() {
    // The reply to an accepted change is lost with the leader. When the operator resends the
    // change, the next leader must report that it was accepted, not a conflict.
    let mut cluster = ready_cluster(3, 8, NO_FAULTS);
    commit_changes(&mut cluster, 0, 3);
    let first = leader(&cluster);
    let data = cluster.hosts[first].state.encode().expect("the state has an encoding");
    cluster.hosts[first].core.as_mut().expect("a running host").compact(data);
    cluster.kill(first);
    cluster.run_until(TIME_LIMIT, "the next leader", |cluster| cluster.leader().is_some());
    cluster.run_for(SETTLE_TIME);

    let next = leader(&cluster);
    let resent = apply_rules(ChangeId(1), RevisionNumber(1), 1);
    assert!(cluster.propose(next, ProposalToken(99), &resent));
    cluster.run_for(SETTLE_TIME);

    let accepted = CommandOutcome::RulesAccepted { revision: RevisionNumber(2) };
    assert!(cluster.events.contains(&(next, TestEvent::Done(ProposalToken(99), accepted))));
    assert_eq!(cluster.reference.rules.current().revision, RevisionNumber(3));
}

#[test]
fn proposals_beyond_the_bound_are_refused_as_busy() {
    // No majority responds while proposals continue. Memory must stay bounded, so that proposals
    // over the limit are rejected as busy.
    let mut cluster = ready_cluster(3, 9, NO_FAULTS);
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
    // A cluster of one host needs no votes and must not wait for an election timeout.
    let mut cluster = TestCluster::new(1, 10, NO_FAULTS);

    cluster.run_until(Duration::from_millis(300), "a leader", |cluster| cluster.leader().is_some());

    let command: ControlCommand = apply_rules(ChangeId(1), RevisionNumber(0), 1);
    assert!(cluster.propose(0, ProposalToken(1), &command));
    cluster.run_until(TIME_LIMIT, "a commit", |cluster| cluster.hosts[0].applied >= LogIndex(2));
}
