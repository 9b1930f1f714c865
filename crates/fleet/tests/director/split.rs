//! Split of the hosts between models of very different group sizes.

use briartray_fleet::deployment::ModelSpec;
use briartray_fleet::director::{GroupPlanner, ModelSupply, PlacedGroup, PoolHost};
use briartray_model::names::IncarnationId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::models::{LARGE, SMALL, uneven_groups};
use crate::planner::{LARGE_INDEX, PoolFixture, SMALL_INDEX, request_demand};

/// Seeds of the test of random demands.
const SEEDS: u64 = 200;

/// Utilization up to which a group leaves callers room for fluctuations.
const INTENDED_UTILIZATION: f64 = 0.85;

fn uneven_fixture() -> PoolFixture {
    let mut fixture = PoolFixture::new();
    fixture.engine = uneven_groups().services[0].engine.clone().expect("the plan has an engine");
    fixture
}

/// Supplies of both models for `rates` requests per second, on one domain of each group that serves
/// and a spare in it. The prompts of the large model are twice as long.
fn supplies(groups: [usize; 2], rates: [f64; 2]) -> Vec<ModelSupply> {
    let mut fixture = uneven_fixture();
    let mut placed = |model: &str, count: usize| -> Vec<PlacedGroup> {
        (0..count).map(|number| fixture.group(&format!("{model}-{number}"), model, &[])).collect()
    };
    let groups = [placed(LARGE, groups[0]), placed(SMALL, groups[1])];
    let domains = groups.iter().flatten().map(|group| group.domain.clone());
    let domains: Vec<_> = domains.collect();
    let free: Vec<PoolHost> =
        domains.iter().map(|domain| fixture.host(domain.as_str(), Some(SMALL), &[])).collect();
    let large = request_demand(&fixture.engine, LARGE_INDEX, rates[0], 1_650, 92);
    let small = request_demand(&fixture.engine, SMALL_INDEX, rates[1], 714, 130);
    let mut view = fixture.view(free, groups, [0.0, 0.0]);
    view.demand = vec![large, small];
    view.steady_demand = view.demand.clone();
    GroupPlanner::new(view).supplies()
}

/// Guards against a model that is given up because its groups are large: one request in nine asks for
/// it, and two groups of eight hosts were wanted for it where its callers needed two and a half,
/// while the small model was to have half as many again as its callers needed.
#[test]
fn a_model_with_large_groups_gets_groups_for_its_work() {
    let supplies = supplies([2, 14], [37.0, 285.0]);

    let [large, small] = [&supplies[LARGE_INDEX], &supplies[SMALL_INDEX]];
    assert!(large.wanted >= large.busy, "{large:?}, {small:?}");
    assert!(small.wanted >= small.busy, "{large:?}, {small:?}");
}

/// Hosts that whole groups of both models take at the intended utilization.
fn needed_hosts(supplies: &[ModelSupply]) -> f64 {
    let groups = |index: usize| (supplies[index].busy / INTENDED_UTILIZATION).ceil();
    groups(LARGE_INDEX) * 8.0 + groups(SMALL_INDEX) * 2.0
}

/// Guards against a split that refuses callers of one model while the hosts suffice for both: each
/// model gets the groups that its work keeps busy.
#[test]
fn seeded_demands_leave_no_model_short() {
    let mut checked = 0;
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let groups = [random.random_range(1..8), random.random_range(4..40)];
        let hosts = (groups[0] * 8 + groups[1] * 2) as f64;
        let (part, load) = (random.random_range(0.1..0.9), random.random_range(0.5..0.85));
        let unit = supplies(groups, [1.0, 1.0]);
        let large = hosts * part * load / 8.0 / unit[LARGE_INDEX].busy;
        let small = hosts * (1.0 - part) * load / 2.0 / unit[SMALL_INDEX].busy;

        let supplies = supplies(groups, [large, small]);

        if needed_hosts(&supplies) <= hosts {
            checked += 1;
            let is_met = |supply: &ModelSupply| supply.wanted >= supply.busy;
            assert!(supplies.iter().all(is_met), "seed {seed}: {supplies:?}");
        }
    }
    assert!(checked >= SEEDS / 2, "only {checked} seeds have enough hosts");
}

/// Guards against a model that bears the whole loss when hosts are few: 42 hosts, and work for 58. Its
/// part of the work that has groups is at least half of the other model's.
#[test]
fn too_few_hosts_are_shared_by_the_work_of_the_models() {
    let supplies = supplies([2, 13], [68.0, 320.0]);

    let covered = |index: usize| (supplies[index].wanted / supplies[index].busy).min(1.0);
    let (large, small) = (covered(LARGE_INDEX), covered(SMALL_INDEX));
    assert!(supplies[LARGE_INDEX].busy * 8.0 + supplies[SMALL_INDEX].busy * 2.0 > 42.0);
    assert!(large >= small / 2.0 && small >= large / 2.0, "{supplies:?}");
}

/// Guards against a third model that is given up: a thousandth of the callers ask for it. It keeps a
/// group, and the other two still have groups for their work.
#[test]
fn a_model_with_few_callers_keeps_a_group() {
    let mut fixture = uneven_fixture();
    let rare = ModelSpec { name: "rare".to_owned(), ..fixture.engine.models[LARGE_INDEX].clone() };
    fixture.engine.models.push(rare);
    let small: Vec<PlacedGroup> =
        (0..30).map(|number| fixture.group(&format!("small-{number}"), SMALL, &[])).collect();
    let hosts = small.iter().flat_map(|group| &group.hosts).count();
    let engine = &fixture.engine;
    let demand = vec![
        request_demand(engine, LARGE_INDEX, 37.0, 1_650, 92),
        request_demand(engine, SMALL_INDEX, 285.0, 714, 130),
        request_demand(engine, LARGE_INDEX, 0.3, 1_650, 92),
    ];
    let free = small.iter().map(|group| PoolHost {
        id: IncarnationId::new(&format!("spare-{}", group.domain.as_str())),
        ..group.hosts[0].clone()
    });
    let mut view = fixture.view(free.collect(), [Vec::new(), small.clone()], [0.0, 0.0]);
    view.groups.push(Vec::new());
    view.shares.push(0.5);
    view.steady_demand = demand.clone();
    view.demand = demand;

    let supplies = GroupPlanner::new(view).supplies();

    assert!(supplies[2].wanted >= 1.0, "{supplies:?}");
    assert!(supplies.iter().all(|supply| supply.wanted >= supply.busy), "{supplies:?}");
    let used = supplies[0].wanted * 8.0 + supplies[1].wanted * 2.0 + supplies[2].wanted * 8.0;
    assert!(used <= hosts as f64, "{supplies:?}");
}

/// Guards against more groups than hosts make, or a number that is none, when nobody asks for a model,
/// when every host is slow, and when the leader has just changed: each model is to have a group, and
/// together no more than the hosts.
#[test]
fn the_split_is_bounded_without_demand_or_trust_and_on_slow_hosts() {
    for (rates, slow, trust) in [
        ([0.0, 0.0], false, 1.0),
        ([0.0, 285.0], false, 1.0),
        ([37.0, 0.0], false, 1.0),
        ([37.0, 285.0], true, 1.0),
        ([37.0, 285.0], false, 0.0),
    ] {
        let mut fixture = uneven_fixture();
        let large: Vec<_> = (0..2).map(|_| fixture.group("a", LARGE, &[SMALL])).collect();
        let small: Vec<_> = (0..14).map(|_| fixture.group("b", SMALL, &[LARGE])).collect();
        let demand =
            [(LARGE_INDEX, 1_650, 92), (SMALL_INDEX, 714, 130)].map(|(index, prompt, answer)| {
                request_demand(&fixture.engine, index, rates[index], prompt, answer)
            });
        let mut view = fixture.view(Vec::new(), [large, small], [0.0, 0.0]);
        view.demand = demand.to_vec();
        view.steady_demand = demand.to_vec();
        view.trust = trust;
        let hosts = view.groups.iter_mut().flatten().flat_map(|group| &mut group.hosts);
        hosts.for_each(|host| host.slow = slow);

        let supplies = GroupPlanner::new(view).supplies();

        let used = supplies[LARGE_INDEX].wanted * 8.0 + supplies[SMALL_INDEX].wanted * 2.0;
        assert!(supplies.iter().all(|supply| supply.wanted >= 1.0), "{rates:?} {supplies:?}");
        assert!(used <= 44.0 + f64::EPSILON * 100.0, "{rates:?} {supplies:?}");
    }
}
