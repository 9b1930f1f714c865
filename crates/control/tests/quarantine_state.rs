//! Quarantined requests and prompt parts in the replicated state.

use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_model::names::{IncarnationId, PartId, RequestFingerprint};
use briartray_quarantine::PartRecord;

/// Snapshot written by a build whose quarantine had no prompt parts yet.
const EARLIER_SNAPSHOT: &[u8] = include_bytes!("data/state-without-parts.bin");

fn quarantine(part: PartId) -> ControlCommand {
    let endpoints = vec![IncarnationId::new("i-1")];
    ControlCommand::QuarantinePart(PartRecord {
        part,
        rule: "everyone".to_owned(),
        team: None,
        endpoints,
    })
}

/// Guards against a data folder of an earlier build that can no longer be opened.
#[test]
fn a_snapshot_without_prompt_parts_is_read() {
    let state = ControlState::decode(EARLIER_SNAPSHOT).expect("the format is known");

    assert!(state.quarantine.holds(RequestFingerprint(9)));
    assert!(state.quarantine.parts().is_empty());
    let written = state.encode().expect("the state has an encoding");
    assert_eq!(ControlState::decode(&written).expect("it was just written"), state);
    assert!(ControlState::decode(&EARLIER_SNAPSHOT[..EARLIER_SNAPSHOT.len() - 1]).is_err());
}

/// Guards against losing quarantined prompt parts when all control hosts restart.
#[test]
fn a_snapshot_carries_quarantined_parts() {
    let mut state = ControlState::default();
    state.apply(&quarantine(PartId(7)));

    let bytes = state.encode().expect("the state has an encoding");
    let mut restored = ControlState::decode(&bytes).expect("it decodes");

    assert!(restored.quarantine.holds_part(PartId(7)));
    let lifted = restored.apply(&ControlCommand::LiftPart { part: PartId(7) });
    assert_eq!(lifted, CommandOutcome::PartLifted { part: PartId(7) });
    assert!(!restored.quarantine.holds_part(PartId(7)));
}
