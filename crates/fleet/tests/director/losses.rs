//! Single losses, each with the time until the group serves again.

use std::time::Duration;

use crate::fleet::{OrderFaults, TestFleet};
use crate::models::{LARGE, SMALL};

/// Longest time until a group serves again when a warm spare stands by: silence, one probe, close
/// and leave, join, open.
const MENDED: Duration = Duration::from_millis(1_600);

/// A host of `model` that serves; the head of its group, or another member.
fn member_of(fleet: &TestFleet, model: &str, head: bool) -> usize {
    let group = fleet
        .open_groups()
        .into_iter()
        .filter_map(|group| fleet.state.groups().get(&group))
        .find(|record| record.model == model)
        .expect("a group of the model serves");
    let id = if head { &group.members[0].id } else { &group.members[1].id };
    fleet.hosts.iter().position(|host| host.model.place.id == *id).expect("a member is a host")
}

/// Thirty hosts are started together, before any caller asks for anything. Ten seconds later both
/// models are served, and each domain holds a spare for its large group.
#[test]
fn a_first_start_forms_groups_of_both_models() {
    let mut fleet = TestFleet::new(1);

    fleet.run_for(Duration::from_secs(40));

    assert_eq!(fleet.open_of(LARGE), 3);
    assert_eq!(fleet.open_of(SMALL), 6);
}

/// A host of a large group dies. Callers of that model see late answers until a spare, which
/// was kept warm, takes its place.
#[test]
fn a_dead_member_is_replaced_by_a_warm_spare() {
    let mut fleet = TestFleet::serving(2);
    let before = fleet.open_of(LARGE);
    let dead = member_of(&fleet, LARGE, false);

    fleet.hosts[dead].alive = false;

    let took =
        fleet.run_until(MENDED, "the group is mended", |fleet| fleet.open_of(LARGE) == before);
    assert!(took > Duration::ZERO);
}

/// The first host of a group dies, which is the one that takes requests and orders. Its members
/// know nothing of it; they are told to leave and form another group with a spare.
#[test]
fn a_dead_head_frees_its_members() {
    let mut fleet = TestFleet::serving(3);
    let before = fleet.open_of(LARGE);
    let dead = member_of(&fleet, LARGE, true);

    fleet.hosts[dead].alive = false;

    fleet.run_until(MENDED, "another group in its place", |fleet| fleet.open_of(LARGE) == before);
}

/// The control hosts lose sight of a group's first host, while callers are still served by it. The
/// group is left alone: taken apart it would have been in two groups at once.
#[test]
fn a_group_that_callers_reach_is_left_alone() {
    let mut fleet = TestFleet::serving(4);
    let head = member_of(&fleet, SMALL, true);
    let groups = fleet.open_groups();

    fleet.hosts[head].cut = true;
    fleet.run_for(Duration::from_secs(8));

    assert_eq!(fleet.open_groups(), groups);
}

/// A link loses packets, and one probe in five gets no answer for ten seconds. The groups work all
/// the while, and none of them is taken apart.
#[test]
fn lost_probes_alone_break_nothing() {
    let mut fleet = TestFleet::serving(5);
    let groups = fleet.open_groups();
    fleet.faults = OrderFaults { late: 0, lost_probes: 20 };

    fleet.run_for(Duration::from_secs(10));

    assert_eq!(fleet.open_groups(), groups);
}

/// A host announces that it will leave. Its group takes no new work at once, ends what runs, and
/// another group serves in its place without it.
#[test]
fn a_leaving_member_ends_its_group_in_peace() {
    let mut fleet = TestFleet::serving(6);
    let before = fleet.open_of(LARGE);
    let leaving = member_of(&fleet, LARGE, false);

    fleet.hosts[leaving].model.leaving = true;
    fleet.run_for(Duration::from_secs(6));

    assert_eq!(fleet.open_of(LARGE), before);
    assert!(!fleet.grouped().contains(&leaving));
}

/// The leading control host dies in the middle of a repair. The next one knows the endpoints from
/// the log, asks them at once, and finishes what was begun.
#[test]
fn the_next_leader_finishes_a_repair() {
    let mut fleet = TestFleet::serving(7);
    let before = fleet.open_of(LARGE);
    let dead = member_of(&fleet, LARGE, false);
    fleet.hosts[dead].alive = false;
    fleet.run_for(Duration::from_millis(500));

    fleet.change_leader();

    fleet.run_until(Duration::from_secs(4), "the repair", |fleet| fleet.open_of(LARGE) == before);
}

/// A whole fabric domain loses power. What is left serves both models, and when the domain is back
/// its hosts are used again.
#[test]
fn a_dark_domain_leaves_both_models_served() {
    let mut fleet = TestFleet::serving(8);
    let domain = |host: &crate::fleet::TestHost| host.model.place.domain.as_str() == "domain-0";

    for host in fleet.hosts.iter_mut().filter(|host| domain(host)) {
        host.alive = false;
    }
    fleet.run_for(Duration::from_secs(4));
    assert!(fleet.open_of(LARGE) >= 2);
    assert!(fleet.open_of(SMALL) >= 4);

    for _ in 0..crate::fleet::DOMAIN {
        fleet.add_host(0);
    }
    fleet.run_for(Duration::from_secs(60));
    assert!(fleet.open_of(LARGE) >= 3);
}

/// Two hosts of the large group in one domain die a few seconds apart, and the domain has a spare for
/// the first of them only. Callers of the large model were refused for the 16 s in which an empty
/// host loaded its weights, three whole hosts idling meanwhile; a host of a small group takes the
/// place now.
#[test]
fn a_second_loss_is_made_up_for_by_a_host_of_another_model() {
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

        fleet.run_until(RECLAIMED, "a large group in its place", |fleet| large(fleet).is_some());
    }
}

/// Longest time until a group serves again with a host of a group that serves another model: that
/// one ends what runs, then its host joins and warms up.
const RECLAIMED: Duration = Duration::from_millis(7_000);

/// A fabric domain loses power and comes back: each endpoint is another incarnation at its old
/// address. Beats that the earlier incarnations had sent arrive now, delayed on the way. They were
/// taken for newer endpoints, the groups that had just been formed were taken apart, and callers got
/// cut streams for seconds.
#[test]
fn late_beats_of_earlier_incarnations_change_nothing() {
    let undisturbed = groups_after_a_power_loss(false);

    let disturbed = groups_after_a_power_loss(true);

    assert_eq!(disturbed.len(), undisturbed.len());
}

/// A domain has lost power and is still dark when beats arrive that its endpoints had sent before.
/// Groups were formed of endpoints that no longer exist, and spares were taken into them.
#[test]
fn beats_of_the_dead_bring_nobody_back() {
    let mut fleet = TestFleet::serving(13);
    let old = hosts_of_the_first_domain(&fleet);
    for host in &old {
        fleet.hosts[*host].alive = false;
    }
    fleet.run_for(Duration::from_secs(4));
    let known = fleet.state.clone();

    for host in &old {
        fleet.deliver_old_beat(*host);
        fleet.run_for(Duration::from_millis(40));
    }

    let new = fleet.state.groups().keys().filter(|group| !known.groups().contains_key(group));
    assert_eq!(new.count(), 0);
}

fn hosts_of_the_first_domain(fleet: &TestFleet) -> Vec<usize> {
    let first = |host: &crate::fleet::TestHost| host.model.place.domain.as_str() == "domain-0";
    (0..fleet.hosts.len()).filter(|host| first(&fleet.hosts[*host])).collect()
}

/// Groups that serve some seconds after a domain has come back; none that has opened meanwhile may
/// have ended.
fn groups_after_a_power_loss(late_beats: bool) -> Vec<briartray_model::names::GroupId> {
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
        if late_beats {
            fleet.deliver_old_beat(*host);
        }
        fleet.run_for(Duration::from_millis(140));
        seen.extend(fleet.open_groups().into_iter().filter(|group| !before.contains(group)));
    }
    let groups = fleet.open_groups();
    let ended = seen.iter().find(|group| !groups.contains(group));
    assert_eq!(ended, None, "a group that had opened was taken apart");
    groups
}

/// A host of a large group turns eight times slower, as one that overheats does, and its group runs
/// at its pace: nothing fails, and callers of that group get every event late. A spare takes the
/// place, and the slow host serves again only when it is as quick as before.
#[test]
fn a_slow_member_is_replaced_while_a_spare_stands_by() {
    let mut fleet = TestFleet::serving(11);
    let before = fleet.open_of(LARGE);
    let slow = member_of(&fleet, LARGE, false);
    let domain = fleet.hosts[slow].model.place.domain.clone();

    fleet.hosts[slow].model.pace = 8.0;
    fleet.run_until(Duration::from_secs(6), "a group without the slow host", |fleet| {
        fleet.open_of(LARGE) == before && !fleet.grouped().contains(&slow)
    });

    fleet.run_for(Duration::from_secs(10));
    assert!(!fleet.grouped().contains(&slow));
    fleet.hosts[slow].model.pace = 1.0;
    for _ in 0..3 {
        let serves = |fleet: &TestFleet, host: &usize| {
            let there = fleet.hosts[*host].model.place.domain == domain;
            there && *host != slow
        };
        let next = fleet.grouped().into_iter().find(|host| serves(&fleet, host));
        fleet.hosts[next.expect("a group of the domain serves")].alive = false;
        fleet.run_for(Duration::from_secs(8));
    }
    assert!(fleet.grouped().contains(&slow));
}

/// All hosts of a domain turn slow together. There is nothing to replace them with there, and a group
/// that answers late is better than none.
#[test]
fn slow_groups_serve_on_where_nothing_replaces_them() {
    let mut fleet = TestFleet::serving(12);
    let groups = fleet.open_groups();

    for host in &mut fleet.hosts {
        host.model.pace = 3.0;
    }
    fleet.run_for(Duration::from_secs(10));

    assert_eq!(fleet.open_groups(), groups);
}

/// A host of a large group crashes and is back a moment later under its old name, without its group.
/// No probe ever fails, its group stands still all the same, and callers would wait until the stall
/// is over. A beat of its earlier start that arrives afterwards changes nothing.
#[test]
fn a_member_that_starts_again_under_its_name_is_replaced() {
    let mut fleet = TestFleet::serving(21);
    let before = fleet.open_of(LARGE);
    let host = member_of(&fleet, LARGE, false);

    fleet.restart_under_its_name(host);
    fleet.run_for(Duration::from_millis(50));
    let broken = fleet.open_of(LARGE);
    fleet.run_until(MENDED, "the group is mended", |fleet| fleet.open_of(LARGE) == before);
    let groups = fleet.open_groups();
    fleet.deliver_old_beat(host);
    fleet.run_for(Duration::from_secs(5));

    assert_eq!(broken, before - 1);
    assert_eq!(fleet.open_groups(), groups);
}

/// A host announces that it leaves, ends, and starts again under its old name. It was left out for
/// good, as though it were still leaving.
#[test]
fn a_host_that_left_is_used_again_after_its_next_start() {
    let mut fleet = TestFleet::serving(22);
    let host = member_of(&fleet, LARGE, false);
    fleet.hosts[host].model.leaving = true;
    fleet.run_for(Duration::from_secs(3));

    let next = fleet.restart_under_its_name(host);
    // The rest of its domain dies but for three, and callers ask for all that is left.
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
