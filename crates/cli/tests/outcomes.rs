//! What callers are told when processes and paths fail under load, on real processes.

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use attohttpc::Response;
use briartray::trial::{OutcomeRow, ProcessFleet, TrialFault, TrialPlan, run_fault};
use serde_json::{Value, json};

/// Length of the load.
const LENGTH: Duration = Duration::from_secs(4);

/// One fleet at a time: each has more than a dozen processes.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// How long a condition may take; generous, because a busy machine is no failure.
const LIMIT: Duration = Duration::from_secs(60);

fn programs() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_briartray")).parent().expect("a folder")
}

fn json_of(response: attohttpc::Result<Response>) -> Value {
    let body = response.and_then(Response::bytes).unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or_default()
}

fn post(address: std::net::SocketAddr, path: &str, key: Option<&str>, body: &str) -> Value {
    let mut request = attohttpc::post(format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    json_of(request.bytes(body.as_bytes().to_vec()).send())
}

/// Brings `fault` about; fails when a request was lost, doubled, crossed or told an untruth.
fn bring_about(fault: TrialFault) -> OutcomeRow {
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let row = run_fault(programs(), fault, LENGTH).expect("the trial runs; build the workspace");
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

#[test]
fn keys_and_stops_survive_a_killed_control_host() {
    // The only control host is killed and comes back with its folder. A key that ran must not run
    // again, and a host that was leaving must not get work again.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let plan = TrialPlan::new(programs()).endpoints(2, 1);
    let mut fleet = ProcessFleet::start(&plan).expect("the fleet starts; build the workspace");
    let (entry, operator) = (fleet.entry_addresses()[0], fleet.operator_address());
    let first = post(entry, "/services/ledger/confirm", Some("lot-7"), "confirm lot 7");
    let stop = json!({ "change": "0".repeat(32), "target": { "host": "engine-0" } });
    let planned = post(operator, "/v1/stops", None, &stop.to_string());

    fleet.restart_control(0).expect("control starts again");

    let started = Instant::now();
    let stops = || json_of(attohttpc::get(format!("http://{operator}/v1/stops")).send());
    while stops()["stops"][0]["safe_to_stop"] != true {
        assert!(started.elapsed() < LIMIT, "{}", stops());
        std::thread::sleep(Duration::from_millis(100));
    }
    let second = post(entry, "/services/ledger/confirm", Some("lot-7"), "confirm lot 7");
    assert_eq!(planned["outcome"], "planned", "{planned}");
    assert!(first["text"].is_string(), "{first}");
    assert_eq!(second, first);
}
