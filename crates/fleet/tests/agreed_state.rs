//! The state that control hosts replicate, and its encoding.

use assert_matches::assert_matches;
use briartray_fleet::state::{
    EndpointRecord, FleetCommand, FleetOutcome, FleetState, GroupHost, GroupRecord, STATE_FORMAT,
    StateError, StoredPlan, UnpackError, decode_state, encode_state,
};
use briartray_model::codec;
use briartray_model::names::{
    DomainName, GroupId, IncarnationId, PartId, RequestFingerprint, ServiceName, ZoneName,
};
use briartray_quarantine::{PartRecord, QuarantineRecord};
use rand::{RngExt, SeedableRng};

fn put_plan(version: u64, text: &str) -> FleetCommand {
    FleetCommand::PutPlan(StoredPlan::pack(version, text.as_bytes()))
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

fn plan_in_force(state: &FleetState) -> Option<(u64, String)> {
    let text = |plan: &StoredPlan| plan.text().expect("the text was packed here");
    let read = |plan| String::from_utf8(text(plan)).expect("the text is UTF-8");
    state.plan().map(|plan| (plan.version, read(plan)))
}

/// Operators send two different plans with the same version, and an older one arrives last. The
/// first plan with the highest version must stay in force.
#[test]
fn the_highest_version_stays_in_force() {
    let mut state = FleetState::default();

    assert_eq!(state.apply(&put_plan(3, "first")), FleetOutcome::PlanInForce);
    assert_eq!(state.apply(&put_plan(3, "other")), FleetOutcome::PlanOutdated);
    assert_eq!(state.apply(&put_plan(2, "older")), FleetOutcome::PlanOutdated);

    assert_eq!(plan_in_force(&state), Some((3, "first".to_owned())));
}

/// A group ends and another one is formed of its hosts. Its epoch must be higher than any before,
/// so that endpoints reject orders for the old group that arrive late.
#[test]
fn epochs_are_never_reused() {
    let mut state = FleetState::default();

    assert_eq!(state.apply(&group(&["a", "b"], false)), FleetOutcome::GroupFormed(GroupId(1)));
    state.apply(&FleetCommand::EndGroup(GroupId(1)));

    assert_eq!(state.apply(&group(&["a", "b"], false)), FleetOutcome::GroupFormed(GroupId(2)));
}

/// Two leaders, one of them just deposed, assign the same host to different groups. The second
/// group must not be formed.
#[test]
fn a_host_is_in_one_group_only() {
    let mut state = FleetState::default();
    state.apply(&group(&["a", "b"], false));

    assert_eq!(state.apply(&group(&["b", "c"], false)), FleetOutcome::GroupRejected);
}

/// A spare host keeps its model warm in a standby group, which must end when the host joins a
/// serving group.
#[test]
fn a_standby_group_ends_when_its_host_joins_another() {
    let mut state = FleetState::default();
    state.apply(&group(&["s"], true));

    assert_eq!(state.apply(&group(&["a", "s"], false)), FleetOutcome::GroupFormed(GroupId(2)));

    assert_eq!(state.groups().len(), 1);
}

/// An endpoint has announced that it leaves, and a leader that does not know of it yet plans a
/// group with it.
#[test]
fn a_leaving_host_joins_no_group() {
    let mut state = FleetState::default();
    state.apply(&FleetCommand::MarkLeaving(IncarnationId::new("a")));

    assert_eq!(state.apply(&group(&["a", "b"], false)), FleetOutcome::GroupRejected);
}

#[test]
fn a_snapshot_contains_the_whole_state() {
    let mut state = FleetState::default();
    state.apply(&put_plan(3, "first"));
    state.apply(&group(&["a", "b"], false));
    state.apply(&FleetCommand::MarkLeaving(IncarnationId::new("x")));
    state.apply(&FleetCommand::Announce(vec![EndpointRecord {
        id: IncarnationId::new("a"),
        service: ServiceName::new("desk"),
        address: "10.0.0.1:80".to_owned(),
        zone: ZoneName::new("z"),
        domain: None,
        slots: 6,
    }]));

    let copy: FleetState =
        codec::decode(&codec::encode(&state).expect("the state encodes")).expect("it decodes");

    assert_eq!(copy, state);
}

/// An operator declares 1,700 routes and changes one of them every third of a second. Without
/// compression each change occupied the link of the leader for a second, its heartbeats arrived
/// late, and another host took over. Compressed, the routes must take at most a sixth of their
/// size.
#[test]
fn large_plans_are_compressed_and_unpack_unchanged() {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut word = || -> u64 { random.random_range(0..u64::from(u32::MAX)) };
    let route = |_| {
        format!(
            r#"{{"name":"r-{:x}","host":"h{:x}.example","path_prefix":"/p{:x}/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":2,"public":false,"resumable":true}}"#,
            word(),
            word(),
            word()
        )
    };
    let routes: Vec<String> = (0..1_700).map(route).collect();
    let text = format!(r#"{{"version":7,"routes":[{}]}}"#, routes.join(","));

    let plan = StoredPlan::pack(7, text.as_bytes());

    assert!(plan.packed_len() * 6 <= text.len(), "{} of {}", plan.packed_len(), text.len());
    assert_eq!(plan.text().expect("it unpacks"), text.as_bytes());
}

/// A stored plan was damaged. The damage must be reported with a remedy, and no text returned.
#[test]
fn damaged_plans_are_reported() {
    let plan = StoredPlan::pack(7, &[b'x'; 4_000]);
    let mut bytes = codec::encode(&plan).expect("a plan encodes");
    let last = bytes.len() - 2;
    bytes.truncate(last);
    bytes.extend([0xff, 0xff]);

    let damaged: StoredPlan = codec::decode(&bytes).expect("the frame is complete");

    assert_matches!(damaged.text(), Err(UnpackError::Damaged { .. }));
}

/// Guards against losing the quarantine when the whole deployment restarts: snapshots must contain
/// it.
#[test]
fn a_snapshot_carries_the_quarantine() {
    let record = QuarantineRecord {
        print: RequestFingerprint(7),
        rule: "draft".to_owned(),
        team: None,
        endpoints: vec![IncarnationId::new("i-1")],
    };
    let mut state = FleetState::default();
    state.apply(&FleetCommand::Quarantine(record));

    let bytes = codec::encode(&state).expect("the state encodes");
    let mut restored: FleetState = codec::decode(&bytes).expect("it decodes");

    assert!(restored.quarantine().holds(RequestFingerprint(7)));
    restored.apply(&FleetCommand::LiftQuarantine(RequestFingerprint(7)));
    assert!(!restored.quarantine().holds(RequestFingerprint(7)));
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name)
}

/// Guards against an evacuation that is undone by another evacuation, or by the end of another one.
#[test]
fn zones_are_evacuated_independently() {
    let mut state = FleetState::default();

    for name in ["b", "a", "b"] {
        state.apply(&FleetCommand::EvacuateZone(zone(name)));
    }
    state.apply(&FleetCommand::ReadmitZone(zone("c")));
    assert_eq!(state.evacuated(), [zone("a"), zone("b")]);
    state.apply(&FleetCommand::ReadmitZone(zone("b")));

    assert_eq!(state.evacuated(), [zone("a")]);
    assert!(state.is_evacuated(&zone("a")) && !state.is_evacuated(&zone("b")));
}

/// Snapshot written by a build that did not have evacuations yet.
const FORMAT_ONE_SNAPSHOT: &[u8] = include_bytes!("data/state-format-1.bin");

/// Guards against a data folder of an earlier build that can no longer be opened.
#[test]
fn a_snapshot_of_the_first_format_is_read() {
    let state = decode_state(FORMAT_ONE_SNAPSHOT).expect("the format is known");

    assert_eq!(plan_in_force(&state), Some((7, "a declaration".to_owned())));
    assert_eq!(state.groups().keys().copied().collect::<Vec<_>>(), [GroupId(1)]);
    assert!(state.is_leaving(&IncarnationId::new("c")));
    assert_eq!(state.endpoints().len(), 1);
    assert_eq!(state.quarantine().records().len(), 1);
    assert!(state.evacuated().is_empty());
    let written = encode_state(&state).expect("plain data has an encoding");
    assert_eq!(decode_state(&written).expect("it was just written"), state);
}

/// Snapshot written by a build whose quarantine had no prompt parts yet.
const FORMAT_TWO_SNAPSHOT: &[u8] = include_bytes!("data/state-format-2.bin");

/// Guards against a data folder of an earlier build that can no longer be opened.
#[test]
fn a_snapshot_of_the_second_format_is_read() {
    let state = decode_state(FORMAT_TWO_SNAPSHOT).expect("the format is known");

    assert_eq!(plan_in_force(&state), Some((7, "a declaration".to_owned())));
    assert!(state.quarantine().holds(RequestFingerprint(9)));
    assert!(state.quarantine().parts().is_empty());
    assert_eq!(state.evacuated(), [zone("zone-b")]);
    let written = encode_state(&state).expect("plain data has an encoding");
    assert_eq!(decode_state(&written).expect("it was just written"), state);
}

/// Guards against losing quarantined prompt parts when the whole deployment restarts.
#[test]
fn a_snapshot_carries_quarantined_parts() {
    let record = PartRecord {
        part: PartId(7),
        rule: "draft".to_owned(),
        team: None,
        endpoints: vec![IncarnationId::new("i-1")],
    };
    let mut state = FleetState::default();
    state.apply(&FleetCommand::QuarantinePart(record));

    let bytes = encode_state(&state).expect("the state encodes");
    let mut restored = decode_state(&bytes).expect("it decodes");

    assert!(restored.quarantine().holds_part(PartId(7)));
    assert!(!restored.quarantine().holds(RequestFingerprint(7)));
    restored.apply(&FleetCommand::LiftPart(PartId(7)));
    assert!(!restored.quarantine().holds_part(PartId(7)));
}

/// Guards against an older build that takes the state of a newer one for damaged, or accepts it.
#[test]
fn a_newer_format_is_distinguished_from_damage() {
    let mut state = FleetState::default();
    state.apply(&FleetCommand::EvacuateZone(zone("a")));
    let mut newer = encode_state(&state).expect("plain data has an encoding");
    let complete = newer.clone();
    newer[1] = STATE_FORMAT + 1;

    assert_matches!(decode_state(&newer), Err(StateError::Newer { format }) if format == STATE_FORMAT + 1);
    for length in 0..complete.len() {
        assert_matches!(
            decode_state(&complete[..length]),
            Err(StateError::Unreadable { .. }),
            "{length}"
        );
    }
    assert_eq!(decode_state(&complete).expect("the bytes are complete"), state);
}
