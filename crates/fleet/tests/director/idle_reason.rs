//! Why free hosts serve no group, as counts and over time.

use std::time::Duration;

use briartray_fleet::director::{
    GroupPlanner, IdleCount, IdleReason, ModelSupply, PlacedGroup, PlanView, PoolHost, SupplyMeter,
};
use briartray_model::TimePoint;
use briartray_model::names::ServiceName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::models::{LARGE, SMALL};
use crate::planner::{LARGE_INDEX, PoolFixture, SMALL_INDEX};

/// Demand in busy groups of the large and the small model that one group of each does not suffice
/// for.
const HIGH_DEMAND: [f64; 2] = [2.5, 2.5];

/// Demand that one group of each model suffices for.
const LOW_DEMAND: [f64; 2] = [0.3, 0.3];

/// Seeds of the test of random states.
const SEEDS: u64 = 300;

fn size(fixture: &PoolFixture, index: usize) -> usize {
    fixture.engine.models[index].size
}

fn one_group_each(fixture: &mut PoolFixture) -> [Vec<PlacedGroup>; 2] {
    [vec![fixture.group("x", LARGE, &[])], vec![fixture.group("y", SMALL, &[])]]
}

fn hosts(
    fixture: &mut PoolFixture,
    count: usize,
    warm: Option<&str>,
    staged: &[&str],
) -> Vec<PoolHost> {
    (0..count).map(|_| fixture.host("a", warm, staged)).collect()
}

fn counts(fixture: &PoolFixture, free: Vec<PoolHost>, demand: [f64; 2]) -> Vec<IdleCount> {
    let mut groups = fixture.clone();
    let groups = one_group_each(&mut groups);
    GroupPlanner::new(fixture.view(free, groups, demand)).idle_counts()
}

fn only(reason: IdleReason, hosts: usize) -> Vec<IdleCount> {
    vec![IdleCount { reason, hosts }]
}

/// Guards against spares that look like stranded hosts: no model lacks a group.
#[test]
fn hosts_beyond_the_demand_are_spares() {
    let mut fixture = PoolFixture::new();
    let count = size(&fixture, LARGE_INDEX);
    let free = hosts(&mut fixture, count, Some(LARGE), &[LARGE]);

    assert_eq!(counts(&fixture, free, LOW_DEMAND), only(IdleReason::Spare, count));
}

/// Guards against a shortage of hosts that is taken for one of weights, and the other way round.
#[test]
fn a_domain_lacks_hosts_or_weights() {
    let mut fixture = PoolFixture::new();
    let too_few = size(&fixture, SMALL_INDEX) - 1;
    let enough = size(&fixture, LARGE_INDEX);
    let few = hosts(&mut fixture, too_few, Some(LARGE), &[LARGE, SMALL]);
    let empty = hosts(&mut fixture, enough, None, &[]);

    assert_eq!(counts(&fixture, few, HIGH_DEMAND), only(IdleReason::FewHosts, too_few));
    assert_eq!(counts(&fixture, empty, HIGH_DEMAND), only(IdleReason::NoWeights, enough));
}

/// Guards against hosts that wait for an order without a trace: with the weights of one group, the
/// domain is ready.
#[test]
fn hosts_with_the_weights_of_a_group_are_ready() {
    let mut fixture = PoolFixture::new();
    let count = size(&fixture, SMALL_INDEX);
    let free = hosts(&mut fixture, count, Some(SMALL), &[SMALL]);

    assert_eq!(counts(&fixture, free, HIGH_DEMAND), only(IdleReason::Ready, count));
}

/// Guards against hosts that idle for a model without any group and look as if they were ready for
/// another one.
#[test]
fn hosts_kept_for_a_model_without_any_group_are_reserved() {
    let mut fixture = PoolFixture::new();
    let count = size(&fixture, LARGE_INDEX);
    let mut free = hosts(&mut fixture, count, Some(SMALL), &[SMALL]);
    free[0].staged = vec![LARGE.to_owned()];
    let small = vec![fixture.group("y", SMALL, &[])];

    let counts =
        GroupPlanner::new(fixture.view(free, [Vec::new(), small], HIGH_DEMAND)).idle_counts();

    assert_eq!(counts, only(IdleReason::Reserved, count));
}

/// Guards against a state of one host that hides behind the reason of its domain.
#[test]
fn the_state_of_a_host_goes_before_the_reason_of_its_domain() {
    let mut fixture = PoolFixture::new();
    let count = size(&fixture, LARGE_INDEX);
    let mut free = hosts(&mut fixture, count, None, &[]);
    free[0].newly_seen = true;
    free[1].slow = true;
    free[2].staging = Some(SMALL.to_owned());

    let reasons: Vec<IdleReason> =
        counts(&fixture, free, HIGH_DEMAND).iter().map(|count| count.reason).collect();

    let rest = IdleReason::NoWeights;
    assert_eq!(reasons, [IdleReason::Loading, IdleReason::Slow, IdleReason::NewlySeen, rest]);
}

/// Guards against a weight store at its limit that looks like a planner without a plan.
#[test]
fn hosts_that_wait_for_the_weight_store_show_as_such() {
    let mut fixture = PoolFixture::new();
    let count = size(&fixture, LARGE_INDEX);
    let free = hosts(&mut fixture, count, None, &[]);
    let groups = one_group_each(&mut fixture);
    let loading = fixture.engine.loads_at_once;
    let view = PlanView { loading, ..fixture.view(free, groups, HIGH_DEMAND) };

    let counts = GroupPlanner::new(view).idle_counts();

    assert_eq!(counts, only(IdleReason::StoreBusy, count));
}

/// Guards against hosts that are counted twice or not at all, in any state.
#[test]
fn seeded_states_count_every_free_host_once() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut fixture = PoolFixture::new();
        let free: Vec<PoolHost> = (0..random.random_range(0..40))
            .map(|_| random_host(&mut fixture, &mut random))
            .collect();
        let groups = if random.random_bool(0.3) {
            [Vec::new(), Vec::new()]
        } else {
            one_group_each(&mut fixture)
        };
        let demand = [random.random_range(0.0..4.0), random.random_range(0.0..4.0)];
        let total = free.len();
        let overload = random.random_bool(0.5);
        let view = PlanView { overload, ..fixture.view(free, groups, demand) };

        let counts = GroupPlanner::new(view).idle_counts();

        let sum: usize = counts.iter().map(|count| count.hosts).sum();
        assert_eq!(sum, total, "seed {seed}: {counts:?}");
        assert!(counts.is_sorted_by(|a, b| a.reason < b.reason), "seed {seed}: {counts:?}");
    }
}

fn random_host(fixture: &mut PoolFixture, random: &mut ChaCha8Rng) -> PoolHost {
    let domain = ["a", "b", "c"][random.random_range(0..3)];
    let model = [LARGE, SMALL][random.random_range(0..2)];
    let staged: &[&str] = if random.random_bool(0.6) { &[model] } else { &[] };
    let host = fixture.host(domain, random.random_bool(0.5).then_some(model), staged);
    PoolHost {
        staging: random.random_bool(0.2).then(|| SMALL.to_owned()),
        slow: random.random_bool(0.1),
        newly_seen: random.random_bool(0.1),
        ..host
    }
}

fn at(millis: u64) -> TimePoint {
    TimePoint(10_000_000 + millis * 1_000)
}

fn lacking(model: &str, wanted: f64, placed: usize) -> ModelSupply {
    ModelSupply { model: model.to_owned(), busy: wanted, wanted, placed, nearest: None }
}

/// Guards against time that is counted twice or lost between two plans and two readings.
#[test]
fn times_are_sums_over_groups_and_hosts_and_are_taken_once() {
    let desk = ServiceName::new("desk");
    let mut meter = SupplyMeter::default();
    let idle = only(IdleReason::NoWeights, 3);

    meter.record(at(0), &desk, vec![lacking(LARGE, 3.0, 1), lacking(SMALL, 2.0, 2)], idle);
    let first = meter.take_times(at(500));
    meter.record(at(1_000), &desk, vec![lacking(LARGE, 3.0, 3)], Vec::new());
    let second = meter.take_times(at(4_000));
    let third = meter.take_times(at(9_000));

    let [(service, times)] = &first[..] else { panic!("{first:?}") };
    assert_eq!(service, &desk);
    assert_eq!(times.lacking.get(&LARGE.to_owned()), Some(&Duration::from_millis(1_000)));
    assert_eq!(times.lacking.get(&SMALL.to_owned()), None);
    assert_eq!(times.idle.get(&IdleReason::NoWeights), Some(&Duration::from_millis(1_500)));
    assert_eq!(second[0].1, times.clone());
    assert!(third[0].1.idle.is_empty() && third[0].1.lacking.is_empty());
}
