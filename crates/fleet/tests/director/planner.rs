//! Single decisions of the planner, without a director.

use briartray_fleet::deployment::EngineModel;
use briartray_fleet::director::{
    GroupPlanner, NearestDomain, PlacedGroup, PlanAction, PlanView, PoolHost,
};
use briartray_fleet::message::WorkSum;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName, ZoneName};

use crate::models::{LARGE, SMALL, two_models};

/// Index of the large model in the engine.
pub const LARGE_INDEX: usize = 0;

/// Index of the small model in the engine.
pub const SMALL_INDEX: usize = 1;

/// Builds hosts and groups of a pool.
#[derive(Clone)]
pub struct PoolFixture {
    service: ServiceName,
    pub engine: EngineModel,
    next: u32,
}

impl PoolFixture {
    pub fn new() -> Self {
        let engine = two_models().services[0].engine.clone().expect("the fixture has an engine");
        Self { service: ServiceName::new("desk"), engine, next: 0 }
    }

    pub fn host(&mut self, domain: &str, warm_model: Option<&str>, staged: &[&str]) -> PoolHost {
        self.next += 1;
        PoolHost {
            id: IncarnationId::new(&format!("i-{:03}", self.next)),
            address: format!("10.0.0.{}:80", self.next),
            domain: DomainName::new(domain),
            zone: ZoneName::new(domain),
            staged: staged.iter().map(|model| (*model).to_owned()).collect(),
            staging: None,
            warm_model: warm_model.map(str::to_owned),
            slow: false,
            confirmed_slow: false,
            newly_seen: false,
            standby: None,
        }
    }

    pub fn group(&mut self, domain: &str, model: &str, staged: &[&str]) -> PlacedGroup {
        let size = self.engine.model(model).expect("the model exists").size;
        let hosts = (0..size).map(|_| self.host(domain, Some(model), staged)).collect();
        PlacedGroup { group: GroupId(u64::from(self.next)), domain: DomainName::new(domain), hosts }
    }

    /// Next action of the planner for a demand of `demand` busy groups of each model.
    fn next(
        &self,
        free: Vec<PoolHost>,
        groups: [Vec<PlacedGroup>; 2],
        demand: [f64; 2],
    ) -> Option<PlanAction> {
        GroupPlanner::new(self.view(free, groups, demand)).next()
    }

    pub fn view(
        &self,
        free: Vec<PoolHost>,
        groups: [Vec<PlacedGroup>; 2],
        demand: [f64; 2],
    ) -> PlanView<'_> {
        PlanView {
            service: &self.service,
            engine: &self.engine,
            free,
            leaving: Vec::new(),
            closing: Vec::new(),
            groups: groups.to_vec(),
            demand: demand.iter().map(busy_demand).collect(),
            steady_demand: demand.iter().map(busy_demand).collect(),
            trust: 1.0,
            shares: self.engine.models.iter().map(|model| model.share).collect(),
            loading: 0,
            first_start_domains: None,
            serving: true,
            overload: false,
        }
    }
}

/// Demand that is known only by the number of groups that it keeps busy.
fn busy_demand(groups: &f64) -> WorkSum {
    WorkSum { work_ms: groups * 1e3, ..WorkSum::default() }
}

/// Demand of `rate` requests a second for the model at `index`, with `prompt` tokens in and
/// `answer` tokens out each.
pub fn request_demand(
    engine: &EngineModel,
    index: usize,
    rate: f64,
    prompt: u32,
    answer: u32,
) -> WorkSum {
    let model = &engine.models[index];
    let each = WorkSum {
        work_ms: engine.work_ms(model, prompt, answer),
        requests: 1.0,
        reading_ms: engine.prefill_ms(prompt) * model.pace,
        // The standard deviation of prompt lengths equals their mean.
        reading_squares: 2.0 * (engine.prefill_ms(prompt) * model.pace).powi(2),
        events: engine.events(answer),
        target_ms: if index == LARGE_INDEX { 500.0 } else { 300.0 },
        gap_ms: if index == LARGE_INDEX { 300.0 } else { 200.0 },
    };
    each.times(rate)
}

fn formed_group(action: Option<PlanAction>) -> Option<(String, usize)> {
    match action {
        Some(PlanAction::Form { group, .. }) => Some((group.model, group.members.len())),
        _ => None,
    }
}

/// Guards against a model that keeps spare capacity while another one is short: a large group has
/// lost a member and there is no spare. One of the underused small groups in the domain ends,
/// because its hosts have staged the large model.
#[test]
fn a_model_with_enough_groups_releases_one() {
    let mut fixture = PoolFixture::new();
    let rest: Vec<PoolHost> = (0..3).map(|_| fixture.host("a", Some(LARGE), &[LARGE])).collect();
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let small: Vec<PlacedGroup> = (0..4).map(|_| fixture.group("a", SMALL, &[LARGE])).collect();
    let candidates: Vec<GroupId> = small.iter().map(|group| group.group).collect();

    let action = fixture.next(rest, [large, small], [2.0, 2.0]);

    assert!(
        matches!(action, Some(PlanAction::End(group)) if candidates.contains(&group)),
        "{action:?}"
    );
}

/// Guards against hosts that move back and forth: both models are short of hosts. If the small one
/// released a group to the large one, it would claim the hosts back at once, and neither model
/// would be served in the meantime.
#[test]
fn a_model_that_is_also_short_releases_nothing() {
    let mut fixture = PoolFixture::new();
    let rest: Vec<PoolHost> = (0..3).map(|_| fixture.host("a", Some(LARGE), &[LARGE])).collect();
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let small = vec![fixture.group("a", SMALL, &[LARGE]), fixture.group("b", SMALL, &[LARGE])];

    let action = fixture.next(rest, [large, small], [1.2, 6.0]);

    assert!(!matches!(action, Some(PlanAction::End(_))), "{action:?}");
}

/// Guards against using the first free members of a broken large group for a small group, which
/// would then have to end for the large one. The members become free one after the other and are
/// kept together.
#[test]
fn hosts_are_kept_for_the_model_with_the_largest_shortage() {
    let mut fixture = PoolFixture::new();
    let free: Vec<PoolHost> = (0..2).map(|_| fixture.host("a", Some(LARGE), &[SMALL])).collect();
    let leaving: Vec<PoolHost> = (0..2).map(|_| fixture.host("a", Some(LARGE), &[SMALL])).collect();
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let small: Vec<PlacedGroup> = (0..2).map(|_| fixture.group("b", SMALL, &[LARGE])).collect();
    let mut view = fixture.view(free, [large, small], [5.0, 1.0]);
    view.leaving = leaving;

    let early = GroupPlanner::new(view.clone()).next();
    view.free.extend(std::mem::take(&mut view.leaving));
    let late = GroupPlanner::new(view).next();

    assert_eq!(formed_group(early), None);
    assert_eq!(formed_group(late), Some((LARGE.to_owned(), 4)));
}

/// Guards against a split that ignores the demand: callers ask for three times the work of the
/// large model, and the remaining hosts go to it, so that both models are equally well covered.
#[test]
fn hosts_are_split_by_the_work_that_callers_ask_for() {
    let mut fixture = PoolFixture::new();
    let free: Vec<PoolHost> = (0..5).map(|_| fixture.host("a", Some(SMALL), &[LARGE])).collect();
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let small = vec![fixture.group("b", SMALL, &[LARGE])];

    let mostly_large = fixture.next(free.clone(), [large.clone(), small.clone()], [3.0, 1.0]);
    let mostly_small = fixture.next(free, [large, small], [0.5, 5.0]);

    assert_eq!(formed_group(mostly_large), Some((LARGE.to_owned(), 4)));
    assert_eq!(formed_group(mostly_small), Some((SMALL.to_owned(), 2)));
}

/// Guards against a split by utilization alone: both models are equally busy, but the large one
/// gets long prompts, reads for half of its time, and one answer in ten was late; waits for the
/// small model are a third of what its callers accept. The remaining hosts form a large group.
#[test]
fn hosts_go_where_callers_are_late_not_where_groups_are_busy() {
    let mut fixture = PoolFixture::new();
    let domains: Vec<String> = (0..12).map(|number| format!("d{number}")).collect();
    let large: Vec<PlacedGroup> =
        domains.iter().map(|domain| fixture.group(domain, LARGE, &[SMALL])).collect();
    let small: Vec<PlacedGroup> = domains
        .iter()
        .flat_map(|domain| [domain, domain])
        .map(|domain| fixture.group(domain, SMALL, &[LARGE]))
        .collect();
    let free: Vec<PoolHost> = (0..5).map(|_| fixture.host("d0", Some(LARGE), &[SMALL])).collect();
    let engine = fixture.engine.clone();
    let drafts = request_demand(&engine, LARGE_INDEX, 120.0, 1_650, 100);
    let digests = request_demand(&engine, SMALL_INDEX, 410.0, 674, 150);
    let busy_groups = [drafts, digests].map(|demand| demand.work_ms / 1e3);
    let equally = fixture.next(free.clone(), [large.clone(), small.clone()], busy_groups);

    let mut view = fixture.view(free, [large, small], busy_groups);
    view.demand = vec![drafts, digests];
    let action = GroupPlanner::new(view).next();

    assert!(
        busy_groups[0] / 12.0 < busy_groups[1] / 24.0 * 1.05,
        "the large model is busier: {busy_groups:?}"
    );
    assert_eq!(formed_group(equally), Some((SMALL.to_owned(), 2)));
    assert_eq!(formed_group(action), Some((LARGE.to_owned(), 4)));
}

/// Guards against small groups that leave no domain with room for a large one: hosts appear one
/// after the other on a start, and those of two domains that came first formed small groups.
/// Callers of the large model would be refused for good, so small groups end before callers come.
#[test]
fn small_groups_end_for_a_large_one_before_callers_come() {
    let mut fixture = PoolFixture::new();
    let free = ["a", "b"].map(|domain| fixture.host(domain, None, &[])).to_vec();
    let small: Vec<PlacedGroup> = ["a", "a", "a", "a", "b", "b", "b", "b"]
        .map(|domain| fixture.group(domain, SMALL, &[SMALL]))
        .to_vec();
    let mut view = fixture.view(free, [Vec::new(), small], [0.0, 0.0]);
    view.trust = 0.0;
    view.serving = false;

    let action = GroupPlanner::new(view).next();

    assert!(matches!(action, Some(PlanAction::End(_))), "{action:?}");
}

/// Guards against an empty host that loads what its domain has already: nearly all hosts there can
/// serve the small model and few the large one, and the next broken large group needs a host that
/// can.
#[test]
fn an_empty_host_loads_the_scarcest_model_of_its_domain() {
    let mut fixture = PoolFixture::new();
    let empty = fixture.host("a", None, &[]);
    let id = empty.id.clone();
    let large = vec![fixture.group("a", LARGE, &[LARGE]), fixture.group("b", LARGE, &[SMALL])];
    let small: Vec<PlacedGroup> = (0..4).map(|_| fixture.group("a", SMALL, &[SMALL])).collect();

    let action = fixture.next(vec![empty], [large, small], [2.0, 4.0]);

    assert_eq!(action, Some(PlanAction::Stage { host: id, model: LARGE.to_owned() }));
}

/// Guards against loads of further models that delay an empty host: two loads of the weight store
/// are reserved for hosts without weights.
#[test]
fn extra_weights_reserve_loads_for_empty_hosts() {
    let mut fixture = PoolFixture::new();
    let large = vec![fixture.group("a", LARGE, &[LARGE])];
    let small = vec![fixture.group("a", SMALL, &[SMALL]), fixture.group("b", SMALL, &[SMALL])];
    let empty = fixture.host("b", None, &[]);
    let mut view = fixture.view(Vec::new(), [large, small], [1.0, 2.0]);
    let loads_at_once = view.engine.loads_at_once;

    view.loading = loads_at_once - 3;
    let further = GroupPlanner::new(view.clone()).next();
    view.loading = loads_at_once - 2;
    let held_back = GroupPlanner::new(view.clone()).next();
    view.free.push(empty);
    let first = GroupPlanner::new(view).next();

    assert!(matches!(further, Some(PlanAction::Stage { .. })), "{further:?}");
    assert_eq!(held_back, None);
    assert!(matches!(first, Some(PlanAction::Stage { .. })), "{first:?}");
}

/// Guards against a slow member that stays although a fast host of the domain could replace it, and
/// against ending the group when the replacement is slow as well.
#[test]
fn a_slow_member_is_replaced_only_by_a_fast_host() {
    let mut fixture = PoolFixture::new();
    let mut large = fixture.group("a", LARGE, &[SMALL]);
    large.hosts[1].slow = true;
    large.hosts[1].confirmed_slow = true;
    let group = large.group;
    let fast = fixture.host("a", Some(LARGE), &[SMALL]);
    let slow = PoolHost { slow: true, ..fast.clone() };
    let small = vec![fixture.group("b", SMALL, &[LARGE])];

    let replaced = fixture.next(vec![fast], [vec![large.clone()], small.clone()], [1.0, 1.0]);
    let kept = fixture.next(vec![slow], [vec![large], small], [1.0, 1.0]);

    assert_eq!(replaced, Some(PlanAction::End(group)));
    assert!(!matches!(kept, Some(PlanAction::End(_))), "{kept:?}");
}

/// Guards against ending a group for a replacement that is not free yet: the only fast host was
/// still leaving an ended group, and the group with the slow host was ended and formed again with
/// the same hosts, time after time, without serving.
#[test]
fn a_slow_member_is_kept_until_its_replacement_is_free() {
    let mut fixture = PoolFixture::new();
    let mut slow = fixture.group("a", SMALL, &[LARGE]);
    slow.hosts[1].slow = true;
    slow.hosts[1].confirmed_slow = true;
    let fast = fixture.host("a", Some(SMALL), &[LARGE]);
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let mut view = fixture.view(Vec::new(), [large, vec![slow]], [1.0, 1.0]);

    view.leaving.push(fast);
    let action = GroupPlanner::new(view).next();

    assert!(!matches!(action, Some(PlanAction::End(_))), "{action:?}");
}

/// Guards against a shortage that no record explains: the line of the plan names the domain that is
/// closest to the missing group, with its free hosts.
#[test]
fn a_model_that_lacks_a_group_names_its_nearest_domain() {
    let mut fixture = PoolFixture::new();
    let mut free: Vec<PoolHost> =
        (0..2).map(|_| fixture.host("a", Some(LARGE), &[LARGE])).collect();
    free.push(PoolHost { staging: Some(LARGE.to_owned()), ..fixture.host("a", None, &[]) });
    free.push(fixture.host("b", Some(LARGE), &[LARGE]));
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let small = (0..4).map(|_| fixture.group("b", SMALL, &[SMALL])).collect();

    let planner = GroupPlanner::new(fixture.view(free, [large, small], [2.0, 0.5]));
    let supplies = planner.supplies();

    let nearest = NearestDomain { domain: DomainName::new("a"), free: 3, ready: 2, loading: 1 };
    assert_eq!(supplies[LARGE_INDEX].lacking(), 1);
    assert_eq!(supplies[LARGE_INDEX].nearest, Some(nearest));
    assert_eq!(supplies[SMALL_INDEX].lacking(), 0);
    let summary = planner.summary(&supplies, &planner.idle_counts());
    assert!(summary.contains("large lacks 1, a 2 ready 1 loading of 3 free"), "{summary}");
}

/// Checks the model order on which the demand and groups of the fixture depend.
#[test]
fn the_fixture_names_its_models_in_order() {
    let fixture = PoolFixture::new();

    assert_eq!(fixture.engine.models[LARGE_INDEX].name, LARGE);
    assert_eq!(fixture.engine.models[SMALL_INDEX].name, SMALL);
}
