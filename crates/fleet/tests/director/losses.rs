//! Single losses and the time until the group serves again.

use std::time::Duration;

use briartray_fleet::director::{CloseMethod, EndpointOrder};

use crate::fleet::{OrderFaults, TestFleet};
use crate::models::{LARGE, SMALL};

/// Longest time until a group serves again if a warm spare is available: silence, one probe, close
/// and leave, join, open.
pub const REPAIR_LIMIT: Duration = Duration::from_millis(1_600);

/// A serving host of `model`: the head of its group, or another member.
pub fn member_of(fleet: &TestFleet, model: &str, head: bool) -> usize {
    let group = fleet
        .open_groups()
        .into_iter()
        .filter_map(|group| fleet.state.groups().get(&group))
        .find(|record| record.model == model)
        .expect("a group of the model serves");
    let id = if head { &group.members[0].id } else { &group.members[1].id };
    fleet.hosts.iter().position(|host| host.model.place.id == *id).expect("a member is a host")
}

/// Guards against a first start without groups of both models: thirty hosts start together before
/// callers come, and each domain keeps a spare for its large group.
#[test]
fn a_first_start_forms_groups_of_both_models() {
    let mut fleet = TestFleet::new(1);

    fleet.run_for(Duration::from_secs(40));

    assert_eq!(fleet.open_groups_of(LARGE), 3);
    assert_eq!(fleet.open_groups_of(SMALL), 6);
}

/// Guards against a lost member without a replacement: callers get late answers until a warm spare
/// takes its place.
#[test]
fn a_dead_member_is_replaced_by_a_warm_spare() {
    let mut fleet = TestFleet::serving(2);
    let before = fleet.open_groups_of(LARGE);
    let dead = member_of(&fleet, LARGE, false);

    fleet.hosts[dead].alive = false;

    let took = fleet.run_until(REPAIR_LIMIT, "repair of the group", |fleet| {
        fleet.open_groups_of(LARGE) == before
    });
    assert!(took > Duration::ZERO);
}

/// Guards against members that stay in the group of a dead head: the head takes requests and
/// orders, and the members do not notice its loss. They are ordered to leave and form another group
/// with a spare.
#[test]
fn a_dead_head_frees_its_members() {
    let mut fleet = TestFleet::serving(3);
    let before = fleet.open_groups_of(LARGE);
    let dead = member_of(&fleet, LARGE, true);

    fleet.hosts[dead].alive = false;

    fleet.run_until(REPAIR_LIMIT, "replacement group", |fleet| {
        fleet.open_groups_of(LARGE) == before
    });
}

/// Guards against ending a group whose head only the control hosts cannot reach: callers are still
/// served, and its members would be in two groups at once.
#[test]
fn an_isolated_group_that_serves_callers_is_kept() {
    let mut fleet = TestFleet::serving(4);
    let head = member_of(&fleet, SMALL, true);
    let groups = fleet.open_groups();

    fleet.hosts[head].isolated = true;
    fleet.run_for(Duration::from_secs(8));

    assert_eq!(fleet.open_groups(), groups);
}

/// Guards against ending groups because of lost probes: one probe in five gets no answer for ten
/// seconds, while all groups work.
#[test]
fn lost_probes_end_no_group() {
    let mut fleet = TestFleet::serving(5);
    let groups = fleet.open_groups();
    fleet.faults = OrderFaults { delayed_percent: 0, lost_probe_percent: 20 };

    fleet.run_for(Duration::from_secs(10));

    assert_eq!(fleet.open_groups(), groups);
}

/// Guards against a leaving member that cuts requests off or stays in use: its group takes no new
/// requests, completes the running ones, and another group serves without that host.
#[test]
fn a_leaving_member_drains_its_group() {
    let mut fleet = TestFleet::serving(6);
    let before = fleet.open_groups_of(LARGE);
    let leaving = member_of(&fleet, LARGE, false);

    fleet.hosts[leaving].model.leaving = true;
    fleet.run_for(Duration::from_secs(6));

    assert_eq!(fleet.open_groups_of(LARGE), before);
    assert!(!fleet.grouped().contains(&leaving));
}

/// Guards against taking the members from a head that the control hosts cannot reach while its group
/// ends as planned: its running answers were cut off, though entries still got bytes of them.
#[test]
fn an_isolated_head_completes_answers_when_its_group_ends() {
    let mut fleet = TestFleet::serving(14);
    let head = member_of(&fleet, LARGE, true);
    let leaving = member_of(&fleet, LARGE, false);
    let groups = fleet.open_groups();
    fleet.hosts[head].isolated = true;
    fleet.run_for(Duration::from_secs(3));

    fleet.hosts[leaving].model.leaving = true;
    fleet.run_for(Duration::from_secs(4));
    let during = fleet.open_groups();
    fleet.hosts[leaving].alive = false;
    fleet.run_for(Duration::from_secs(4));

    assert_eq!(during, groups);
    assert!(!fleet.grouped().contains(&leaving));
    assert_eq!(fleet.open_groups_of(LARGE), 3);
}

/// Guards against cutting off the answers of a group that ends as planned because the control hosts
/// cannot reach one of its members: its head still completes them.
#[test]
fn a_group_with_an_isolated_member_completes_answers_when_it_ends() {
    let mut fleet = TestFleet::serving(15);
    let head = member_of(&fleet, LARGE, true);
    let [isolated, leaving] = [1, 2].map(|index| {
        let members = &fleet.hosts[head].model.member.as_ref().expect("it is a head").members;
        let id = &members[index];
        fleet.hosts.iter().position(|host| host.model.place.id == *id).expect("a host")
    });
    fleet.hosts[isolated].isolated = true;
    fleet.run_for(Duration::from_secs(3));
    fleet.ordered.clear();

    fleet.hosts[leaving].model.leaving = true;
    fleet.run_for(Duration::from_secs(6));

    let closed = |method: CloseMethod| {
        let id = &fleet.hosts[head].model.place.id;
        let closes = |order: &EndpointOrder| matches!(order, EndpointOrder::Close { method: used, .. } if *used == method);
        fleet.ordered.iter().any(|call| call.id == *id && closes(&call.order))
    };
    assert!(closed(CloseMethod::Wait) && !closed(CloseMethod::Truncate));
    assert!(!fleet.grouped().contains(&leaving));
}

/// Guards against a repair that ends with its leader: the next leader knows the endpoints from the
/// log, probes them at once and completes the repair.
#[test]
fn the_next_leader_finishes_a_repair() {
    let mut fleet = TestFleet::serving(7);
    let before = fleet.open_groups_of(LARGE);
    let dead = member_of(&fleet, LARGE, false);
    fleet.hosts[dead].alive = false;
    fleet.run_for(Duration::from_millis(500));

    fleet.change_leader();

    fleet.run_until(Duration::from_secs(4), "repair by the next leader", |fleet| {
        fleet.open_groups_of(LARGE) == before
    });
}

/// Guards against a model without groups after a whole fabric domain loses power, and against
/// leaving its hosts unused when they are back.
#[test]
fn a_failed_domain_leaves_both_models_served() {
    let mut fleet = TestFleet::serving(8);
    let domain = |host: &crate::fleet::TestHost| host.model.place.domain.as_str() == "domain-0";

    for host in fleet.hosts.iter_mut().filter(|host| domain(host)) {
        host.alive = false;
    }
    fleet.run_for(Duration::from_secs(4));
    assert!(fleet.open_groups_of(LARGE) >= 2);
    assert!(fleet.open_groups_of(SMALL) >= 4);

    for _ in 0..crate::fleet::HOSTS_PER_DOMAIN {
        fleet.add_host(0);
    }
    fleet.run_for(Duration::from_secs(60));
    assert!(fleet.open_groups_of(LARGE) >= 3);
}

/// Guards against waiting for a load after a second loss in one domain, for which there is no
/// spare. Callers of the large model were refused for the 16 s in which an empty host loaded the
/// weights, with three hosts of the group idle; now a host of a small group takes the place.
#[test]
fn a_second_loss_takes_a_host_from_another_model() {
    let mut fleet = TestFleet::serving(9);
    fleet.demand = (2.6, 4.0);
    fleet.run_for(Duration::from_secs(4));
    let domain = |fleet: &TestFleet, host: usize| fleet.hosts[host].model.place.domain.clone();
    let first = member_of(&fleet, LARGE, false);
    let place = domain(&fleet, first);
    for _ in 0..3 {
        let large = |fleet: &TestFleet| {
            let grouped = fleet.grouped().into_iter();
            grouped.filter(|host| domain(fleet, *host) == place).find(|host| {
                let member = fleet.hosts[*host].model.member.as_ref();
                member.is_some_and(|member| member.model == LARGE)
            })
        };
        let dead = large(&fleet).expect("the domain has a large group");

        fleet.hosts[dead].alive = false;

        fleet.run_until(REBALANCE_LIMIT, "replacement large group", |fleet| large(fleet).is_some());
    }
}

/// Longest time until a group serves again with a host of another model's group: that group
/// completes its requests, then the host joins and warms up.
const REBALANCE_LIMIT: Duration = Duration::from_millis(7_000);

/// Guards against late heartbeats of earlier incarnations after a domain lost power and came back
/// at the same addresses. They were taken for newer endpoints, groups that had just formed were
/// ended, and callers got cut streams for seconds.
#[test]
fn late_heartbeats_of_earlier_incarnations_change_nothing() {
    let undisturbed = groups_after_a_power_loss(false);

    let disturbed = groups_after_a_power_loss(true);

    assert_eq!(disturbed.len(), undisturbed.len());
}

/// Guards against late heartbeats from a domain that is still without power: groups were formed of
/// endpoints that no longer existed, and spares were taken into them.
#[test]
fn late_heartbeats_of_dead_endpoints_form_no_group() {
    let mut fleet = TestFleet::serving(13);
    let old = hosts_of_the_first_domain(&fleet);
    for host in &old {
        fleet.hosts[*host].alive = false;
    }
    fleet.run_for(Duration::from_secs(4));
    let known = fleet.state.clone();

    for host in &old {
        fleet.deliver_old_heartbeat(*host);
        fleet.run_for(Duration::from_millis(40));
    }

    let new = fleet.state.groups().keys().filter(|group| !known.groups().contains_key(group));
    assert_eq!(new.count(), 0);
}

fn hosts_of_the_first_domain(fleet: &TestFleet) -> Vec<usize> {
    let first = |host: &crate::fleet::TestHost| host.model.place.domain.as_str() == "domain-0";
    (0..fleet.hosts.len()).filter(|host| first(&fleet.hosts[*host])).collect()
}

/// Groups that serve some seconds after a domain has come back; panics if one that opened in the
/// meantime has ended.
fn groups_after_a_power_loss(late_heartbeats: bool) -> Vec<briartray_model::names::GroupId> {
    let mut fleet = TestFleet::serving(10);
    let old = hosts_of_the_first_domain(&fleet);
    for host in &old {
        fleet.hosts[*host].alive = false;
    }
    fleet.run_for(Duration::from_secs(4));
    for host in &old {
        fleet.restart_host(*host);
    }
    fleet.change_leader();
    let before = fleet.open_groups();
    let mut seen = Vec::new();
    for host in old.iter().cycle().take(3 * old.len()) {
        if late_heartbeats {
            fleet.deliver_old_heartbeat(*host);
        }
        fleet.run_for(Duration::from_millis(140));
        seen.extend(fleet.open_groups().into_iter().filter(|group| !before.contains(group)));
    }
    let groups = fleet.open_groups();
    let ended = seen.iter().find(|group| !groups.contains(group));
    assert_eq!(ended, None, "a group that had opened was ended");
    groups
}

/// Guards against a slow member: a host that runs eight times slower, as when it overheats, delays
/// every event of its group without any failure. A spare takes its place, and the host serves again
/// only once it is fast.
#[test]
fn a_slow_member_is_replaced_by_a_spare() {
    let mut fleet = TestFleet::serving(11);
    let before = fleet.open_groups_of(LARGE);
    let slow = member_of(&fleet, LARGE, false);
    let domain = fleet.hosts[slow].model.place.domain.clone();

    fleet.hosts[slow].model.pace = 8.0;
    fleet.run_until(Duration::from_secs(6), "a group without the slow host", |fleet| {
        fleet.open_groups_of(LARGE) == before && !fleet.grouped().contains(&slow)
    });

    fleet.run_for(Duration::from_secs(10));
    assert!(!fleet.grouped().contains(&slow));
    fleet.hosts[slow].model.pace = 1.0;
    for _ in 0..3 {
        let serves = |fleet: &TestFleet, host: &usize| {
            let in_domain = fleet.hosts[*host].model.place.domain == domain;
            in_domain && *host != slow
        };
        let next = fleet.grouped().into_iter().find(|host| serves(&fleet, host));
        fleet.hosts[next.expect("a group of the domain serves")].alive = false;
        fleet.run_for(Duration::from_secs(8));
    }
    assert!(fleet.grouped().contains(&slow));
}

/// Guards against ending slow groups without a replacement: when all hosts are slow, a late answer
/// is better than none.
#[test]
fn slow_groups_without_replacements_are_kept() {
    let mut fleet = TestFleet::serving(12);
    let groups = fleet.open_groups();

    for host in &mut fleet.hosts {
        host.model.pace = 3.0;
    }
    fleet.run_for(Duration::from_secs(10));

    assert_eq!(fleet.open_groups(), groups);
}

/// Guards against a member that crashes and restarts under the same name without its group: no
/// probe fails, but the group stalls and its callers wait. A late heartbeat of the earlier
/// incarnation changes nothing.
#[test]
fn a_member_restarted_with_the_same_name_is_replaced() {
    let mut fleet = TestFleet::serving(21);
    let before = fleet.open_groups_of(LARGE);
    let host = member_of(&fleet, LARGE, false);

    fleet.restart_with_same_name(host);
    fleet.run_for(Duration::from_millis(50));
    let broken = fleet.open_groups_of(LARGE);
    fleet.run_until(REPAIR_LIMIT, "repair of the group", |fleet| {
        fleet.open_groups_of(LARGE) == before
    });
    let groups = fleet.open_groups();
    fleet.deliver_old_heartbeat(host);
    fleet.run_for(Duration::from_secs(5));

    assert_eq!(broken, before - 1);
    assert_eq!(fleet.open_groups(), groups);
}

/// Guards against a host that stays unused after it announced that it leaves, stopped, and
/// restarted under the same name: it was treated as still leaving.
#[test]
fn a_host_that_left_is_used_again_after_a_restart() {
    let mut fleet = TestFleet::serving(22);
    let host = member_of(&fleet, LARGE, false);
    fleet.hosts[host].model.leaving = true;
    fleet.run_for(Duration::from_secs(3));

    let next = fleet.restart_with_same_name(host);
    // All but three other hosts of the domain die, and the demand needs every host that is left.
    fleet.demand = (6.0, 12.0);
    let domain = fleet.hosts[host].model.place.domain.clone();
    let others: Vec<usize> = (0..fleet.hosts.len())
        .filter(|other| fleet.hosts[*other].model.place.domain == domain)
        .filter(|other| fleet.hosts[*other].alive && *other != next)
        .collect();
    for other in &others[3..] {
        fleet.hosts[*other].alive = false;
    }
    fleet.run_for(Duration::from_secs(40));

    assert!(fleet.grouped().contains(&next));
}
