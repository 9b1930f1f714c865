//! Hosts that fall silent: for about a second, which is no trouble, or for good.

use std::time::Duration;

use briartray_fleet::director::EndpointOrder;
use briartray_fleet::message::ViewVersion;
use briartray_model::names::{GroupId, IncarnationId};
use rand::RngExt;

use crate::fleet::TestFleet;
use crate::losses::{REPAIR_LIMIT, member_of};
use crate::models::{LARGE, SMALL};

/// Number of seeds.
const SEEDS: u64 = 12;

/// Silences of each seed.
const SILENCES: usize = 8;

/// Silence of a sound host.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Time after a silence in which its consequences show.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Silence of a host that does not return within a test.
pub const FOR_GOOD: Duration = Duration::from_secs(3_600);

/// Silence after which a host counts as lost if it refuses no connection.
const LOST_SILENCE: Duration = Duration::from_millis(1_300);

/// Consequences of silences.
#[derive(Debug, Default, PartialEq)]
struct Damage {
    silences: usize,
    ended_groups: usize,
    /// Orders to members to join or leave a group, or to close one.
    moves: usize,
}

/// Groups that are to serve, in the agreed state.
pub fn agreed_groups(fleet: &TestFleet) -> Vec<GroupId> {
    let groups = fleet.state.groups().iter();
    groups.filter(|(_, record)| !record.standby).map(|(group, _)| *group).collect()
}

/// Number of groups of `model` that serve, without those that are silent.
pub fn serving_of(fleet: &TestFleet, model: &str) -> usize {
    let serves_model = |group: &GroupId| {
        fleet.state.groups().get(group).is_some_and(|record| record.model == model)
    };
    fleet.serving_groups().iter().filter(|group| serves_model(group)).count()
}

fn position(fleet: &TestFleet, id: &IncarnationId) -> usize {
    let position = fleet.hosts.iter().position(|host| host.model.place.id == *id);
    position.expect("a member is a host")
}

/// Head of a random group, or another member of it.
pub fn random_member(fleet: &mut TestFleet, head: bool) -> usize {
    let groups = agreed_groups(fleet);
    let group = groups[fleet.random.random_range(0..groups.len())];
    let members = &fleet.state.groups().get(&group).expect("the group is agreed").members;
    let ids: Vec<IncarnationId> = members.iter().map(|member| member.id.clone()).collect();
    let index = if head { 0 } else { fleet.random.random_range(1..ids.len()) };
    position(fleet, &ids[index])
}

/// Random hosts to silence at one moment: a head, another member, several hosts, or all.
fn random_hosts(fleet: &mut TestFleet) -> Vec<usize> {
    let all = fleet.hosts.len();
    match fleet.random.random_range(0..6) {
        0 | 1 => vec![random_member(fleet, true)],
        2 | 3 => vec![random_member(fleet, false)],
        4 => (0..all).filter(|_| fleet.random.random_bool(0.4)).collect(),
        _ => (0..all).collect(),
    }
}

/// Silences `hosts` from a random moment on and adds the consequences to `damage`.
fn silence_hosts(fleet: &mut TestFleet, hosts: &[usize], time: Duration, damage: &mut Damage) {
    let pause = Duration::from_millis(fleet.random.random_range(0..1_000));
    fleet.run_for(pause);
    let groups = agreed_groups(fleet);
    let members: Vec<IncarnationId> =
        fleet.grouped().into_iter().map(|host| fleet.hosts[host].model.place.id.clone()).collect();
    fleet.ordered.clear();
    for host in hosts {
        fleet.silence(*host, time);
    }
    fleet.run_for(time + SETTLE_TIME);
    let left = agreed_groups(fleet);
    let moves = |order: &EndpointOrder| {
        matches!(
            order,
            EndpointOrder::Join { .. } | EndpointOrder::Leave { .. } | EndpointOrder::Close { .. }
        )
    };
    let moved =
        fleet.ordered.iter().filter(|call| moves(&call.order) && members.contains(&call.id));
    damage.silences += 1;
    damage.ended_groups += groups.iter().filter(|group| !left.contains(group)).count();
    damage.moves += moved.count();
}

/// Damage of `SILENCES` random silences.
fn random_damage(mut fleet: TestFleet) -> Damage {
    let mut damage = Damage::default();
    for _ in 0..SILENCES {
        let hosts = random_hosts(&mut fleet);
        silence_hosts(&mut fleet, &hosts, SILENCE, &mut damage);
    }
    damage
}

fn assert_unharmed(seed: u64, damage: &Damage) {
    assert_eq!((damage.ended_groups, damage.moves), (0, 0), "seed {seed}: {damage:?}");
}

/// Guards against taking groups apart because sound hosts are silent for a second: their running
/// answers were cut off, and their members joined other groups.
#[test]
fn seeded_silences_end_no_group() {
    for seed in 0..SEEDS {
        let damage = random_damage(TestFleet::serving(30_000 + seed));

        assert_unharmed(seed, &damage);
    }
}

/// Guards against ending groups without running requests during a silence: no entry observes them.
#[test]
fn seeded_silences_without_callers_end_no_group() {
    for seed in 0..SEEDS {
        let mut fleet = TestFleet::new(31_000 + seed);
        fleet.run_for(Duration::from_secs(40));

        let damage = random_damage(fleet);

        assert_unharmed(seed, &damage);
    }
}

/// Guards against a new leader that finds silent hosts when it begins and takes them for lost.
#[test]
fn a_new_leader_ends_no_group_for_a_silence() {
    for seed in 0..SEEDS {
        let mut fleet = TestFleet::serving(32_000 + seed);
        let mut damage = Damage::default();
        let hosts = random_hosts(&mut fleet);
        for host in &hosts {
            fleet.silence(*host, SILENCE);
        }
        fleet.run_for(Duration::from_millis(200 * (seed % 6)));

        fleet.change_leader();
        silence_hosts(&mut fleet, &[], Duration::ZERO, &mut damage);

        assert_unharmed(seed, &damage);
    }
}

/// Guards against waiting for ever, or for longer than a silence takes, for a host that is silent
/// for good: its group stays down meanwhile.
#[test]
fn a_host_silent_for_good_is_replaced() {
    for seed in 0..SEEDS {
        let mut fleet = TestFleet::serving(33_000 + seed);
        let serving = |fleet: &TestFleet| [LARGE, SMALL].map(|model| serving_of(fleet, model));
        let before = serving(&fleet);
        let host = member_of(&fleet, LARGE, seed % 2 == 0);

        fleet.silence(host, FOR_GOOD);
        fleet.step();

        assert_ne!(serving(&fleet), before);
        fleet.run_until(REPAIR_LIMIT + LOST_SILENCE, "repair of the group", |fleet| {
            let now = serving(fleet);
            now[0] >= before[0] && now[1] >= before[1]
        });
    }
}

/// Guards against new requests to a group that is silent, and against a group that stays out of use
/// after a silence.
#[test]
fn a_silent_group_takes_no_requests_until_it_goes_on() {
    let mut fleet = TestFleet::serving(34_000);
    let head = member_of(&fleet, LARGE, true);
    let open = |fleet: &TestFleet| {
        let view =
            fleet.director.view(fleet.now, &fleet.state, &fleet.plan, ViewVersion::default());
        let id = &fleet.hosts[head].model.place.id;
        view.groups.iter().find(|group| group.head == *id).map(|group| group.open)
    };
    let before = open(&fleet);

    fleet.silence(head, SILENCE);
    fleet.run_for(SILENCE.mul_f64(0.75));
    let during = open(&fleet);
    fleet.run_for(SILENCE);

    assert_eq!((before, during, open(&fleet)), (Some(true), Some(false), Some(true)));
}

/// Guards against groups of an endpoint that no longer exists: it fell silent and another one took
/// its address a moment later, which answers its probes before its own first heartbeat arrives.
#[test]
fn an_endpoint_replaced_during_a_silence_joins_no_group() {
    for seed in 0..SEEDS {
        let mut fleet = TestFleet::serving(35_000 + seed);
        // Callers need every host.
        fleet.demand = (6.0, 12.0);
        fleet.run_for(Duration::from_secs(20));
        let groups = agreed_groups(&fleet);
        let host = random_member(&mut fleet, seed % 2 == 0);
        let old = fleet.hosts[host].model.place.id.clone();

        fleet.silence(host, FOR_GOOD);
        fleet.run_for(SILENCE.mul_f64(0.75));
        let next = fleet.restart_host(host);
        fleet.hosts[next].heartbeat_at = fleet.now.after(SETTLE_TIME);
        let end = fleet.now.after(SETTLE_TIME);
        while fleet.now < end {
            fleet.step();
            for (group, record) in fleet.state.groups().iter() {
                let is_member = record.members.iter().any(|member| member.id == old);
                assert!(!is_member || groups.contains(group), "seed {seed}: {old} in {group}");
            }
        }
    }
}
