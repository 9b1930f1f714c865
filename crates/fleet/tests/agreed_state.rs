//! The state that control hosts agree on.

use briartray_fleet::state::{
    EndpointRecord, FleetCommand, FleetOutcome, FleetState, GroupHost, GroupRecord, StoredPlan,
};
use briartray_model::codec;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName, ZoneName};

fn declaration(version: u64, text: &str) -> FleetCommand {
    FleetCommand::PutPlan(StoredPlan { version, body: text.as_bytes().to_vec() })
}

fn group(members: &[&str], standby: bool) -> FleetCommand {
    FleetCommand::FormGroup(GroupRecord {
        service: ServiceName::new("desk"),
        model: "large".to_owned(),
        domain: DomainName::new("d"),
        zone: ZoneName::new("z"),
        members: members
            .iter()
            .map(|id| GroupHost { id: IncarnationId::new(id), address: "10.0.0.1:80".to_owned() })
            .collect(),
        standby,
    })
}

fn held(state: &FleetState) -> Option<(u64, String)> {
    state.plan().map(|plan| (plan.version, String::from_utf8_lossy(&plan.body).into_owned()))
}

/// Two operators send different texts under one number, and an older one arrives last. The first
/// text under the highest number stays in force, whatever comes again.
#[test]
fn the_highest_version_stays_in_force() {
    let mut state = FleetState::default();

    assert_eq!(state.apply(&declaration(3, "first")), FleetOutcome::PlanInForce);
    assert_eq!(state.apply(&declaration(3, "other")), FleetOutcome::PlanOvertaken);
    assert_eq!(state.apply(&declaration(2, "older")), FleetOutcome::PlanOvertaken);

    assert_eq!(held(&state), Some((3, "first".to_owned())));
}

/// A group ends and another one is formed of its hosts. Its number is higher than any before, so
/// that endpoints refuse orders for the old one which arrive late.
#[test]
fn epochs_are_never_used_again() {
    let mut state = FleetState::default();

    assert_eq!(state.apply(&group(&["a", "b"], false)), FleetOutcome::GroupFormed(GroupId(1)));
    state.apply(&FleetCommand::EndGroup(GroupId(1)));

    assert_eq!(state.apply(&group(&["a", "b"], false)), FleetOutcome::GroupFormed(GroupId(2)));
}

/// Two leaders, one of them deposed a moment ago, plan the same host into different groups. The
/// second group is not formed.
#[test]
fn a_host_is_in_one_group_only() {
    let mut state = FleetState::default();
    state.apply(&group(&["a", "b"], false));

    assert_eq!(state.apply(&group(&["b", "c"], false)), FleetOutcome::GroupRefused);
}

/// A spare keeps its model warm in a group of its own, which ends when the spare is called on.
#[test]
fn a_standby_group_gives_way() {
    let mut state = FleetState::default();
    state.apply(&group(&["s"], true));

    assert_eq!(state.apply(&group(&["a", "s"], false)), FleetOutcome::GroupFormed(GroupId(2)));

    assert_eq!(state.groups().len(), 1);
}

/// An endpoint has said that it leaves, and a leader that has not heard of it plans a group.
#[test]
fn a_leaving_host_joins_no_group() {
    let mut state = FleetState::default();
    state.apply(&FleetCommand::MarkLeaving(IncarnationId::new("a")));

    assert_eq!(state.apply(&group(&["a", "b"], false)), FleetOutcome::GroupRefused);
}

#[test]
fn a_snapshot_holds_everything() {
    let mut state = FleetState::default();
    state.apply(&declaration(3, "first"));
    state.apply(&group(&["a", "b"], false));
    state.apply(&FleetCommand::MarkLeaving(IncarnationId::new("x")));
    state.apply(&FleetCommand::Announce(EndpointRecord {
        id: IncarnationId::new("a"),
        service: ServiceName::new("desk"),
        address: "10.0.0.1:80".to_owned(),
        zone: ZoneName::new("z"),
        domain: None,
        slots: 6,
    }));

    let copy: FleetState =
        codec::decode(&codec::encode(&state).expect("the state encodes")).expect("it decodes");

    assert_eq!(copy, state);
}
