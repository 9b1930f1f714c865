//! Single decisions of the planner, without a director around it.

use briartray_fleet::deployment::EngineModel;
use briartray_fleet::director::{GroupPlanner, PlacedGroup, PlanAction, PlanView, PoolHost};
use briartray_fleet::message::WorkSum;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName, ZoneName};

use crate::models::{LARGE, SMALL, two_models};

/// Position of the large model in the engine.
const LARGE_INDEX: usize = 0;

/// Position of the small model in the engine.
const SMALL_INDEX: usize = 1;

/// A domain with groups and free hosts, built host by host.
struct PoolFixture {
    service: ServiceName,
    engine: EngineModel,
    next: u32,
}

impl PoolFixture {
    fn new() -> Self {
        let engine = two_models().services[0].engine.clone().expect("the fixture has an engine");
        Self { service: ServiceName::new("desk"), engine, next: 0 }
    }

    fn host(&mut self, domain: &str, warm: Option<&str>, staged: &[&str]) -> PoolHost {
        self.next += 1;
        PoolHost {
            id: IncarnationId::new(&format!("i-{:03}", self.next)),
            address: format!("10.0.0.{}:80", self.next),
            domain: DomainName::new(domain),
            zone: ZoneName::new(domain),
            staged: staged.iter().map(|model| (*model).to_owned()).collect(),
            staging: None,
            warm: warm.map(str::to_owned),
            slow: false,
            lasting_slow: false,
            fresh: false,
            standby: None,
        }
    }

    fn group(&mut self, domain: &str, model: &str, staged: &[&str]) -> PlacedGroup {
        let size = self.engine.model(model).expect("the model exists").size;
        let hosts = (0..size).map(|_| self.host(domain, Some(model), staged)).collect();
        PlacedGroup { group: GroupId(u64::from(self.next)), domain: DomainName::new(domain), hosts }
    }

    /// What the planner does next with callers who ask for `demand` groups of each model.
    fn next(
        &self,
        free: Vec<PoolHost>,
        groups: [Vec<PlacedGroup>; 2],
        demand: [f64; 2],
    ) -> Option<PlanAction> {
        GroupPlanner::new(self.view(free, groups, demand)).next()
    }

    fn view(
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
            demand: demand.iter().map(busy).collect(),
            trust: 1.0,
            shares: self.engine.models.iter().map(|model| model.share).collect(),
            loading: 0,
            gathering: None,
            serving: true,
        }
    }
}

/// What callers ask for, where only the groups that it keeps busy are known.
fn busy(groups: &f64) -> WorkSum {
    WorkSum { work_ms: groups * 1e3, ..WorkSum::default() }
}

/// `rate` requests a second of the model at `index`, each with `prompt` tokens in and `answer` out.
fn asked(engine: &EngineModel, index: usize, rate: f64, prompt: u32, answer: u32) -> WorkSum {
    let model = &engine.models[index];
    let each = WorkSum {
        work_ms: engine.work_ms(model, prompt, answer),
        requests: 1.0,
        reading_ms: engine.read_ms(prompt) * model.pace,
        // Prompts differ as much as they are long.
        reading_squares: 2.0 * (engine.read_ms(prompt) * model.pace).powi(2),
        events: engine.events(answer),
        target_ms: if index == LARGE_INDEX { 500.0 } else { 300.0 },
        gap_ms: if index == LARGE_INDEX { 300.0 } else { 200.0 },
    };
    each.times(rate)
}

fn formed(action: Option<PlanAction>) -> Option<(String, usize)> {
    match action {
        Some(PlanAction::Form { group, .. }) => Some((group.model, group.members.len())),
        _ => None,
    }
}

/// A large group has lost a member and there is no spare. Two small groups of the domain have time to
/// spare; one of them ends, because its hosts keep the large model's weights.
#[test]
fn a_model_with_enough_groups_gives_one_up() {
    let mut fixture = PoolFixture::new();
    let rest: Vec<PoolHost> = (0..3).map(|_| fixture.host("a", Some(LARGE), &[LARGE])).collect();
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let small: Vec<PlacedGroup> = (0..4).map(|_| fixture.group("a", SMALL, &[LARGE])).collect();
    let ends: Vec<GroupId> = small.iter().map(|group| group.group).collect();

    let action = fixture.next(rest, [large, small], [2.0, 2.0]);

    assert!(matches!(action, Some(PlanAction::End(group)) if ends.contains(&group)), "{action:?}");
}

/// Both models are short of hosts, and the large one has one group for its callers. Taken from the
/// small one, a host would be asked back at once, and neither model would be served meanwhile.
#[test]
fn a_model_that_is_short_as_well_gives_nothing() {
    let mut fixture = PoolFixture::new();
    let rest: Vec<PoolHost> = (0..3).map(|_| fixture.host("a", Some(LARGE), &[LARGE])).collect();
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let small = vec![fixture.group("a", SMALL, &[LARGE]), fixture.group("b", SMALL, &[LARGE])];

    let action = fixture.next(rest, [large, small], [1.2, 6.0]);

    assert!(!matches!(action, Some(PlanAction::End(_))), "{action:?}");
}

/// The members of a broken large group come free one after the other. The first two would make a
/// small group, which then has to end again for the large one; they are kept for it.
#[test]
fn hosts_wait_for_the_rest_of_the_group_that_lacks_most() {
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

    assert_eq!(formed(early), None);
    assert_eq!(formed(late), Some((LARGE.to_owned(), 4)));
}

/// Callers ask for three times the work of the large model. The hosts that are left go to it, since
/// both models are to be served equally well.
#[test]
fn hosts_are_split_by_the_work_that_callers_ask_for() {
    let mut fixture = PoolFixture::new();
    let free: Vec<PoolHost> = (0..5).map(|_| fixture.host("a", Some(SMALL), &[LARGE])).collect();
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let small = vec![fixture.group("b", SMALL, &[LARGE])];

    let mostly_large = fixture.next(free.clone(), [large.clone(), small.clone()], [3.0, 1.0]);
    let mostly_small = fixture.next(free, [large, small], [0.5, 5.0]);

    assert_eq!(formed(mostly_large), Some((LARGE.to_owned(), 4)));
    assert_eq!(formed(mostly_small), Some((SMALL.to_owned(), 2)));
}

/// Both models are kept equally busy by their callers, who ask the large one for long texts. Its groups
/// read for half of their time and one caller in ten was late; the small one's callers wait for a
/// third of what they would accept. The hosts that are left make a large group.
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
    let drafts = asked(&engine, LARGE_INDEX, 120.0, 1_650, 100);
    let digests = asked(&engine, SMALL_INDEX, 410.0, 674, 150);
    let busy = [drafts, digests].map(|asked| asked.work_ms / 1e3);
    let equally = fixture.next(free.clone(), [large.clone(), small.clone()], busy);

    let mut view = fixture.view(free, [large, small], busy);
    view.demand = vec![drafts, digests];
    let action = GroupPlanner::new(view).next();

    assert!(busy[0] / 12.0 < busy[1] / 24.0 * 1.05, "no busier: {busy:?}");
    assert_eq!(formed(equally), Some((SMALL.to_owned(), 2)));
    assert_eq!(formed(action), Some((LARGE.to_owned(), 4)));
}

/// Hosts are heard one after the other while everything starts, and those of two domains that came first
/// made small groups. No domain can hold a large one any more, and its callers would be refused all day.
/// Nobody is served yet, so small groups end for it at once.
#[test]
fn before_callers_come_small_groups_give_way_to_a_large_one() {
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

/// An empty host is added to a domain whose hosts can nearly all serve the small model, and few the
/// large one. The next large group that breaks there finds a host only if this one loads its weights.
#[test]
fn an_empty_host_loads_what_its_domain_has_least_of() {
    let mut fixture = PoolFixture::new();
    let empty = fixture.host("a", None, &[]);
    let id = empty.id.clone();
    let large = vec![fixture.group("a", LARGE, &[LARGE]), fixture.group("b", LARGE, &[SMALL])];
    let small: Vec<PlacedGroup> = (0..4).map(|_| fixture.group("a", SMALL, &[SMALL])).collect();

    let action = fixture.next(vec![empty], [large, small], [2.0, 4.0]);

    assert_eq!(action, Some(PlanAction::Stage { host: id, model: LARGE.to_owned() }));
}

/// Hosts that serve are given further weights while loads run. An empty host that is added then must
/// not wait for them: two places of the weight store are left free.
#[test]
fn further_weights_leave_places_for_empty_hosts() {
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

/// A host is slow and another one of the domain could take its place in the group. With all of them
/// slow the group stays as it is.
#[test]
fn a_slow_member_is_replaced_only_by_a_quick_host() {
    let mut fixture = PoolFixture::new();
    let mut large = fixture.group("a", LARGE, &[SMALL]);
    large.hosts[1].slow = true;
    large.hosts[1].lasting_slow = true;
    let ends = large.group;
    let quick = fixture.host("a", Some(LARGE), &[SMALL]);
    let slow = PoolHost { slow: true, ..quick.clone() };
    let small = vec![fixture.group("b", SMALL, &[LARGE])];

    let replaced = fixture.next(vec![quick], [vec![large.clone()], small.clone()], [1.0, 1.0]);
    let kept = fixture.next(vec![slow], [vec![large], small], [1.0, 1.0]);

    assert_eq!(replaced, Some(PlanAction::End(ends)));
    assert!(!matches!(kept, Some(PlanAction::End(_))), "{kept:?}");
}

/// The only quick host that could take a slow one's place is still leaving a group that has ended.
/// The group with the slow host was ended for it and formed anew with the same hosts, time after time,
/// and served nobody meanwhile.
#[test]
fn a_slow_member_stays_until_its_replacement_is_free() {
    let mut fixture = PoolFixture::new();
    let mut slow = fixture.group("a", SMALL, &[LARGE]);
    slow.hosts[1].slow = true;
    slow.hosts[1].lasting_slow = true;
    let quick = fixture.host("a", Some(SMALL), &[LARGE]);
    let large = vec![fixture.group("b", LARGE, &[SMALL])];
    let mut view = fixture.view(Vec::new(), [large, vec![slow]], [1.0, 1.0]);

    view.leaving.push(quick);
    let action = GroupPlanner::new(view).next();

    assert!(!matches!(action, Some(PlanAction::End(_))), "{action:?}");
}

/// The positions that the fixture's demand and groups go by.
#[test]
fn the_fixture_names_its_models_in_order() {
    let fixture = PoolFixture::new();

    assert_eq!(fixture.engine.models[LARGE_INDEX].name, LARGE);
    assert_eq!(fixture.engine.models[SMALL_INDEX].name, SMALL);
}
