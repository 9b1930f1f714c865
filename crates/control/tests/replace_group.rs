//! Replacing a group in one step.

use std::net::{Ipv4Addr, SocketAddr};

use assert_matches::assert_matches;
use briartray_control::state::{CommandOutcome, ControlCommand, ControlState, GroupProposal};
use briartray_model::message::GroupMember;
use briartray_model::names::GroupId;

fn proposal(hosts: &[&str]) -> GroupProposal {
    let link = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    GroupProposal {
        service: "desk".into(),
        zone: "a".into(),
        domain: "rack-1".into(),
        provider: "one".into(),
        members: hosts.iter().map(|host| GroupMember { host: (*host).into(), link }).collect(),
        capacity: 1,
    }
}

fn form(state: &mut ControlState, hosts: &[&str]) -> GroupId {
    match state.apply(&ControlCommand::FormGroup(proposal(hosts))) {
        CommandOutcome::GroupFormed { group, .. } => group,
        other => panic!("not formed: {other:?}"),
    }
}

#[test]
fn successor_keeps_members_under_new_number() {
    let mut state = ControlState::default();
    let old = form(&mut state, &["h1", "h2"]);
    let before = state.groups.binding(&"h1".into()).fencing;

    let proposal = proposal(&["h1", "h3"]);
    let outcome = state.apply(&ControlCommand::ReplaceGroup { group: old, proposal });

    let (group, fencing) = assert_matches!(
        outcome,
        CommandOutcome::GroupFormed { group, fencing } => (group, fencing)
    );
    assert!(group > old && fencing > before);
    assert_eq!(state.groups.binding(&"h1".into()).group, Some(group));
    // The member that was dropped must refuse orders of its old group when it comes back.
    let dropped = state.groups.binding(&"h2".into());
    assert_eq!(dropped.group, None);
    assert!(dropped.fencing > before);
}

#[test]
fn replacement_with_taken_host_changes_nothing() {
    // Two plans race for the same spare. The second must leave its group as it was rather than
    // end it and then fail to form the successor.
    let mut state = ControlState::default();
    let one = form(&mut state, &["h1", "h2"]);
    let two = form(&mut state, &["h3", "h4"]);
    let before = state.clone();

    let proposal = proposal(&["h1", "h3"]);
    let outcome = state.apply(&ControlCommand::ReplaceGroup { group: one, proposal });

    assert_matches!(outcome, CommandOutcome::HostTaken { group, .. } if group == two);
    assert_eq!(state, before);
}

#[test]
fn replacement_of_gone_group_changes_nothing() {
    // A planner acts on a view that is older than the log: its group has ended meanwhile.
    let mut state = ControlState::default();
    let group = form(&mut state, &["h1", "h2"]);
    state.apply(&ControlCommand::DissolveGroup { group });
    let before = state.clone();

    let proposal = proposal(&["h1", "h2"]);
    let outcome = state.apply(&ControlCommand::ReplaceGroup { group, proposal });

    assert_matches!(outcome, CommandOutcome::GroupUnknown { .. });
    assert_eq!(state, before);
}
