//! Single decisions of the planner on free hosts that cannot make a group of the model in which they
//! are warm. The states are those of a leader of the first deployment of `docs/design/hard-load.md`.

use briartray_fleet::director::{GroupPlanner, PlacedGroup, PlanAction, PlanView, PoolHost};
use briartray_model::names::IncarnationId;

use crate::models::{LARGE, SMALL, large_groups};
use crate::planner::{LARGE_INDEX, PoolFixture, SMALL_INDEX};

/// Busy groups of the large and the small model: more than the hosts suffice for.
const DEMAND: [f64; 2] = [2.5, 7.0];

fn large_fixture() -> PoolFixture {
    let mut fixture = PoolFixture::new();
    fixture.engine = large_groups().services[0].engine.clone().expect("the plan has an engine");
    fixture
}

fn loading(fixture: &mut PoolFixture, domain: &str, warm: Option<&str>) -> PoolHost {
    let staged: Vec<&str> = warm.into_iter().collect();
    PoolHost { staging: Some(SMALL.to_owned()), ..fixture.host(domain, warm, &staged) }
}

/// Second 26 of the recorded run: in domain a six hosts are warm in the large model and three load
/// the small one; one large group forms and five small ones serve elsewhere.
fn nine_free_hosts(fixture: &mut PoolFixture) -> (PlanView<'_>, Vec<IncarnationId>) {
    let idle = warm_hosts(fixture, 6);
    let ids = idle.iter().map(|host| host.id.clone()).collect();
    let mut free = idle;
    free.extend((0..3).map(|_| loading(fixture, "a", None)));
    free.push(loading(fixture, "b", None));
    free.extend((0..2).map(|_| loading(fixture, "b", Some(LARGE))));
    let large = vec![fixture.group("c", LARGE, &[LARGE])];
    let small = small_groups(fixture, "abbcc", SMALL);
    let view = fixture.view(free, [large, small], DEMAND);
    (PlanView { loading: 6, ..view }, ids)
}

/// Hosts of domain a, warm in the large model, with its weights staged.
fn warm_hosts(fixture: &mut PoolFixture, count: usize) -> Vec<PoolHost> {
    (0..count).map(|_| fixture.host("a", Some(LARGE), &[LARGE])).collect()
}

/// Small groups, one for each letter of `domains`, with `staged` as second model.
fn small_groups(fixture: &mut PoolFixture, domains: &str, staged: &str) -> Vec<PlacedGroup> {
    domains
        .split("")
        .filter(|d| !d.is_empty())
        .map(|d| fixture.group(d, SMALL, &[staged]))
        .collect()
}

fn next(view: &PlanView<'_>, overload: bool) -> Option<PlanAction> {
    GroupPlanner::new(PlanView { overload, ..view.clone() }).next()
}

fn formed_model(action: Option<PlanAction>) -> Option<String> {
    match action {
        Some(PlanAction::Form { group, .. }) if !group.standby => Some(group.model),
        _ => None,
    }
}

/// Guards against warm hosts without work: no load was planned for the six hosts, since the last
/// places of the weight store are reserved for empty ones and large weights are nowhere missing
/// more.
#[test]
fn idle_hosts_stage_the_model_that_is_short() {
    let mut fixture = large_fixture();
    let (view, idle) = nine_free_hosts(&mut fixture);

    let action = next(&view, true);

    let staged = |action: Option<PlanAction>| match action {
        Some(PlanAction::Stage { host, model }) if idle.contains(&host) => Some(model),
        _ => None,
    };
    assert_eq!(staged(action), Some(SMALL.to_owned()));
    assert_eq!(next(&view, false), None);
}

/// Guards against loads for idle hosts that keep empty ones waiting: the places of the weight store
/// beyond its full speed are left to hosts without weights.
#[test]
fn idle_hosts_leave_loads_to_empty_ones() {
    let mut fixture = large_fixture();
    let loads_at_once = fixture.engine.loads_at_once;
    let empty = fixture.host("b", None, &[]);
    let (mut view, _) = nine_free_hosts(&mut fixture);
    // No host of domain a loads the small model yet: a group of it lacks four loads.
    view.free.retain(|host| host.staging.is_none());
    view.loading = loads_at_once;

    let held_back = next(&view, true);
    view.free.push(empty.clone());
    let first = next(&view, true);

    assert_eq!(held_back, None);
    assert!(matches!(first, Some(PlanAction::Stage { host, .. }) if host == empty.id));
}

/// Guards against a reservation that idles nine hosts: the large model has no group, but in the only
/// domain with enough free hosts too few of them have its weights or can begin to load them.
#[test]
fn hosts_serve_another_model_if_their_own_cannot_form() {
    let mut fixture = large_fixture();
    let mut free = warm_hosts(&mut fixture, 3);
    free.push(fixture.host("a", Some(LARGE), &[SMALL]));
    free.extend((0..3).map(|_| fixture.host("a", None, &[SMALL])));
    free.extend((0..2).map(|_| loading(&mut fixture, "a", None)));
    let small = small_groups(&mut fixture, "bbcc", SMALL);
    let view = fixture.view(free, [Vec::new(), small], DEMAND);

    let on = next(&view, true);
    let off = next(&view, false);

    assert_eq!(formed_model(on), Some(SMALL.to_owned()));
    assert_eq!(formed_model(off), None);
}

/// Guards against a model that stays without a group since its hosts were given away: the domain
/// lacks two loads for it, and these can begin.
#[test]
fn hosts_are_kept_if_their_own_model_can_form_in_time() {
    let mut fixture = large_fixture();
    let mut free = warm_hosts(&mut fixture, 5);
    free.extend((0..4).map(|_| fixture.host("a", None, &[SMALL])));
    let small = small_groups(&mut fixture, "bbcc", SMALL);
    let view = fixture.view(free, [Vec::new(), small], DEMAND);

    let action = next(&view, true);

    assert_eq!(formed_model(action), None);
}

/// Guards against a group that keeps its hosts from a model with a larger shortage: four hosts that
/// served the small model meanwhile have the large weights again, and with four free ones they make
/// a large group, of which there is none in three wanted.
#[test]
fn the_group_ends_when_its_hosts_complete_a_larger_shortage() {
    let mut fixture = large_fixture();
    let free = warm_hosts(&mut fixture, 4);
    let returning = fixture.group("a", SMALL, &[LARGE]);
    let group = returning.group;
    let mut small = small_groups(&mut fixture, "bbccc", SMALL);
    small.push(returning);
    let view = fixture.view(free, [Vec::new(), small], DEMAND);

    let action = next(&view, true);

    assert_eq!(action, Some(PlanAction::End(group)));
}

/// Guards against loads for a wave that is over when the weights arrive: the small model is short by
/// the demand of the last four seconds, but not by that of the last sixteen.
#[test]
fn a_wave_is_not_worth_a_load() {
    let mut fixture = large_fixture();
    let idle = warm_hosts(&mut fixture, 6);
    let large = vec![fixture.group("b", LARGE, &[SMALL]), fixture.group("c", LARGE, &[SMALL])];
    let small = small_groups(&mut fixture, "aabbcc", LARGE);
    let mut view = fixture.view(idle, [large, small], [1.0, 6.0]);

    let lasting = next(&view, true);
    view.steady_demand[SMALL_INDEX].work_ms = 3_500.0;
    view.steady_demand[LARGE_INDEX].work_ms = 1_300.0;
    let wave = next(&view, true);

    assert!(matches!(lasting, Some(PlanAction::Stage { .. })), "{lasting:?}");
    assert_eq!(wave, next(&view, false));
}

/// Guards against a new host that loads what completes nothing: seven hosts of its domain wait for
/// an eighth one with the large weights, which are not scarce there.
#[test]
fn an_empty_host_completes_the_group_of_idle_ones() {
    let mut fixture = large_fixture();
    let mut free = warm_hosts(&mut fixture, 7);
    let empty = fixture.host("a", None, &[]);
    free.push(empty.clone());
    let large = vec![fixture.group("b", LARGE, &[SMALL]), fixture.group("c", LARGE, &[SMALL])];
    let small = small_groups(&mut fixture, "bbcc", LARGE);
    let view = fixture.view(free, [large, small], DEMAND);

    let on = next(&view, true);
    let off = next(&view, false);

    assert_eq!(on, Some(PlanAction::Stage { host: empty.id.clone(), model: LARGE.to_owned() }));
    assert_eq!(off, Some(PlanAction::Stage { host: empty.id, model: SMALL.to_owned() }));
}

/// Guards against a load for a group that lacks another host besides: six warm hosts and an empty one
/// make no group of eight, and the empty host would be of no use for the time of the load.
#[test]
fn an_empty_host_is_not_loaded_for_a_group_that_lacks_hosts() {
    let mut fixture = large_fixture();
    let mut free = warm_hosts(&mut fixture, 6);
    free.push(fixture.host("a", None, &[]));
    let large = vec![fixture.group("b", LARGE, &[SMALL]), fixture.group("c", LARGE, &[SMALL])];
    let small = small_groups(&mut fixture, "bbcc", LARGE);
    let view = fixture.view(free, [large, small], DEMAND);

    let on = next(&view, true);

    let loads_large =
        |action: &PlanAction| matches!(action, PlanAction::Stage { model, .. } if model == LARGE);
    assert!(!on.as_ref().is_some_and(loads_large), "{on:?}");
}

/// Guards against further loads for hosts whose own group waits for the last load: eight hosts make
/// a large group of which there is none.
#[test]
fn hosts_that_wait_for_the_last_load_are_not_idle() {
    let mut fixture = large_fixture();
    let mut free = warm_hosts(&mut fixture, 7);
    free.push(PoolHost { staging: Some(LARGE.to_owned()), ..fixture.host("a", None, &[]) });
    free.extend((0..2).map(|_| loading(&mut fixture, "a", None)));
    let small = small_groups(&mut fixture, "bbcc", SMALL);
    let view = fixture.view(free, [Vec::new(), small], DEMAND);

    let action = next(&PlanView { loading: 6, ..view }, true);

    assert_eq!(action, None);
}
