//! Decisions of the planner on small hand-built fleets.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use assert_matches::assert_matches;
use briartray_model::TimePoint;
use briartray_model::message::HostAnnouncement;
use briartray_model::names::{GroupId, HostName, RevisionNumber, ServiceName};
use briartray_model::rules::RuleBook;
use briartray_placement::accounting::{FleetRates, StrandedReason};
use briartray_placement::planner::{
    FleetView, GroupPlanner, GroupView, HostView, PlanAction, PlanReason, PlanRound,
};

fn book(replicas: u32, place: &str) -> RuleBook {
    let text = format!(
        "services: [{{ name: desk, hosts_per_replica: 2, replicas: {replicas} }}]\n\
         rules: [{{ rule: place, then: {{ place: {{ {place} }} }} }}]"
    );
    RuleBook::build(RevisionNumber(1), &text).expect("the rules are valid")
}

fn host_view(name: &str, domain: &str, group: Option<u64>) -> HostView {
    let announcement = HostAnnouncement {
        host: name.into(),
        zone: "a".into(),
        domain: domain.into(),
        provider: "one".into(),
        service: "desk".into(),
        accelerators: 8,
        link: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        checks_fencing: true,
        incarnation: 1,
        leaving: false,
    };
    let since = TimePoint::default();
    HostView { announcement, present: true, since, group: group.map(GroupId) }
}

/// Two whole groups of two hosts each, `a1 a2` and `b1 b2`, and the hosts in `free`, each given
/// with its fabric domain.
fn fleet(free: &[(&str, &str)]) -> FleetView {
    let mut view = FleetView::default();
    for (name, domain) in free {
        view.hosts.insert(HostName::new(name), host_view(name, domain, None));
    }
    for (id, names) in [(1, ["a1", "a2"]), (2, ["b1", "b2"])] {
        for name in names {
            view.hosts.insert(HostName::new(name), host_view(name, "rack-1", Some(id)));
        }
        let group = GroupView {
            group: GroupId(id),
            service: ServiceName::new("desk"),
            members: names.iter().map(|name| HostName::new(name)).collect(),
            whole: true,
            since: TimePoint::default(),
            stale_links: false,
        };
        view.groups.insert(GroupId(id), group);
    }
    view
}

fn at(seconds: u64) -> TimePoint {
    TimePoint::default().after(Duration::from_secs(seconds))
}

/// Marks the host as absent and its group as not whole.
fn lose(view: &mut FleetView, name: &str, now: TimePoint) {
    let host = view.hosts.get_mut(&HostName::new(name)).expect("the host is known");
    host.present = false;
    host.since = now;
    if let Some(group) = host.group.and_then(|group| view.groups.get_mut(&group)) {
        group.whole = false;
    }
}

/// A planner that has seen the complete fleet for longer than its settle time.
fn settled_planner(view: &FleetView, book: &RuleBook) -> GroupPlanner {
    let mut planner = GroupPlanner::default();
    for seconds in [1, 20, 40] {
        planner.step(at(seconds), view, book);
    }
    planner
}

fn reasons(round: &PlanRound) -> Vec<PlanReason> {
    round.decisions.iter().map(|decision| decision.reason).collect()
}

#[test]
fn new_leader_dissolves_no_group() {
    // A new leader knows the groups from the log, but no agent has connected to it yet. If missing
    // agents counted as lost, it would dissolve every healthy group within a second.
    let book = book(2, "load_ms: 1000, wait_ms: 0");
    let mut view = fleet(&[("s1", "rack-1")]);
    lose(&mut view, "a2", at(0));
    let mut planner = GroupPlanner::default();

    let round = planner.step(at(0), &view, &book);

    assert_eq!(round.actions, Vec::new());
    assert!(round.replan_at.is_some());
}

#[test]
fn serving_group_is_not_replaced() {
    // The connection between control and a member fails, while its group still reaches it.
    // Replacing the member would abort requests of a group that serves.
    let book = book(2, "load_ms: 1000, wait_ms: 1");
    let mut view = fleet(&[("s1", "rack-1")]);
    let mut planner = settled_planner(&view, &book);
    view.hosts.get_mut(&"a2".into()).expect("the host is known").present = false;

    let round = planner.step(at(300), &view, &book);

    assert_eq!(round.actions, Vec::new());
}

#[test]
fn short_absence_is_waited_out_and_long_one_is_not() {
    // Most agents return within seconds. One that does not has to be replaced eventually, or the
    // group would stay down although a spare is idle.
    let book = book(2, "load_ms: 120000");
    let mut view = fleet(&[("s1", "rack-1")]);
    let mut planner = settled_planner(&view, &book);
    lose(&mut view, "a2", at(100));

    let first = planner.step(at(100), &view, &book);
    let later = planner.step(at(191), &view, &book);

    assert_eq!(first.actions, Vec::new());
    assert_eq!(reasons(&first), [PlanReason::WaitForReturn]);
    assert_matches!(&first.decisions[0].other_cost, Some(cost) if *cost > first.decisions[0].cost);
    let members = vec!["a1".into(), "s1".into()];
    let replace = PlanAction::Replace { group: GroupId(1), service: "desk".into(), members };
    assert_eq!(later.actions, [replace]);
}

#[test]
fn changed_address_gets_new_assignment_for_same_members() {
    // An agent restarts on another port. The assignment of its group names the old one, so the
    // group could never become whole again, although all hosts are present.
    let book = book(2, "load_ms: 1000");
    let mut view = fleet(&[]);
    let mut planner = settled_planner(&view, &book);
    let group = view.groups.get_mut(&GroupId(2)).expect("the group is known");
    (group.whole, group.stale_links) = (false, true);

    let round = planner.step(at(60), &view, &book);

    let members = vec!["b1".into(), "b2".into()];
    let replace = PlanAction::Replace { group: GroupId(2), service: "desk".into(), members };
    assert_eq!(round.actions, [replace]);
    assert_eq!(reasons(&round), [PlanReason::AddressChanged]);
}

#[test]
fn reserved_spares_repair_but_add_no_group() {
    // The rules reserve one host for repairs. If a third replica used it, it would be missing at
    // the next failure.
    let book = book(3, "spares: 1, load_ms: 1000, wait_ms: 0");
    let mut view = fleet(&[("s1", "rack-1"), ("s2", "rack-1")]);
    let mut planner = settled_planner(&view, &book);

    let before_loss = planner.step(at(50), &view, &book);
    lose(&mut view, "a2", at(60));
    let repaired = planner.step(at(60), &view, &book);

    assert_eq!(before_loss.actions, Vec::new());
    assert_matches!(&repaired.actions[..], [PlanAction::Replace { group: GroupId(1), .. }]);
}

#[test]
fn zone_place_rule_applies_to_its_groups() {
    // Operators set a longer wait for one availability zone than for the others. A planner that
    // looked up rules by service alone would silently ignore such a rule.
    let text = "
services: [{ name: desk, hosts_per_replica: 2, replicas: 2 }]
rules:
  - { rule: patient, when: { zone: [ZONE] }, then: { place: { wait_ms: 600000 } } }
  - { rule: hasty, then: { place: { wait_ms: 0 } } }";
    for (zone, waits) in [("a", true), ("b", false)] {
        let text = text.replace("ZONE", zone);
        let book = RuleBook::build(RevisionNumber(1), &text).expect("the rules are valid");
        let mut view = fleet(&[("s1", "rack-1")]);
        let mut planner = settled_planner(&view, &book);
        lose(&mut view, "a2", at(100));

        let round = planner.step(at(100), &view, &book);

        assert_eq!(round.actions.is_empty(), waits);
    }
}

#[test]
fn domains_are_crossed_only_where_rules_allow() {
    // The only free host is in another fabric domain. A group across domains is slow, so it must
    // be formed only if the rules allow it and the missing host has had time to return.
    let place = "load_ms: 1000, wait_ms: 0";
    for (extra, crossing) in [("", false), (", cross_domain: true", true)] {
        let book = book(2, &format!("{place}{extra}"));
        let mut view = fleet(&[("x1", "rack-2")]);
        let mut planner = settled_planner(&view, &book);
        lose(&mut view, "a2", at(100));

        let first = planner.step(at(101), &view, &book);
        let later = planner.step(at(4000), &view, &book);

        assert_eq!(first.actions, Vec::new());
        assert_eq!(!later.actions.is_empty(), crossing);
    }
}

#[test]
fn stranded_accelerators_are_counted_by_reason() {
    let book = book(3, "load_ms: 1000");
    let mut view = fleet(&[("s1", "rack-1")]);
    lose(&mut view, "a2", at(100));
    view.groups.get_mut(&GroupId(2)).expect("the group is known").whole = false;

    let rates = FleetRates::take(&view, &book);

    let (_, account) = rates.services().next().expect("the service is declared");
    let of = |reason: StrandedReason| account.stranded[reason as usize];
    assert_eq!(account.groups_down, 3.0);
    assert_eq!(of(StrandedReason::MissingMember), 8.0);
    assert_eq!(of(StrandedReason::Loading), 16.0);
    assert_eq!(of(StrandedReason::OddHost), 8.0);
    // Four hosts are present, enough for two of the three groups.
    assert_eq!((account.bound_down, account.bound_stranded), (1.0, 0.0));
}
