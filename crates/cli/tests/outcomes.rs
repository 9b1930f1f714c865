//! What callers are told when processes and paths fail under load, on real processes.

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briartray::trial::{OutcomeRow, TrialFault, run_fault};

/// Length of the load.
const LENGTH: Duration = Duration::from_secs(4);

/// One fleet at a time: each has more than a dozen processes.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Brings `fault` about; fails when a request was lost, doubled, crossed or told an untruth.
fn bring_about(fault: TrialFault) -> OutcomeRow {
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let programs = Path::new(env!("CARGO_BIN_EXE_briartray")).parent().expect("a folder");
    let row = run_fault(programs, fault, LENGTH).expect("the trial runs; build the workspace");
    assert!(row.is_clean(), "{row:?}");
    assert_eq!(row.answered + row.refused + row.unknown, row.sent, "{row:?}");
    row
}

#[test]
fn entry_killed_between_claim_and_dispatch() {
    // An entry dies after it claimed a key and before the order reaches an agent. The caller asks
    // another entry with the same key: it is told that the outcome is not known, and nothing runs.
    let row = bring_about(TrialFault::EntryKilledBeforeDispatch);

    assert_eq!((row.answered, row.unknown), (row.sent / 2, row.sent / 2), "{row:?}");
}

#[test]
fn entry_killed_between_dispatch_and_answer() {
    // An entry dies while the service books the lot. The caller asks another entry with the same
    // key: the call is not run again, and the caller is not told that it never ran.
    let row = bring_about(TrialFault::EntryKilledBeforeAnswer);

    assert!(row.answered > 0 && row.unknown > 0, "{row:?}");
    assert_eq!(row.refused, 0, "{row:?}");
}

#[test]
fn agent_stands_still() {
    // An agent process pauses for seconds and wakes with its connections and orders still there.
    // Callers of its replica must not wait for it, and what it wakes with must not run twice.
    let row = bring_about(TrialFault::AgentStopped);

    assert!(row.answered * 10 > row.sent * 8, "{row:?}");
}

#[test]
fn engine_stands_still() {
    // An engine pauses in the middle of its streams while its agent is well. A caller sees no
    // token for seconds and must still get its whole answer or a true end.
    let row = bring_about(TrialFault::EngineStopped);

    assert!(row.answered * 10 > row.sent * 8, "{row:?}");
}

#[test]
fn open_paths_are_forgotten() {
    // Something between the hosts loses track of every open connection; new ones work. Answers
    // that lie ready must come over new connections, without a gap and without a piece twice.
    let row = bring_about(TrialFault::PathsForgotten);

    assert!(row.answered * 2 > row.sent, "{row:?}");
}

#[test]
fn engines_answer_late_crossed_cut_and_silent() {
    // An engine hands pieces to the wrong request, cuts streams and goes silent in the middle. A
    // trader would read another desk's draft, or half a draft that looks whole.
    let row = bring_about(TrialFault::BadAnswers);

    assert!(row.answered * 10 > row.sent * 8, "{row:?}");
}

#[test]
fn services_answer_late_crossed_cut_and_silent() {
    // A plain service runs the call and its answer never comes, comes cut or is another's. Without
    // a key the call is not sent again; with one it never runs twice.
    let row = bring_about(TrialFault::BadService);

    assert!(row.answered * 10 > row.sent * 7, "{row:?}");
}

#[test]
fn zone_goes_dark() {
    // Every agent of one availability zone dies at once. Requests in progress there end truthfully
    // or run in the other zone.
    let row = bring_about(TrialFault::ZoneKilled);

    assert!(row.answered * 10 > row.sent * 7, "{row:?}");
}

#[test]
fn terminated_agents_finish_their_work() {
    // Agents are told to end, as by a rolling restart. Nobody may notice.
    let row = bring_about(TrialFault::AgentsTerminated);

    assert_eq!(row.answered, row.sent, "{row:?}");
}

#[test]
fn terminated_entry_finishes_its_requests() {
    // An entry is told to end while callers wait. Each open request gets its answer; callers that
    // come later go elsewhere.
    let row = bring_about(TrialFault::EntryTerminated);

    assert_eq!(row.unknown, 0, "{row:?}");
}
