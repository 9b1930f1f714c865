//! Resent changes, within the retention and beyond it.

use briartray_control::state::{CommandOutcome, ControlState, MAX_ACCEPTED, RuleShelf};
use briartray_model::names::{ChangeId, RevisionNumber};

const TEXT: &str = "services: []\nteams: []\nrules: []\n";

fn accept(shelf: &mut RuleShelf, number: u64) -> CommandOutcome {
    shelf.apply(ChangeId(u128::from(number) + 1), Some(RevisionNumber(number)), TEXT)
}

/// A shelf that has accepted changes `0..count`, each on the revision before it.
fn shelf_with(count: u64) -> RuleShelf {
    let mut shelf = RuleShelf::default();
    for number in 0..count {
        accept(&mut shelf, number);
    }
    shelf
}

#[test]
fn oldest_change_is_forgotten_and_never_applied_again() {
    // An operator's script resends a change of months ago. Its outcome is no longer kept; taken
    // for a new change it would put old rules back in force.
    let kept = MAX_ACCEPTED as u64;
    let mut shelf = shelf_with(kept + 1);

    let forgotten = accept(&mut shelf, 0);
    let undated = shelf.apply(ChangeId(1), None, TEXT);
    let oldest_kept = accept(&mut shelf, 1);
    let next = accept(&mut shelf, kept + 1);

    let floor = RevisionNumber(0);
    assert_eq!(forgotten, CommandOutcome::ChangeTooOld { floor });
    assert_eq!(undated, CommandOutcome::ChangeTooOld { floor });
    assert_eq!(oldest_kept, CommandOutcome::RulesAccepted { revision: RevisionNumber(2) });
    assert_eq!(next, CommandOutcome::RulesAccepted { revision: RevisionNumber(kept + 2) });
}

#[test]
fn refused_changes_do_not_push_accepted_ones_out() {
    // A broken script sends thousands of changes on an old revision. The outcome of an accepted
    // change must still be known to whoever resends it, and new changes must go on.
    let mut shelf = shelf_with(2);
    for number in 0..10_000 {
        shelf.apply(ChangeId(1_000_000 + number), Some(RevisionNumber(0)), TEXT);
    }

    let resent = accept(&mut shelf, 0);
    let next = accept(&mut shelf, 2);

    assert_eq!(resent, CommandOutcome::RulesAccepted { revision: RevisionNumber(1) });
    assert_eq!(next, CommandOutcome::RulesAccepted { revision: RevisionNumber(3) });
}

#[test]
fn full_history_fits_into_few_megabytes() {
    let rules = shelf_with(MAX_ACCEPTED as u64 + 100);

    let state = ControlState { rules, ..ControlState::default() };
    let bytes = state.encode().expect("the state has an encoding");

    assert!(bytes.len() < 8 * 1024 * 1024, "{} bytes", bytes.len());
    assert_eq!(ControlState::decode(&bytes).expect("it decodes"), state);
}
