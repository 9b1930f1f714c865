//! Evacuation and readmission of availability zones.

use std::time::Duration;

use briartray_fleet::message::{FleetView, ViewVersion};
use briartray_fleet::state::FleetCommand;
use briartray_model::names::ZoneName;

use crate::fleet::TestFleet;
use crate::models::{LARGE, SMALL};

fn zone() -> ZoneName {
    ZoneName::new("zone-1")
}

fn view(fleet: &TestFleet) -> FleetView {
    fleet.director.view(fleet.now, &fleet.state, fleet.plan(), ViewVersion::default())
}

/// Number of open groups in `view` inside the zone and outside.
fn open_groups(view: &FleetView) -> (usize, usize) {
    let open = view.groups.iter().filter(|group| group.open);
    let (inside, outside): (Vec<_>, Vec<_>) = open.partition(|group| group.zone == zone());
    (inside.len(), outside.len())
}

fn evacuate(fleet: &mut TestFleet) {
    fleet.state.apply(&FleetCommand::EvacuateZone(zone()));
}

fn readmit(fleet: &mut TestFleet) {
    fleet.state.apply(&FleetCommand::ReadmitZone(zone()));
    fleet.director.readmit(fleet.now, &zone());
}

/// Guards against groups of an evacuated zone that still take requests, and against ending them
/// although they are to serve again later.
#[test]
fn groups_of_an_evacuated_zone_pause_and_resume() {
    let mut fleet = TestFleet::serving(11);
    let (inside, _) = open_groups(&view(&fleet));
    assert!(inside > 0);

    evacuate(&mut fleet);
    assert_eq!(open_groups(&view(&fleet)).0, 0);
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(open_groups(&view(&fleet)).0, 0);
    readmit(&mut fleet);

    assert_eq!(open_groups(&view(&fleet)).0, inside);
}

/// Guards against a model without any group outside the evacuated zone: the remaining hosts are
/// split anew, so that each model is served.
#[test]
fn both_models_are_served_outside_an_evacuated_zone() {
    for seed in 12..16 {
        let mut fleet = TestFleet::serving(seed);

        evacuate(&mut fleet);
        fleet.run_for(Duration::from_secs(15));

        let view = view(&fleet);
        let serves =
            |model: &str| view.groups.iter().any(|group| group.open && group.model == model);
        assert!(serves(LARGE) && serves(SMALL), "seed {seed}");
    }
}

/// Guards against orders and loads for hosts in an evacuated zone, which nobody may use.
#[test]
fn no_group_is_formed_in_an_evacuated_zone() {
    let mut fleet = TestFleet::serving(17);
    evacuate(&mut fleet);
    let dead = fleet
        .grouped()
        .into_iter()
        .find(|host| fleet.hosts[*host].model.place.zone == zone())
        .expect("a group serves in the zone");
    let before: Vec<_> = groups_in_zone(&fleet);

    fleet.hosts[dead].alive = false;
    fleet.run_for(Duration::from_secs(15));

    let after = groups_in_zone(&fleet);
    assert!(after.iter().all(|group| before.contains(group)), "{before:?}, {after:?}");
}

fn groups_in_zone(fleet: &TestFleet) -> Vec<u64> {
    let inside = fleet.state.groups().iter().filter(|(_, record)| record.zone == zone());
    inside.map(|(group, _)| group.0).collect()
}

/// Guards against a new leader that sends requests to an evacuated zone.
#[test]
fn a_new_leader_keeps_a_zone_evacuated() {
    let mut fleet = TestFleet::serving(18);
    evacuate(&mut fleet);

    fleet.change_leader();
    for _ in 0..100 {
        fleet.step();
        assert_eq!(open_groups(&view(&fleet)).0, 0);
    }

    assert!(open_groups(&view(&fleet)).1 > 0);
}

/// Guards against full load on a zone that became cold just before its readmission, which its
/// endpoints report only later.
#[test]
fn endpoints_of_a_readmitted_zone_count_as_cold_for_a_while() {
    let mut fleet = TestFleet::serving(19);
    fleet.set_cold_terms(32.0, Duration::from_secs(3));
    evacuate(&mut fleet);
    fleet.run_for(Duration::from_secs(5));

    readmit(&mut fleet);

    let cold = |fleet: &TestFleet| {
        let inside = view(fleet).groups.into_iter().filter(|group| group.zone == zone());
        inside.map(|group| group.cold.is_some()).collect::<Vec<_>>()
    };
    assert!(cold(&fleet).iter().all(|cold| *cold));
    fleet.run_for(Duration::from_secs(4));
    assert!(cold(&fleet).iter().all(|cold| !cold));
}
