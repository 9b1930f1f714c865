//! A voter is removed, or another change of voters is open, when a host is lost. Set
//! `BRIARTRAY_SEEDS=5000` for a longer run.

use std::time::Duration;

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, AppendCall, AppendReply, CoreOutput,
    EntryPayload, FolderId, HardState, LogEntry, MemberRole, MembershipMode, PeerBody,
    ProposalToken, RecoveredState, VoterSeat,
};
use briartray_model::TimePoint;
use briartray_model::names::{LogIndex, TermNumber};
use rand::RngExt;

use crate::cluster::{NO_FAULTS, STEP, TIME_LIMIT, TestCluster};
use crate::membership::{VOTERS, commit, voters_know};
use crate::power_loss::ChangeStream;
use crate::steps::{drain_synced, message};

/// Number of seeds without the environment variable, as in CI.
const DEFAULT_SEEDS: u64 = 16;

/// Environment variable that sets the number of seeds.
const SEEDS_VARIABLE: &str = "BRIARTRAY_SEEDS";

/// Longest time without a leader once a majority of sound hosts is in touch again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

const START: TimePoint = TimePoint(1_000_000);

/// Number of voters before the removal.
const SURPLUS_VOTERS: usize = 4;

fn seat(host: usize) -> VoterSeat {
    VoterSeat { node: TestCluster::name(host), folder: FolderId(host as u64) }
}

/// Creates host 0 with folder 0, the founding voters `founding` and the log `payloads`, of which nothing is
/// committed.
fn core_with(founding: Vec<VoterSeat>, payloads: &[EntryPayload]) -> AgreementCore {
    let settings = AgreementSettings {
        node: TestCluster::name(0),
        folder: FolderId(0),
        members: (0..SURPLUS_VOTERS).map(TestCluster::name).collect(),
        membership: MembershipMode::Dynamic { voters: VOTERS },
        times: AgreementTimes::default(),
        seed: 1,
    };
    let entry = |(index, payload): (u64, &EntryPayload)| LogEntry {
        index: LogIndex(index),
        term: TermNumber(1),
        payload: payload.clone(),
    };
    let recovered = RecoveredState {
        hard: HardState { term: TermNumber(1), ..HardState::default() },
        founding: Some(founding),
        entries: (1..).zip(payloads).map(entry).collect(),
        ..RecoveredState::default()
    };
    AgreementCore::new(START, settings, recovered)
}

/// Creates host 0 of four voters; the last entry of its log removes it and is not committed.
fn dismissed_core() -> AgreementCore {
    let removal = EntryPayload::Dismiss(TestCluster::name(0));
    core_with((0..SURPLUS_VOTERS).map(seat).collect(), &[removal])
}

fn acknowledgement(index: u64) -> PeerBody {
    let index = LogIndex(index);
    PeerBody::AppendReply(AppendReply { prev_index: index, matched: true, index, round: 1 })
}

fn asks_for_votes(output: &CoreOutput) -> bool {
    let asks = |body: &PeerBody| matches!(body, PeerBody::PreVote(_) | PeerBody::Vote(_));
    output.messages.iter().any(|(_, sent)| asks(&sent.body))
}

/// Lets `core` ask for pre-votes and then for votes, which the hosts in `voters` grant.
fn stand(core: &mut AgreementCore, voters: &[usize]) -> TimePoint {
    let now = START.after(TIME_LIMIT);
    core.tick(now);
    drain_synced(core, now);
    for body in [PeerBody::PreVoteReply { granted: true }, PeerBody::VoteReply { granted: true }] {
        for host in voters {
            core.receive(now, message(*host, 2, body.clone()));
            drain_synced(core, now);
        }
    }
    now
}

/// Guards against an election without a winner: the only host with the newest log does not stand since that
/// log removes it, although the removal is not committed.
#[test]
fn host_whose_removal_is_not_committed_stands_for_election() {
    let mut core = dismissed_core();

    stand(&mut core, &[1, 2]);

    assert_eq!((core.role(), core.term()), (MemberRole::Leader, TermNumber(2)));
}

/// Guards against an election without a winner where a host knows neither its admission nor its removal to be
/// committed.
#[test]
fn host_whose_admission_and_removal_are_open_stands_for_election() {
    let own = EntryPayload::Admit(seat(0));
    let removal = EntryPayload::Dismiss(TestCluster::name(0));
    let mut core = core_with((1..SURPLUS_VOTERS).map(seat).collect(), &[own, removal]);

    stand(&mut core, &[1, 2]);

    assert_eq!((core.role(), core.term()), (MemberRole::Leader, TermNumber(2)));
}

/// Guards against a spare host that takes part in elections because its log holds the newest entries.
#[test]
fn host_that_never_had_a_seat_does_not_stand_for_election() {
    let removal = EntryPayload::Dismiss(TestCluster::name(3));
    let mut core = core_with((1..SURPLUS_VOTERS).map(seat).collect(), &[removal]);

    core.tick(START.after(TIME_LIMIT));
    let output = drain_synced(&mut core, START.after(TIME_LIMIT));

    assert!(!asks_for_votes(&output));
}

/// Guards against two leaders in a term: a host that is being removed is no voter of the new set, so that its own
/// vote must not count.
#[test]
fn vote_of_host_that_is_being_removed_does_not_count_for_itself() {
    let mut core = dismissed_core();

    stand(&mut core, &[1]);

    assert_ne!(core.role(), MemberRole::Leader);
}

/// Guards against an entry that is lost again: the copy of a leader that is being removed must not count towards
/// the majority of the new voters.
#[test]
fn leader_that_is_being_removed_does_not_count_its_own_copy() {
    let mut core = dismissed_core();
    let now = stand(&mut core, &[1, 2]);

    core.receive(now, message(1, 2, acknowledgement(2)));
    drain_synced(&mut core, now);
    let with_one = core.commit();
    core.receive(now, message(2, 2, acknowledgement(2)));
    drain_synced(&mut core, now);

    assert_eq!((with_one, core.commit()), (LogIndex(0), LogIndex(2)));
}

/// Guards against a removed host that goes on as leader.
#[test]
fn leader_steps_down_once_its_own_removal_is_committed() {
    let mut core = dismissed_core();
    let mut now = stand(&mut core, &[1, 2]);
    core.propose(now, ProposalToken(1), vec![1]).expect("this host leads");
    drain_synced(&mut core, now);

    for host in [1, 2] {
        core.receive(now, message(host, 2, acknowledgement(3)));
    }
    let output = drain_synced(&mut core, now);
    let after_commit = core.role();
    now = now.after(TIME_LIMIT);
    core.tick(now);
    let later = drain_synced(&mut core, now);

    let delivered = output.deliveries.len() + later.deliveries.len();
    assert_eq!(
        (after_commit, core.role(), delivered),
        (MemberRole::Learner, MemberRole::Learner, 3)
    );
    assert!(!asks_for_votes(&later), "it has no seat any more");
}

/// Guards against a host with an emptied folder that stands for election: the seat that it held belongs to its
/// former folder.
#[test]
fn host_with_an_emptied_folder_does_not_stand_for_election() {
    let former = VoterSeat { folder: FolderId(9), ..seat(0) };
    let founding = [former].into_iter().chain((1..SURPLUS_VOTERS).map(seat)).collect();
    let mut core = core_with(founding, &[EntryPayload::Blank]);
    let now = START.after(TIME_LIMIT);

    core.tick(now);
    let output = drain_synced(&mut core, now);

    assert!(!asks_for_votes(&output));
}

/// Guards against followers that wait for a whole election timeout after their leader was removed.
#[test]
fn follower_stands_soon_after_its_leader_resigned() {
    let mut core = core_with((0..SURPLUS_VOTERS).map(seat).collect(), &[EntryPayload::Blank]);
    let heartbeat = AppendCall {
        prev_index: LogIndex(1),
        prev_term: TermNumber(1),
        entries: Vec::new(),
        commit: LogIndex(1),
        round: 1,
    };

    core.receive(START, message(1, 2, PeerBody::Append(heartbeat)));
    let usual = core.deadline();
    core.receive(START, message(2, 2, PeerBody::Resigned));
    let of_another = core.deadline();
    core.receive(START, message(1, 2, PeerBody::Resigned));

    let timeout = AgreementTimes::default().election;
    assert_eq!(usual, of_another);
    assert!(usual >= START.after(timeout));
    assert!(core.deadline() < START.after(timeout / 2), "{:?}", core.deadline());
}

fn last_index(cluster: &TestCluster, host: usize) -> LogIndex {
    cluster.hosts[host].core.as_ref().map_or(LogIndex(0), AgreementCore::last_index)
}

/// Four voters, of which the leader has just proposed to remove the last one; these two are split from the others.
/// Returns the leader too.
fn open_removal() -> (TestCluster, usize) {
    let mut cluster = TestCluster::dynamic(SURPLUS_VOTERS, VOTERS, 5, NO_FAULTS);
    cluster.run_until(TIME_LIMIT, "three voters", |cluster| voters_know(cluster, VOTERS));
    commit(&mut cluster, 1);
    let leader = cluster.leader().expect("it has committed a change");
    let voters = cluster.voters();
    let away = (0..SURPLUS_VOTERS)
        .find(|host| *host != leader && voters.contains(&TestCluster::name(*host)))
        .expect("two voters follow");
    cluster.kill(away);
    cluster.run_until(TIME_LIMIT, "a fourth voter", |cluster| {
        cluster.voters().len() == SURPLUS_VOTERS
    });
    cluster.start(away);
    let removed = (0..SURPLUS_VOTERS).rfind(|host| *host != leader).expect("there are four hosts");
    let others = (0..SURPLUS_VOTERS).filter(|host| ![leader, removed].contains(host));
    cluster.partitions = others.flat_map(|other| [(leader, other), (removed, other)]).collect();
    cluster.run_until(Duration::from_secs(1), "the removal on disk", |cluster| {
        let newest = last_index(cluster, removed);
        newest == last_index(cluster, leader) && newest > LogIndex(cluster.history.len() as u64)
    });
    cluster.run_for(STEP * 10);
    (cluster, leader)
}

/// Guards against a control plane without a leader after the leader lost its disk while the removal of a voter was
/// not committed.
#[test]
fn lost_disk_of_leader_during_a_removal_leaves_a_leader() {
    let (mut cluster, leader) = open_removal();
    let accepted = cluster.reference.rules.current().revision;

    cluster.wipe(leader);
    cluster.partitions.clear();
    cluster.start(leader);

    commit(&mut cluster, 2);
    assert!(cluster.reference.rules.current().revision > accepted);
    cluster.run_until(TIME_LIMIT, "seats for three voters", |cluster| voters_know(cluster, VOTERS));
}

/// The same with a leader that keeps its disk and is not started again.
#[test]
fn leader_that_stays_down_during_a_removal_leaves_a_leader() {
    let (mut cluster, leader) = open_removal();

    cluster.kill(leader);
    cluster.partitions.clear();

    commit(&mut cluster, 2);
}

/// As in `lost_disk_of_leader_during_a_removal_leaves_a_leader`, and all other hosts lose their power.
#[test]
fn power_loss_during_a_removal_leaves_a_leader() {
    let (mut cluster, leader) = open_removal();

    cluster.wipe(leader);
    for host in (0..SURPLUS_VOTERS).filter(|host| *host != leader) {
        cluster.cut_power(host);
    }
    cluster.partitions.clear();
    for host in 0..SURPLUS_VOTERS {
        cluster.start(host);
    }

    commit(&mut cluster, 2);
}

/// Runs one seed: a voter is replaced while it is down and comes back; shortly after a change of voters is
/// proposed, the hosts are split and one of them is lost with or without its disk.
fn run_seed(hosts: usize, voters: usize, seed: u64) {
    let mut cluster = TestCluster::dynamic(hosts, voters, seed, NO_FAULTS);
    let mut stream = ChangeStream::default();
    for round in 0..4 {
        cluster
            .run_until(TIME_LIMIT, "seats for all voters", |cluster| voters_know(cluster, voters));
        let leader = cluster.leader().expect("voters are known to a leader");
        let away = (leader + cluster.random.random_range(1..hosts)) % hosts;
        cluster.kill(away);
        await_seat_entry(&mut cluster, &mut stream);
        let steps = cluster.random.random_range(0..6);
        stream.run(&mut cluster, steps);
        cluster.start(away);
        await_seat_entry(&mut cluster, &mut stream);
        split(&mut cluster, leader);
        let steps = cluster.random.random_range(0..4);
        stream.run(&mut cluster, steps);
        let lost = match cluster.random.random_range(0..3) {
            0 => cluster.random.random_range(0..hosts),
            _ => cluster.leader().unwrap_or(leader),
        };
        lose(&mut cluster, lost);
        let steps = cluster.random.random_range(0..60);
        stream.run(&mut cluster, steps);
        cluster.partitions.clear();
        for host in 0..hosts {
            if cluster.hosts[host].core.is_none() {
                cluster.start(host);
            }
        }

        cluster.run_until(RECOVERY_LIMIT, "a leader", |cluster| cluster.leader().is_some());
        let found = stream.read_back(&mut cluster);
        let accepted = stream.accepted;
        assert!(found >= accepted, "round {round}: read {found}, acknowledged was {accepted}");
    }
}

/// Separates the leader and one other host, or a random half, from the rest.
fn split(cluster: &mut TestCluster, leader: usize) {
    let hosts = cluster.hosts.len();
    let companion = cluster.random.random_range(0..hosts);
    let with_leader = cluster.random.random_range(0..4) > 0;
    let side: Vec<usize> = (0..hosts)
        .filter(|host| match with_leader {
            true => [leader, companion].contains(host),
            false => cluster.random.random_range(0..2) == 0,
        })
        .collect();
    let others = |host: &usize| !side.contains(host);
    cluster.partitions =
        side.iter().flat_map(|one| (0..hosts).filter(others).map(|other| (*one, other))).collect();
}

/// Loses `lost` with or without its disk, and at times the power of all others too.
fn lose(cluster: &mut TestCluster, lost: usize) {
    let (keeps_disk, all_lose_power) =
        (cluster.random.random_range(0..4) == 0, cluster.random.random_range(0..4) == 0);
    match keeps_disk {
        true => cluster.kill(lost),
        false => cluster.wipe(lost),
    }
    if all_lose_power {
        for host in (0..cluster.hosts.len()).filter(|host| *host != lost) {
            cluster.cut_power(host);
        }
    }
}

/// Runs until a leader sends a change of voters, or for a while.
fn await_seat_entry(cluster: &mut TestCluster, stream: &mut ChangeStream) {
    /// Longest time to wait, in steps.
    const MOMENT_STEPS: usize = 400;
    let before = cluster.seat_changes_sent;
    for _ in 0..MOMENT_STEPS {
        stream.run(cluster, 1);
        if cluster.seat_changes_sent > before {
            return;
        }
    }
}

/// Guards against a set of voters that elects nobody, or forgets a change, after the loss of one host while voters
/// come and go.
#[test]
fn loss_of_one_host_during_a_seat_change_leaves_a_leader() {
    let more = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 0..more.unwrap_or(DEFAULT_SEEDS) {
        println!("seed {seed}");
        run_seed(4, 3, 20_000 + seed);
        run_seed(7, 5, 40_000 + seed);
    }
}
