//! Tests of resent rule changes whose outcome is still kept or already evicted.

use briartray_control::state::{CommandOutcome, ControlState, MAX_ACCEPTED, RuleStore};
use briartray_model::names::{ChangeId, RevisionNumber};

const TEXT: &str = "services: []\nteams: []\nrules: []\n";

fn accept(store: &mut RuleStore, number: u64) -> CommandOutcome {
    store.apply(ChangeId(u128::from(number) + 1), Some(RevisionNumber(number)), TEXT)
}

/// Creates a store that has accepted changes `0..count`, each based on the previous revision.
fn store_with(count: u64) -> RuleStore {
    let mut store = RuleStore::default();
    for number in 0..count {
        accept(&mut store, number);
    }
    store
}

#[test]
fn oldest_change_is_forgotten_and_never_applied_again() {
    // A script resends a change from months ago whose outcome is no longer kept. If it were treated
    // as new, it would put old rules back in force.
    let kept = MAX_ACCEPTED as u64;
    let mut store = store_with(kept + 1);

    let forgotten = accept(&mut store, 0);
    let undated = store.apply(ChangeId(1), None, TEXT);
    let oldest_kept = accept(&mut store, 1);
    let next = accept(&mut store, kept + 1);

    let floor = RevisionNumber(0);
    assert_eq!(forgotten, CommandOutcome::ChangeTooOld { floor });
    assert_eq!(undated, CommandOutcome::ChangeTooOld { floor });
    assert_eq!(oldest_kept, CommandOutcome::RulesAccepted { revision: RevisionNumber(2) });
    assert_eq!(next, CommandOutcome::RulesAccepted { revision: RevisionNumber(kept + 2) });
}

#[test]
fn refused_changes_do_not_push_accepted_ones_out() {
    // A faulty script sends thousands of changes for an old revision. The outcomes of accepted
    // changes must still be known to a resend, and new changes must be accepted.
    let mut store = store_with(2);
    for number in 0..10_000 {
        store.apply(ChangeId(1_000_000 + number), Some(RevisionNumber(0)), TEXT);
    }

    let resent = accept(&mut store, 0);
    let next = accept(&mut store, 2);

    assert_eq!(resent, CommandOutcome::RulesAccepted { revision: RevisionNumber(1) });
    assert_eq!(next, CommandOutcome::RulesAccepted { revision: RevisionNumber(3) });
}

#[test]
fn full_history_fits_into_few_megabytes() {
    let rules = store_with(MAX_ACCEPTED as u64 + 100);

    let state = ControlState { rules, ..ControlState::default() };
    let bytes = state.encode().expect("the state has an encoding");

    assert!(bytes.len() < 8 * 1024 * 1024, "{} bytes", bytes.len());
    assert_eq!(ControlState::decode(&bytes).expect("it decodes"), state);
}
