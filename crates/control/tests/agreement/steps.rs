//! Tests that drive a single core with hand-written messages.

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, AppendCall, AppendReply, CoreOutput,
    EntryPayload, FolderId, HardState, LogEntry, MemberRole, MembershipMode, PeerBody, PeerMessage,
    ProposalToken, RecoveredState, VoteCall, VoterSeat,
};
use briartray_model::TimePoint;
use briartray_model::names::{LogIndex, NodeName, TermNumber};

use crate::cluster::{TIME_LIMIT, TestCluster};

const START: TimePoint = TimePoint(1_000_000);

fn seats() -> Vec<VoterSeat> {
    (0..3)
        .map(|host| VoterSeat { node: TestCluster::name(host), folder: FolderId(host as u64) })
        .collect()
}

/// Creates host 0 of three, with `entries` entries of term 1 in its log.
fn core_with(entries: u64) -> AgreementCore {
    let settings = AgreementSettings {
        node: TestCluster::name(0),
        folder: FolderId(0),
        members: (0..3).map(TestCluster::name).collect(),
        membership: MembershipMode::Fixed,
        times: AgreementTimes::default(),
        seed: 1,
    };
    let entry = |index| LogEntry {
        index: LogIndex(index),
        term: TermNumber(1),
        payload: EntryPayload::Command(vec![1]),
    };
    let hard = HardState { term: TermNumber(1), ..HardState::default() };
    let entries = (1..=entries).map(entry).collect();
    let recovered =
        RecoveredState { hard, founding: Some(seats()), entries, ..RecoveredState::default() };
    AgreementCore::new(START, settings, recovered)
}

pub fn message(host: usize, term: u64, body: PeerBody) -> PeerMessage {
    PeerMessage {
        from: TestCluster::name(host),
        folder: FolderId(host as u64),
        term: TermNumber(term),
        body,
    }
}

/// Drains the core and marks all writes as synced.
pub fn drain_synced(core: &mut AgreementCore, now: TimePoint) -> CoreOutput {
    let output = core.drain(now);
    if let Some(batch) = &output.batch {
        core.stored(now, batch.ticket);
    }
    output
}

/// Makes `core` the leader of term 2 with the vote of host 1.
fn elect(core: &mut AgreementCore) -> TimePoint {
    let now = START.after(TIME_LIMIT);
    core.tick(now);
    drain_synced(core, now);
    core.receive(now, message(1, 2, PeerBody::PreVoteReply { granted: true }));
    drain_synced(core, now);
    core.receive(now, message(1, 2, PeerBody::VoteReply { granted: true }));
    drain_synced(core, now);
    now
}

fn has_message(output: &CoreOutput, to: &NodeName, body: &PeerBody) -> bool {
    output.messages.iter().any(|(receiver, sent)| receiver == to && sent.body == *body)
}

#[test]
fn entry_of_earlier_term_is_not_committed_by_count_alone() {
    // A majority holds an entry of an earlier term. If the leader committed it by counting replicas
    // alone, a host without the entry could still be elected and overwrite it, and an accepted
    // change would be lost.
    let mut core = core_with(3);
    let now = elect(&mut core);
    let old = AppendReply { prev_index: LogIndex(3), matched: true, index: LogIndex(3), round: 1 };
    let own = AppendReply { prev_index: LogIndex(3), matched: true, index: LogIndex(4), round: 1 };

    core.receive(now, message(1, 2, PeerBody::AppendReply(old)));
    let after_old = core.commit();
    core.receive(now, message(1, 2, PeerBody::AppendReply(own)));
    let after_own = core.commit();

    assert_eq!(core.role(), MemberRole::Leader);
    assert_eq!((after_old, after_own), (LogIndex(0), LogIndex(4)));
}

#[test]
fn vote_is_given_only_once_it_is_synced() {
    // If a vote were sent before it is synced, a host that loses power could vote twice in the same
    // term, and two leaders could be elected.
    let mut core = core_with(0);
    let candidate = TestCluster::name(1);
    let granted = PeerBody::VoteReply { granted: true };
    let call = VoteCall { last_index: LogIndex(0), last_term: TermNumber(0) };

    core.receive(START, message(1, 2, PeerBody::Vote(call)));
    let unsynced = core.drain(START);
    let ticket = unsynced.batch.as_ref().expect("the vote is written").ticket;
    core.stored(START, ticket);
    let synced = core.drain(START);

    assert!(!has_message(&unsynced, &candidate, &granted), "the vote left before it was synced");
    assert!(has_message(&synced, &candidate, &granted));
}

#[test]
fn leader_commits_only_entries_synced_on_its_own_disk() {
    // Both followers have synced an entry but the leader's own disk has not. The entry must not be
    // committed yet, since the majority must include the leader's own disk.
    let mut core = core_with(0);
    let now = elect(&mut core);
    core.propose(now, ProposalToken(1), vec![1]).expect("this host leads");
    let output = core.drain(now);
    let held = AppendReply { prev_index: LogIndex(0), matched: true, index: LogIndex(2), round: 1 };

    for host in [1, 2] {
        core.receive(now, message(host, 2, PeerBody::AppendReply(held.clone())));
    }
    let before = core.commit();
    core.stored(now, output.batch.expect("the proposal is written").ticket);

    assert_eq!((before, core.commit()), (LogIndex(1), LogIndex(2)));
}

#[test]
fn seat_of_new_folder_is_committed_without_its_own_acknowledgement() {
    // Host 1 lost its disk and replies from an empty folder; host 2 is silent. If the new folder
    // counted for its own seat, the leader and a host without data would form a majority.
    let mut core = core_with(0);
    let now = elect(&mut core);
    let held = |index| {
        let index = LogIndex(index);
        PeerBody::AppendReply(AppendReply { prev_index: index, matched: true, index, round: 1 })
    };
    let from_new = |index| PeerMessage { folder: FolderId(77), ..message(1, 2, held(index)) };
    core.receive(now, message(2, 2, held(1)));
    drain_synced(&mut core, now);

    core.receive(now, from_new(1));
    drain_synced(&mut core, now);
    core.receive(now, from_new(2));
    let alone = core.commit();
    core.receive(now, message(2, 2, held(2)));

    assert_eq!((alone, core.commit()), (LogIndex(1), LogIndex(2)));
    assert!(core.seats().contains(&VoterSeat { node: TestCluster::name(1), folder: FolderId(77) }));
}

#[test]
fn large_state_is_not_written_again_for_few_entries() {
    // With a fixed threshold of a few thousand entries, a state of many megabytes would be written
    // so often that the disk and the control thread would do little else.
    let mut core = core_with(0);
    let now = elect(&mut core);
    let mut token = 0;
    let mut commit = |core: &mut AgreementCore, count: u64, size: usize| {
        for _ in 0..count {
            token += 1;
            core.propose(now, ProposalToken(token), vec![1; size]).expect("there is room");
            drain_synced(core, now);
            let index = core.last_index();
            let held = AppendReply { prev_index: index, matched: true, index, round: 1 };
            core.receive(now, message(1, 2, PeerBody::AppendReply(held)));
            drain_synced(core, now);
        }
    };

    commit(&mut core, 5000, 16);
    let small = core.wants_snapshot();
    core.compact(vec![0; 40 << 20]);
    commit(&mut core, 5000, 16);
    let large_early = core.wants_snapshot();
    commit(&mut core, 41, 1 << 20);
    let large_late = core.wants_snapshot();

    assert_eq!((small, large_early, large_late), (true, false, true));
}

#[test]
fn leader_whose_disk_hangs_steps_down() {
    // The leader's disk never completes a write. Its heartbeats would otherwise prevent an election
    // for ever, and no change could be accepted although two disks work.
    let mut core = core_with(0);
    let mut now = elect(&mut core);
    core.propose(now, ProposalToken(1), vec![1]).expect("this host leads");
    let answer = |round| {
        let reply =
            AppendReply { prev_index: LogIndex(1), matched: true, index: LogIndex(1), round };
        message(1, 2, PeerBody::AppendReply(reply))
    };

    let mut led_for = 0;
    for round in 0..100 {
        now = now.after(AgreementTimes::default().heartbeat);
        core.receive(now, answer(round));
        core.tick(now);
        core.drain(now);
        led_for += u32::from(core.role() == MemberRole::Leader);
    }

    assert!(led_for > 5, "{led_for}: stepped down after a short write delay");
    assert_ne!(core.role(), MemberRole::Leader);
}

/// Guards against elections that never end on a slow disk: a candidate that began anew before its vote was synced
/// would need another sync each time.
#[test]
fn candidate_waits_for_the_sync_of_its_vote() {
    let mut core = core_with(0);
    let mut now = START.after(TIME_LIMIT);
    core.tick(now);
    drain_synced(&mut core, now);
    core.receive(now, message(1, 2, PeerBody::PreVoteReply { granted: true }));
    let vote = core.drain(now).batch.expect("the vote is written");

    for _ in 0..20 {
        now = now.after(AgreementTimes::default().election / 4);
        core.tick(now);
        core.drain(now);
    }
    core.stored(now, vote.ticket);
    core.tick(now);
    drain_synced(&mut core, now);
    core.receive(now, message(1, 2, PeerBody::VoteReply { granted: true }));

    assert_eq!((core.role(), core.term()), (MemberRole::Leader, TermNumber(2)));
}

/// Guards against a host that is reported as a voter before its seat is committed: an operator who then
/// stops another voter leaves too few to commit the seat, and no change is accepted any more.
#[test]
fn a_host_is_no_follower_before_its_seat_is_committed() {
    let mut founding = seats();
    founding[0].folder = FolderId(7);
    let settings = AgreementSettings {
        node: TestCluster::name(0),
        folder: FolderId(0),
        members: (0..3).map(TestCluster::name).collect(),
        membership: MembershipMode::Fixed,
        times: AgreementTimes::default(),
        seed: 1,
    };
    let recovered = RecoveredState { founding: Some(founding), ..RecoveredState::default() };
    let mut core = AgreementCore::new(START, settings, recovered);
    let seat = LogEntry {
        index: LogIndex(1),
        term: TermNumber(1),
        payload: EntryPayload::Admit(seats()[0].clone()),
    };
    let append = |entries: Vec<LogEntry>, prev_index: u64, commit: u64| AppendCall {
        prev_index: LogIndex(prev_index),
        prev_term: TermNumber(prev_index),
        entries,
        commit: LogIndex(commit),
        round: 1,
    };

    core.receive(START, message(1, 1, PeerBody::Append(append(vec![seat], 0, 0))));
    drain_synced(&mut core, START);
    let appended = core.role();
    core.receive(START, message(1, 1, PeerBody::Append(append(Vec::new(), 1, 1))));
    drain_synced(&mut core, START);

    assert_eq!((appended, core.role()), (MemberRole::Learner, MemberRole::Follower));
}
