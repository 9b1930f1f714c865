//! Random losses, late orders and changes of leader. `BRIARTRAY_SEEDS=2000` asks for a longer run.
//!
//! The fleet checks at every step that no host is taken into another group while its own still
//! serves, and that no group serves before each member was ready for it.

use std::time::Duration;

use rand::RngExt;

use crate::fleet::{OrderFaults, TestFleet};
use crate::models::{LARGE, SMALL};

/// Seeds of every run of CI.
const SEEDS: u64 = 12;

/// Environment variable that asks for more seeds.
const MORE_SEEDS: &str = "BRIARTRAY_SEEDS";

/// Loads that may begin in five seconds, from three a second with a tenth and three on top.
const LOAD_CEILING: usize = 19;

/// Window of the ceiling.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

#[test]
fn seeded_losses_keep_groups_apart() {
    let more = std::env::var(MORE_SEEDS).ok().and_then(|text| text.parse().ok());
    for seed in 0..more.unwrap_or(SEEDS) {
        println!("seed {seed}");
        run_seed(seed);
    }
}

/// Losses leave hosts with the weights of the large model in every domain, and nowhere enough of them
/// for a group, while groups of the small model hold the others. Callers of the large model were
/// refused for good until a small group gave its hosts up.
#[test]
fn a_model_without_any_group_is_given_hosts() {
    run_seed(90);
}

/// Groups that one event may bring about: a lost or slow host ends a group, and two more may end to
/// complete the next one; each host that is left over joins a group of its own.
const GROUPS_PER_EVENT: u64 = 12;

/// Hosts turn slow, die and come back in any order. Whatever the planner makes of it, it settles: two
/// rules of it that disagreed formed and ended the same group forty times in two seconds, and its
/// hosts served nobody.
#[test]
fn seeded_slow_hosts_bring_no_endless_changes() {
    for seed in 0..SEEDS {
        let mut fleet = TestFleet::serving(20_000 + seed);
        for event in 0..20 {
            let before = fleet.formed;
            let host = fleet.random.random_range(0..fleet.hosts.len());
            let domain = fleet.random.random_range(0..3);
            match fleet.random.random_range(0..5) {
                0 => fleet.hosts[host].alive = false,
                1 => fleet.hosts[host].model.pace = 6.0,
                2 => fleet.hosts.iter_mut().for_each(|host| host.model.pace = 1.0),
                3 => {
                    fleet.add_host(domain);
                }
                _ => fleet.hosts[host].model.leaving = true,
            }
            fleet.run_for(Duration::from_secs(3));
            let formed = fleet.formed - before;
            assert!(formed <= GROUPS_PER_EVENT, "seed {seed}, event {event}: {formed} groups");
        }
    }
}

fn run_seed(seed: u64) {
    let mut fleet = TestFleet::serving(10_000 + seed);
    let began = fleet.now;
    for _ in 0..20 {
        act(&mut fleet);
        let pause = Duration::from_millis(fleet.random.random_range(100..3_000));
        fleet.run_for(pause);
    }
    check_loads(&fleet, began);
    fleet.faults = OrderFaults::default();
    for host in &mut fleet.hosts {
        host.cut = false;
    }
    // Weights are loaded anew for what is missing; then both models are served again.
    fleet.run_for(Duration::from_secs(90));
    assert!(fleet.open_of(LARGE) >= 1, "seed {seed}: no large group");
    assert!(fleet.open_of(SMALL) >= 1, "seed {seed}: no small group");
}

fn act(fleet: &mut TestFleet) {
    let host = fleet.random.random_range(0..fleet.hosts.len());
    match fleet.random.random_range(0..10) {
        0..3 => fleet.hosts[host].alive = false,
        3 => {
            let domain = fleet.random.random_range(0..3);
            fleet.add_host(domain);
        }
        4 => fleet.hosts[host].cut = !fleet.hosts[host].cut,
        5 => fleet.hosts[host].model.leaving = true,
        6 => fleet.change_leader(),
        7 => fleet.faults.late = 40 - fleet.faults.late,
        8 => fleet.faults.lost_probes = 15 - fleet.faults.lost_probes,
        _ => {
            let large = fleet.random.random_range(0.3..4.0);
            let small = fleet.random.random_range(0.5..7.0);
            fleet.demand = (large, small);
        }
    }
}

/// The weight store's rate holds in every window, also over changes of leader.
fn check_loads(fleet: &TestFleet, began: briartray_model::TimePoint) {
    let mut loads: Vec<_> = fleet
        .hosts
        .iter()
        .flat_map(|host| host.model.loads.iter().copied())
        .filter(|at| *at >= began)
        .collect();
    loads.sort();
    for (index, first) in loads.iter().enumerate() {
        let within = loads[index..].iter().filter(|at| at.since(*first) < LOAD_WINDOW).count();
        assert!(within <= LOAD_CEILING, "{within} loads began within five seconds");
    }
}
