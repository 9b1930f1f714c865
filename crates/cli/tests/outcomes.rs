//! Outcomes reported to callers when real processes and network paths fail under load.

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use attohttpc::Response;
use briartray::trial::{OutcomeRow, ProcessFleet, TrialFault, TrialPlan, run_fault};
use serde_json::{Value, json};

/// Duration of the load.
const LOAD_LENGTH: Duration = Duration::from_secs(4);

/// Runs one fleet at a time, because each has more than a dozen processes.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Time limit for a condition; generous so that a busy machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);

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

/// Injects `fault`; fails if a request is lost, run twice, crossed or given a false outcome.
fn run_clean_fault(fault: TrialFault) -> OutcomeRow {
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let row =
        run_fault(programs(), fault, LOAD_LENGTH).expect("the trial runs; build the workspace");
    assert!(row.is_clean(), "{row:?}");
    assert_eq!(row.answered + row.refused + row.unknown, row.sent, "{row:?}");
    row
}

#[test]
fn entry_killed_between_claim_and_dispatch() {
    // An entry is killed after claiming a key and before the order reaches an agent. The caller
    // retries through another entry: the outcome must be `unknown` and the call must not run.
    let row = run_clean_fault(TrialFault::EntryKilledBeforeDispatch);

    assert_eq!((row.answered, row.unknown), (row.sent / 2, row.sent / 2), "{row:?}");
}

#[test]
fn entry_killed_between_dispatch_and_answer() {
    // An entry is killed while the service runs the call. The caller retries with the same key
    // through another entry: the call must not run again nor be reported as not run.
    let row = run_clean_fault(TrialFault::EntryKilledBeforeAnswer);

    assert!(row.answered > 0 && row.unknown > 0, "{row:?}");
    assert_eq!(row.refused, 0, "{row:?}");
}

#[test]
fn paused_agent_neither_blocks_nor_repeats_calls() {
    // An agent is paused for seconds and resumes with its connections and orders intact. Callers
    // of its replica must not wait for it, and the orders it still has must not run twice.
    let row = run_clean_fault(TrialFault::AgentStopped);

    assert!(row.answered * 10 > row.sent * 8, "{row:?}");
}

#[test]
fn paused_engine_ends_requests_with_a_true_outcome() {
    // An engine is paused in the middle of its streams while its agent runs. Callers get no token
    // for seconds and must still get a complete answer or a correct outcome.
    let row = run_clean_fault(TrialFault::EngineStopped);

    assert!(row.answered * 10 > row.sent * 8, "{row:?}");
}

#[test]
fn black_holed_connections_lose_and_repeat_nothing() {
    // All open connections between the hosts are black-holed; new ones work. Answers must continue
    // over new connections, without missing or repeated chunks.
    let row = run_clean_fault(TrialFault::PathsForgotten);

    assert!(row.answered * 2 > row.sent, "{row:?}");
}

#[test]
fn engines_answer_late_crossed_cut_and_silent() {
    // An engine sends chunks to the wrong request, cuts streams and stops sending. A caller must
    // not get the answer to another request, or a truncated answer that looks complete.
    let row = run_clean_fault(TrialFault::BadAnswers);

    assert!(row.answered * 10 > row.sent * 8, "{row:?}");
}

#[test]
fn services_answer_late_crossed_cut_and_silent() {
    // A plain service runs a call and its answer is missing, truncated or another call's. A call
    // without a key must not be retried, and a call with a key must not run twice.
    let row = run_clean_fault(TrialFault::BadService);

    assert!(row.answered * 10 > row.sent * 7, "{row:?}");
}

#[test]
fn killed_zone_leaves_every_request_a_true_outcome() {
    // All agents of one availability zone are killed at once. Requests in progress there must end
    // with a correct outcome or run in the other zone.
    let row = run_clean_fault(TrialFault::ZoneKilled);

    assert!(row.answered * 10 > row.sent * 7, "{row:?}");
}

#[test]
fn terminated_agents_finish_their_work() {
    // Agents shut down gracefully, as in a rolling restart. Every request must be answered.
    let row = run_clean_fault(TrialFault::AgentsTerminated);

    assert_eq!(row.answered, row.sent, "{row:?}");
}

#[test]
fn terminated_entry_finishes_its_requests() {
    // An entry shuts down gracefully while callers wait. Open requests must be answered, and later
    // callers must be able to use the other entry.
    let row = run_clean_fault(TrialFault::EntryTerminated);

    assert_eq!(row.unknown, 0, "{row:?}");
}

#[test]
fn keys_and_stops_survive_a_killed_control_host() {
    // The only control host is killed and restarts with its data folder. A call whose key has run
    // must not run again, and the planned stop of a host must still be in effect.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
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
        assert!(started.elapsed() < TIMEOUT, "{}", stops());
        std::thread::sleep(Duration::from_millis(100));
    }
    let second = post(entry, "/services/ledger/confirm", Some("lot-7"), "confirm lot 7");
    assert_eq!(planned["outcome"], "planned", "{planned}");
    assert!(first["text"].is_string(), "{first}");
    assert_eq!(second, first);
}
