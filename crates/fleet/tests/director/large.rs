//! Fleets of hundreds of hosts: what grows with their size.

use std::time::Duration;

use briartray_fleet::deployment::DeploymentPlan;
use briartray_fleet::message::{EntryReport, GroupPulse, ViewVersion};
use briartray_model::TimePoint;
use briartray_model::names::{GroupId, IncarnationId, NodeName, TermNumber};

use crate::fleet::TestFleet;
use crate::models::{LARGE, SMALL, two_models};

/// Fabric domains of the fleet.
const DOMAINS: usize = 20;

/// Hosts of each domain.
const DOMAIN_HOSTS: usize = 19;

/// Entries before the fleet.
const ENTRIES: usize = 39;

/// Two models of eight and four hosts over 380 hosts, with the short loads of a first start.
fn large_plan() -> DeploymentPlan {
    let mut plan = two_models();
    let engine = plan.services[0].engine.as_mut().expect("the fixture has an engine");
    engine.models[0].size = 8;
    engine.models[1].size = 4;
    engine.loads_per_second = 32.0;
    engine.loads_at_once = 47;
    // Before callers ask, loads take a tenth of their time.
    engine.models.iter_mut().for_each(|model| model.load_time /= 10);
    plan
}

fn large_fleet(seed: u64) -> TestFleet {
    TestFleet::of(seed, large_plan(), DOMAINS, DOMAIN_HOSTS)
}

/// 380 hosts start together, and sixty groups are formed of them. One command for each answer of the
/// log took two seconds where its disks take 2 ms; a fleet of 2,800 replicas would have waited half a
/// minute, and callers with it.
#[test]
fn the_first_groups_of_a_fleet_take_few_rounds_of_the_log() {
    let mut fleet = large_fleet(1);
    let mut rounds = 0;

    for _ in 0..Duration::from_secs(10).as_millis() / 20 {
        let before = fleet.formed;
        fleet.step();
        rounds += u64::from(fleet.formed > before);
    }

    assert!(fleet.formed >= 60, "{} groups", fleet.formed);
    assert!(rounds <= fleet.formed / 4, "{rounds} rounds for {} groups", fleet.formed);
}

/// One entry of a zone is cut off from a group that serves all others, and says in every report that
/// it is silent; so do the 38 others of a zone beside it. All members answer each time they are asked.
/// Asked anew at each word, eight members answered a thousand times a second, and the leader did
/// little else.
#[test]
fn members_that_answer_are_not_asked_again_at_every_word() {
    let mut fleet = large_fleet(2);
    fleet.run_for(Duration::from_secs(8));
    let group = *fleet.open_groups().first().expect("groups serve");
    let members: Vec<IncarnationId> = fleet
        .state
        .groups()
        .get(&group)
        .expect("it is agreed on")
        .members
        .iter()
        .map(|member| member.id.clone())
        .collect();
    fleet.probed.clear();

    // For two seconds, four words a second of each entry, one after the other.
    for word in 0..8 * ENTRIES {
        tell_silent(&mut fleet, word % ENTRIES, group);
        if word % 3 == 0 {
            fleet.step();
        }
    }

    // Five a second of each member at the most.
    let asked = fleet.probed.iter().filter(|id| members.contains(id)).count();
    assert!(asked <= members.len() * 11, "{asked} reports of {} members", members.len());
}

/// An entry reports that it has waited for `group` in vain.
fn tell_silent(fleet: &mut TestFleet, entry: usize, group: GroupId) {
    let pulse = GroupPulse { group, quiet_ms: Some(900), running: 1, suspect: true };
    let report = EntryReport {
        node: NodeName::new(&format!("entry-{entry}")),
        nonce: 0,
        plan: Some(1),
        view: ViewVersion { term: TermNumber(1), number: 0 },
        settled: true,
        pulses: vec![pulse],
        demand: Vec::new(),
        serving: false,
        prints: ViewVersion::default(),
        runs: Vec::new(),
        limits: Vec::new(),
    };
    fleet.director.report(fleet.now, &report, &fleet.state);
}

/// The hosts of some domains are heard over four seconds, as when their links or the leader are busy
/// while everything starts. The first ones made small groups, the rest of each domain held no large
/// one any more, and 16 of 20 large groups served all day. Callers come after 14 s.
#[test]
fn domains_that_are_heard_late_hold_their_large_group() {
    let mut fleet = large_fleet(3);
    for domain in 0..5 {
        fleet.delay_domain(domain, Duration::from_millis(220));
    }

    fleet.run_for(Duration::from_secs(14));

    assert!(fleet.open_of(LARGE) >= DOMAINS, "{} large groups", fleet.open_of(LARGE));
    // Each domain has 19 hosts: one large group and two small ones, or two large ones.
    let used = fleet.open_of(LARGE) * 8 + fleet.open_of(SMALL) * 4;
    assert!(used >= DOMAINS * 16 - 8, "{used} of {} hosts serve", DOMAINS * DOMAIN_HOSTS);
}

/// The leader dies while 380 hosts serve. The next one knows the groups from the log, hears of all hosts
/// again, and takes none of the groups apart.
#[test]
fn a_change_of_leader_keeps_the_groups_of_a_fleet() {
    let mut fleet = large_fleet(4);
    fleet.run_for(Duration::from_secs(14));
    fleet.serving = true;
    fleet.run_for(Duration::from_secs(6));
    let groups = fleet.open_groups();

    fleet.change_leader();
    fleet.run_for(Duration::from_secs(3));

    assert_eq!(fleet.open_groups(), groups);
}

/// Callers ask for little of the large model, and the groups follow that. All control hosts are stopped; the
/// next leader knows no demand yet, and by the declared shares the large model lacks groups. It ended groups
/// of the small one for them, at the moment when everybody who was cut off came back.
#[test]
fn a_new_leader_keeps_the_mix_that_stood() {
    let mut fleet = large_fleet(6);
    fleet.demand = (2.0, 40.0);
    fleet.run_for(Duration::from_secs(14));
    fleet.serving = true;
    fleet.run_for(Duration::from_secs(60));
    let groups = fleet.open_groups();
    let large = fleet.open_of(LARGE);

    fleet.change_leader();
    fleet.run_for(Duration::from_secs(9));

    assert!(large < DOMAINS * 3 / 4, "{large} large groups before");
    assert_eq!(fleet.open_groups(), groups);
}

/// A rack loses power: all 19 hosts of a domain are gone at once. The other domains serve on in the groups
/// they have, and the log takes few commands for it.
#[test]
fn a_lost_domain_leaves_the_others_as_they_are() {
    let mut fleet = large_fleet(5);
    fleet.demand = (15.0, 34.0);
    fleet.run_for(Duration::from_secs(14));
    fleet.serving = true;
    fleet.run_for(Duration::from_secs(12));
    let (large, small, formed) = (fleet.open_of(LARGE), fleet.open_of(SMALL), fleet.formed);

    let lost = |host: &&mut crate::fleet::TestHost| host.model.place.domain.as_str() == "domain-3";
    fleet.hosts.iter_mut().filter(lost).for_each(|host| host.alive = false);
    fleet.run_for(Duration::from_secs(3));

    assert!(fleet.open_of(LARGE) + 2 >= large, "{} of {large} large", fleet.open_of(LARGE));
    assert!(fleet.open_of(SMALL) + 4 >= small, "{} of {small} small", fleet.open_of(SMALL));
    assert!(fleet.formed <= formed + 8, "{} groups were formed anew", fleet.formed - formed);
}

/// All control hosts were stopped, and the next leader asks 380 endpoints for reports. It asked all of
/// them at once, had no time to read the answers before they counted as missing, and took groups for lost
/// that callers were served by.
#[test]
fn a_new_leader_asks_a_fleet_in_turns() {
    let mut fleet = large_fleet(6);
    fleet.run_for(Duration::from_secs(14));
    fleet.change_leader();
    fleet.probed.clear();

    let mut asked = Vec::new();
    for _ in 0..25 {
        let before = fleet.probed.len();
        fleet.step();
        asked.push(fleet.probed.len() - before);
    }

    assert!(asked.iter().all(|probes| *probes <= 64), "{asked:?}");
    let mut known = std::mem::take(&mut fleet.probed);
    known.sort();
    known.dedup();
    assert_eq!(known.len(), DOMAINS * DOMAIN_HOSTS, "all within half a second");
}

/// A fleet of 380 hosts starts, and all are told at once which groups to join. The leader's thread had no time
/// to read the answers of so many before they counted as missing, and gave all orders again.
#[test]
fn orders_under_way_are_bounded() {
    let mut fleet = large_fleet(9);
    fleet.no_answers = true;

    fleet.run_for(Duration::from_millis(2_200));
    let under_way = fleet.unanswered;
    fleet.no_answers = false;
    fleet.run_for(Duration::from_secs(8));

    // Members of one group are told together.
    assert!(under_way <= ORDERS_AT_ONCE + 8, "{under_way} orders");
    assert!(fleet.open_of(LARGE) >= DOMAINS, "{} large groups", fleet.open_of(LARGE));
}

/// Orders whose answers a leader reads in the time that they have.
const ORDERS_AT_ONCE: usize = 128;

/// Two thousand hosts start, and callers come fourteen seconds later. Each host is to keep the weights of a second
/// model by then: a load that begins afterwards takes ten times as long, and slows down those of repairs.
#[test]
fn thousands_of_hosts_have_their_weights_when_callers_come() {
    let mut plan = large_plan();
    let engine = plan.services[0].engine.as_mut().expect("the fixture has an engine");
    (engine.loads_per_second, engine.loads_at_once) = (160.0, 2_000);
    let mut fleet = TestFleet::of(10, plan, 105, DOMAIN_HOSTS);
    // A leader that is short of processor time steps a few times a second.
    fleet.steps_every = 8;

    fleet.run_for(Duration::from_secs(14));

    let kept = |host: &&crate::fleet::TestHost| host.model.report().staged.len() == 1;
    let warm = fleet.grouped().len();
    let staged = fleet.hosts.iter().filter(kept).count();
    assert!(warm >= 105 * 16, "{warm} hosts serve");
    assert!(fleet.loads.len() >= 1_800, "{} loads, {staged} hosts keep weights", fleet.loads.len());
}

/// Loads that the weight store may begin in five seconds, at 5 a second and a tenth more.
const STORE_LIMIT: usize = 30;

/// The most loads that began within five seconds, of those from `since` on.
fn most_loads(fleet: &TestFleet, since: TimePoint) -> usize {
    let window = Duration::from_secs(5);
    let begun: Vec<TimePoint> = fleet.loads.iter().copied().filter(|at| *at >= since).collect();
    let ends = |first: TimePoint| begun.partition_point(|at| *at < first.after(window));
    begun.iter().enumerate().map(|(index, first)| ends(*first) - index).max().unwrap_or(0)
}

/// A large fleet before a weight store that begins five loads a second, each of which takes `slowness`
/// times as long as at a first start.
fn slow_store_fleet(seed: u64, slowness: u32) -> TestFleet {
    let mut plan = large_plan();
    let engine = plan.services[0].engine.as_mut().expect("the fixture has an engine");
    engine.loads_per_second = 5.0;
    engine.loads_at_once = 200;
    engine.models.iter_mut().for_each(|model| model.load_time *= slowness);
    TestFleet::of(seed, plan, DOMAINS, DOMAIN_HOSTS)
}

/// Hosts of a large fleet still load their second models when the first caller comes. Loads cost nothing
/// until then, but from that moment on they count: what is under way must fit in what the store begins,
/// or it slows down for everybody.
#[test]
fn loads_under_way_when_callers_come_fit_in_the_rate_of_the_store() {
    for begin in (3_400..4_400).step_by(200) {
        let mut fleet = slow_store_fleet(7, 1);
        fleet.run_for(Duration::from_millis(begin));

        fleet.serving = true;
        let since = fleet.now;
        fleet.run_for(Duration::from_secs(8));

        let most = most_loads(&fleet, since);
        assert!(most <= STORE_LIMIT, "callers from {begin} ms: {most} loads in five seconds");
    }
}

/// Sixty empty hosts are added, and the leader dies while they load, and the next one as well. Each new
/// leader takes the loads under way into account: one that began with a store of its own had three times
/// as many begun as the store may.
#[test]
fn a_change_of_leader_begins_no_more_loads_than_the_store_may() {
    let mut fleet = slow_store_fleet(8, 10);
    fleet.run_for(Duration::from_secs(60));
    fleet.serving = true;
    fleet.run_for(Duration::from_secs(6));
    for host in 0..60 {
        fleet.add_host(host % DOMAINS);
    }
    let since = fleet.now;

    for _ in 0..4 {
        fleet.run_for(Duration::from_millis(4_200));
        fleet.change_leader();
    }
    fleet.run_for(Duration::from_secs(5));

    let most = most_loads(&fleet, since);
    assert!(most <= STORE_LIMIT, "{most} loads in five seconds");
}

/// A fleet of 1,539 hosts, of which a leader that steps five times a second asks a part within its first second.
fn fleet_of_a_slow_leader(seed: u64) -> TestFleet {
    let mut plan = large_plan();
    let engine = plan.services[0].engine.as_mut().expect("the fixture has an engine");
    (engine.loads_per_second, engine.loads_at_once) = (160.0, 2_000);
    let mut fleet = TestFleet::of(seed, plan, 0, DOMAIN_HOSTS);
    // Names tell nothing of the domain: hosts of one group are asked one after the other, far apart.
    for number in 0..DOMAIN_HOSTS * 81 {
        fleet.add_host(number % 81);
    }
    fleet.run_for(Duration::from_secs(14));
    fleet.steps_every = 10;
    fleet.beat_every = Duration::from_secs(3);
    fleet.run_for(Duration::from_secs(4));
    fleet
}

/// Guards against a leader that takes groups apart after a stop of everything, since it has heard of their first
/// hosts and not yet of all others.
#[test]
fn a_new_leader_ends_no_group_of_which_it_has_not_heard() {
    for seed in 21..24 {
        let mut fleet = fleet_of_a_slow_leader(seed);
        let (groups, formed) = (fleet.open_groups(), fleet.formed);

        fleet.change_leader();
        fleet.run_for(Duration::from_secs(6));

        assert_eq!(fleet.formed, formed, "seed {seed}: groups were formed anew");
        assert_eq!(fleet.open_groups(), groups, "seed {seed}");
    }
}
