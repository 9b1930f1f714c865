//! Replica choice with stale, missing and false load information.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use briartray_model::TimePoint;
use briartray_model::message::{
    GroupRecord, LeavingGroup, LoadReport, RefusalReason, RoutingSnapshot,
};
use briartray_model::names::{
    DomainName, FencingNumber, GroupId, HostName, ProviderName, ServiceName, ZoneName,
};
use briartray_model::rules::RouteAction;
use briartray_routing::choice::naive::{NaiveChoice, NaivePolicy};
use briartray_routing::choice::{
    AttemptResult, ChoiceOutcome, ChoiceRequest, PrefixDigest, ReplicaTable,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const CAPACITY: u32 = 16;

fn record(group: u64, zone: &str, provider: &str) -> GroupRecord {
    GroupRecord {
        group: GroupId(group),
        fencing: FencingNumber(1),
        service: ServiceName::new("desk"),
        zone: ZoneName::new(zone),
        domain: DomainName::new("rack"),
        provider: ProviderName::new(provider),
        first: HostName::new("host"),
        link: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        whole: true,
        capacity: CAPACITY,
    }
}

fn snapshot(groups: Vec<GroupRecord>) -> RoutingSnapshot {
    RoutingSnapshot { version: 1, groups, ..RoutingSnapshot::default() }
}

fn alike(count: u64) -> RoutingSnapshot {
    snapshot((0..count).map(|group| record(group, "a", "old")).collect())
}

fn table(snapshot: &RoutingSnapshot) -> ReplicaTable {
    let mut table = ReplicaTable::new(&ZoneName::new("a"));
    table.adopt(snapshot);
    table
}

fn random() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn request(route: &RouteAction) -> ChoiceRequest<'_> {
    ChoiceRequest { service: "desk", route, prefix: None, excluded: &[] }
}

fn report(in_flight: u32, step_micros: u32) -> LoadReport {
    LoadReport { in_flight, queued: 0, capacity: CAPACITY, step_micros }
}

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1000)
}

fn choose(
    table: &mut ReplicaTable,
    now: TimePoint,
    asked: &ChoiceRequest<'_>,
    random: &mut ChaCha8Rng,
) -> Option<u64> {
    match table.choose(now, asked, random) {
        ChoiceOutcome::Chosen(record) => Some(record.group.0),
        _ => None,
    }
}

/// Makes `count` choices at the same time; returns how often each of `groups` was chosen.
fn counts(
    table: &mut ReplicaTable,
    groups: usize,
    count: u32,
    asked: &ChoiceRequest<'_>,
) -> Vec<u32> {
    let mut random = random();
    let mut counts = vec![0; groups];
    for _ in 0..count {
        let group = choose(table, at(1), asked, &mut random).expect("a replica has room");
        counts[usize::try_from(group).expect("the group number fits into usize")] += 1;
    }
    counts
}

#[test]
fn entries_with_one_stale_report_do_not_all_choose_the_same_replica() {
    // Fifty entries have the same old reports, in which one replica is idle. If all of them chose
    // it, its callers would wait while other replicas have room.
    let groups: Vec<GroupId> = (0..10).map(GroupId).collect();
    let route = RouteAction::default();
    let mut ours = [0_u32; 10];
    let mut naive = [0_u32; 10];

    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut table = table(&alike(10));
        let mut least = NaiveChoice::new(NaivePolicy::LeastReported, 10, 0);
        for group in &groups {
            let load = report(if group.0 == 3 { 0 } else { 6 }, 8000);
            table.release(at(1), *group, AttemptResult::Answered, Some(&load), &mut random);
            least.report(
                usize::try_from(group.0).expect("the group number fits into usize"),
                load.in_flight,
            );
        }
        let chosen =
            choose(&mut table, at(2), &request(&route), &mut random).expect("a replica has room");
        ours[usize::try_from(chosen).expect("the group number fits into usize")] += 1;
        naive[least.choose(&mut random)] += 1;
    }

    assert_eq!(naive[3], 50);
    assert!(ours[3] <= 20, "{ours:?}");
    assert!(ours.iter().filter(|count| **count > 0).count() >= 8, "{ours:?}");
}

#[test]
fn own_requests_spread_without_any_report() {
    let route = RouteAction::default();
    let mut table = table(&alike(10));

    let counts = counts(&mut table, 10, 80, &request(&route));

    assert!(counts.iter().all(|count| (5..=11).contains(count)), "{counts:?}");
}

#[test]
fn replica_that_reports_no_load_and_never_answers_gets_few_requests() {
    // A replica always reports an empty queue but never answers. Its callers would all wait there;
    // the entry's own in-flight count shows that no requests finish.
    let route = RouteAction::default();
    let mut random = random();
    let mut table = table(&alike(4));
    let mut stuck = 0;

    for millis in 0..2000 {
        let group = choose(&mut table, at(millis), &request(&route), &mut random)
            .expect("a replica has room");
        if group == 0 {
            stuck += 1;
            continue;
        }
        let load = report(1, 8000);
        table.release(
            at(millis),
            GroupId(group),
            AttemptResult::Answered,
            Some(&load),
            &mut random,
        );
    }

    assert!(stuck <= 4, "{stuck} requests went to the replica that never answers");
}

#[test]
fn slow_replica_is_ejected_and_readmitted() {
    // A host of one replica runs ten times slower for a while, and requests on it take ten times as
    // long. After its recovery the replica must be used again without intervention.
    let route = RouteAction::default();
    let mut random = random();
    let mut table = table(&alike(5));
    let mut slow = [0_u32; 2];

    for millis in 0..30_000_u64 {
        let is_slow = millis < 15_000;
        let group = choose(&mut table, at(millis), &request(&route), &mut random)
            .expect("a replica has room");
        let step = if group == 0 && is_slow { 80_000 } else { 8_000 };
        slow[usize::from(!is_slow)] += u32::from(group == 0);
        let load = report(1, step);
        table.release(
            at(millis),
            GroupId(group),
            AttemptResult::Answered,
            Some(&load),
            &mut random,
        );
    }

    assert!(slow[0] <= 15, "{slow:?}");
    assert!(slow[0] >= 2, "an ejected replica must be probed: {slow:?}");
    assert!(slow[1] >= 1000, "{slow:?}");
    assert!(!table.is_ejected(GroupId(0)));
}

#[test]
fn refusing_replica_gets_exponential_backoff() {
    // One replica refuses everything. Each refusal delays a request, so refusals must become less
    // frequent.
    let route = RouteAction::default();
    let mut random = random();
    let mut table = table(&alike(3));
    let mut refusals = Vec::new();

    for millis in 0..20_000 {
        let group = choose(&mut table, at(millis), &request(&route), &mut random)
            .expect("a replica has room");
        let (result, load) = if group == 0 {
            refusals.push(millis);
            (AttemptResult::Refused(RefusalReason::GroupNotWhole), report(0, 0))
        } else {
            (AttemptResult::Answered, report(1, 8000))
        };
        table.release(at(millis), GroupId(group), result, Some(&load), &mut random);
    }

    assert!(refusals.len() <= 15, "{refusals:?}");
    assert!(refusals.last() >= Some(&10_000), "the replica must be tried again: {refusals:?}");
}

#[test]
fn unreachable_replicas_yield_a_retry_time() {
    let route = RouteAction::default();
    let mut random = random();
    let mut table = table(&alike(2));
    for group in [0, 1] {
        let refused = AttemptResult::Refused(RefusalReason::EndpointUnreachable);
        table.release(at(0), GroupId(group), refused, None, &mut random);
    }

    let outcome = table.choose(at(1), &request(&route), &mut random);

    assert_matches!(outcome, ChoiceOutcome::Down(wait) if wait <= Duration::from_millis(100));
}

/// Guards against requests to replicas whose endpoints asked for a time without any, and against callers
/// that are told another time.
#[test]
fn a_replica_gets_no_requests_for_the_time_that_its_endpoint_asked_for() {
    let route = RouteAction::default();
    let mut random = random();
    let mut table = table(&alike(2));
    for (group, left_ms) in [(0, 3_000), (1, 2_000)] {
        let refused = AttemptResult::Refused(RefusalReason::EndpointBackoff { left_ms });
        table.release(at(0), GroupId(group), refused, Some(&report(0, 0)), &mut random);
    }

    let during = table.choose(at(500), &request(&route), &mut random);
    let after = table.choose(at(2_000), &request(&route), &mut random);

    assert_eq!(during, ChoiceOutcome::Down(Duration::from_millis(1_500)));
    assert_matches!(after, ChoiceOutcome::Chosen(record) if record.group == GroupId(1));
}

#[test]
fn full_replicas_get_no_requests_until_their_reports_expire() {
    // A replica was full at its last report and has received no request since. It must not look
    // full forever, because only a request brings a newer report.
    let route = RouteAction::default();
    let mut random = random();
    let mut table = table(&alike(1));
    let full = report(CAPACITY, 8000);
    table.release(at(0), GroupId(0), AttemptResult::Answered, Some(&full), &mut random);

    let early = table.choose(at(10), &request(&route), &mut random);
    let late = table.choose(at(1000), &request(&route), &mut random);

    assert_eq!(early, ChoiceOutcome::Full);
    assert_matches!(late, ChoiceOutcome::Chosen(_));
}

#[test]
fn own_requests_never_exceed_capacity() {
    let route = RouteAction::default();
    let mut random = random();
    let mut table = table(&alike(3));

    let chosen = (0..1000)
        .filter(|_| choose(&mut table, at(1), &request(&route), &mut random).is_some())
        .count();

    assert_eq!(chosen, 3 * CAPACITY as usize);
}

#[test]
fn own_zone_goes_first_and_spills_over_when_loaded() {
    let groups = (0..10).map(|group| record(group, if group < 5 { "a" } else { "b" }, "old"));
    let route = RouteAction::default();
    let mut table = table(&snapshot(groups.collect()));

    let calm = counts(&mut table, 10, 10, &request(&route));
    let busy = counts(&mut table, 10, 120, &request(&route));

    assert_eq!(calm[5..].iter().sum::<u32>(), 0, "{calm:?}");
    assert!(busy[5..].iter().sum::<u32>() >= 30, "{busy:?}");
}

#[test]
fn preferred_provider_goes_first() {
    let groups =
        (0..6).map(|group| record(group, "a", if group < 3 { "old" } else { "new" })).collect();
    let route = RouteAction { providers: vec!["new".to_owned()], ..RouteAction::default() };
    let mut table = table(&snapshot(groups));

    let counts = counts(&mut table, 6, 9, &request(&route));

    assert_eq!(counts[..3].iter().sum::<u32>(), 0, "{counts:?}");
}

#[test]
fn broken_and_leaving_groups_are_never_chosen() {
    let mut fleet = alike(4);
    fleet.groups[1].whole = false;
    fleet.leaving.push(LeavingGroup { group: GroupId(2) });
    let route = RouteAction::default();
    let mut table = table(&fleet);

    let counts = counts(&mut table, 4, 24, &request(&route));

    assert_eq!((counts[1], counts[2]), (0, 0), "{counts:?}");
}

#[test]
fn entries_agree_on_the_replica_of_a_prefix() {
    let route = RouteAction::default();
    let fleet = alike(30);
    let mut same = 0;

    for prompt in 0..100_u64 {
        let prefix = Some(PrefixDigest(prompt.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let asked = ChoiceRequest { prefix, ..request(&route) };
        let mut chosen = [1_u64, 2].map(|seed| {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            choose(&mut table(&fleet), at(1), &asked, &mut random)
        });
        chosen.sort_unstable();
        same += u32::from(chosen[0] == chosen[1]);
    }

    assert_eq!(same, 100);
}

#[test]
fn popular_prompt_does_not_overload_one_replica() {
    // All callers send the same prompt template. Its preferred replica alone would be far above the
    // mean load, and these callers would wait while other replicas have room.
    let route = RouteAction::default();
    let asked = ChoiceRequest { prefix: Some(PrefixDigest(42)), ..request(&route) };
    let mut table = table(&alike(10));

    let counts = counts(&mut table, 10, 100, &asked);

    let largest = counts.iter().max().copied().unwrap_or_default();
    assert!(largest <= 14, "mean 10, bound 125 percent plus one: {counts:?}");
}

#[test]
fn new_snapshot_keeps_what_is_in_flight() {
    let route = RouteAction::default();
    let mut random = random();
    let mut table = table(&alike(2));
    let group =
        choose(&mut table, at(1), &request(&route), &mut random).expect("a replica has room");
    let mut fleet = alike(3);
    fleet.version = 2;

    table.adopt(&fleet);

    assert_eq!(table.own_load(GroupId(group)), 1);
    table.release(at(2), GroupId(group), AttemptResult::Answered, None, &mut random);
    assert_eq!(table.own_load(GroupId(group)), 0);
}
