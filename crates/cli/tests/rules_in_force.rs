//! Guarantees of an `accepted` rule change, on real processes: no entry decides under older rules.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use briartray::trial::{ProcessFleet, ProcessSignal, TrialPlan, post_json, request_completion};
use briartray_model::lease::HoldPolicy;
use serde_json::{Value, json};

/// Time limit for a condition; generous so that a busy machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of requests sent to a resumed entry.
const REQUESTS: usize = 100;

/// Runs one fleet at a time, because each has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Rule document in which `admit` applies to every request.
fn rules(admit: &str) -> String {
    format!(
        "services: [{{ name: desk, replicas: 1 }}]\nrules:\n- rule: everyone\n  \
         then: {{ admit: {admit}, route: {{}}, retry: {{}}, place: {{}}, stop: {{}} }}\n"
    )
}

/// Starts a fleet with two entries that keep unconfirmed rules as `hold` says.
fn fleet(controls: usize, hold: HoldPolicy) -> ProcessFleet {
    let programs = Path::new(env!("CARGO_BIN_EXE_briartray")).parent().expect("a folder");
    let plan = TrialPlan::new(programs)
        .controls(controls)
        .entries(2)
        .endpoints(1, 0)
        .rules(&rules("{}"))
        .hold(hold);
    ProcessFleet::start(&plan).expect("the fleet starts; build the workspace")
}

/// Applies a rule document; returns the status and body of the response.
fn apply(operator: SocketAddr, change: u128, document: &str) -> (u16, Value) {
    let body = json!({ "change": format!("{change:032x}"), "text": document });
    post(operator, "/v1/rules", &body)
}

fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    post_json(address, path, body).expect("the process answers")
}

/// Requests one token; returns the status and body of the response.
fn request_token(entry: SocketAddr) -> (u16, Value) {
    request_completion(entry, 1).expect("the entry answers")
}

/// Polls until `condition` holds; fails after `TIMEOUT`.
fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

#[test]
fn resumed_entry_admits_nothing_under_replaced_rules() {
    // An entry is paused, as during a live migration, while a rule change denies all requests.
    // After it resumes it must not admit a caller under the old rules that it still has in memory.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = fleet(1, HoldPolicy::BoundedMs(4000));
    let [paused, other] = [fleet.entry_addresses()[0], fleet.entry_addresses()[1]];
    assert_eq!(request_token(paused).0, 200);
    fleet.entries[0].signal(ProcessSignal::Stop);

    let (status, reply) = apply(fleet.operator_address(), 1, &rules("{ allow: false }"));
    fleet.entries[0].signal(ProcessSignal::Continue);
    let answers: Vec<(u16, Value)> = (0..REQUESTS).map(|_| request_token(paused)).collect();

    assert_eq!((status, reply["outcome"].as_str()), (200, Some("accepted")), "{reply}");
    let admitted = answers.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(admitted, 0, "the resumed entry admitted callers after the change was accepted");
    assert!(answers.iter().all(|(_, body)| body["outcome"] == "not_run"), "{answers:?}");
    assert_eq!(request_token(other).1["code"], "forbidden");
}

#[test]
fn lost_majority_stops_serving_only_under_a_bound() {
    // Two of three control hosts are killed. With a bound, entries must refuse requests once it has
    // passed, because a change might have been accepted elsewhere; without one they must serve on.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let bounded = fleet(3, HoldPolicy::BoundedMs(3500));
    let unbounded = fleet(3, HoldPolicy::UntilForgotten);
    for fleet in [&bounded, &unbounded] {
        fleet.controls[0].signal(ProcessSignal::Kill);
        fleet.controls[1].signal(ProcessSignal::Kill);
    }

    wait_for("a refusal under the bound", || request_token(bounded.entry_addresses()[0]).0 == 503);
    let refused = request_token(bounded.entry_addresses()[0]);
    let served = request_token(unbounded.entry_addresses()[0]);

    assert_eq!(refused.1["code"], "rules_unconfirmed");
    assert_eq!(refused.1["outcome"], "not_run");
    assert_eq!(served.0, 200, "{}", served.1);
}

#[test]
fn change_waits_for_a_dead_entry_until_it_is_forgotten() {
    // Without a bound, a dead entry cannot be distinguished from a partitioned one that still
    // serves. The pending change must name the entry, and be accepted once an operator has
    // forgotten the entry and retries the change.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = fleet(1, HoldPolicy::UntilForgotten);
    let operator = fleet.operator_address();
    fleet.entries[1].signal(ProcessSignal::Kill);
    let document = rules("{ allow: false }");

    let (pending, waiting) = apply(operator, 1, &document);
    let (forgotten, _) = post(operator, "/v1/entries/forget", &json!({ "node": "entry-1" }));
    let (accepted, reply) = apply(operator, 1, &document);

    assert_eq!((pending, &waiting["waiting_for"]), (202, &json!(["entry-1"])), "{waiting}");
    assert_eq!(forgotten, 200);
    assert_eq!((accepted, &reply["revision"]), (200, &waiting["revision"]), "{reply}");
}

#[test]
fn change_does_not_wait_for_an_entry_that_shut_down() {
    // An entry shuts down gracefully, as for an upgrade. It must return its lease, so that changes
    // do not wait for it, even if leases have no bound.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = fleet(1, HoldPolicy::UntilForgotten);
    let operator = fleet.operator_address();
    fleet.entries[1].signal(ProcessSignal::Terminate);

    let ended = fleet.entries[1].wait(TIMEOUT).expect("the entry ends");
    let (status, reply) = apply(operator, 1, &rules("{ allow: false }"));

    assert!(ended.success(), "{ended:?}");
    assert_eq!((status, reply["outcome"].as_str()), (200, Some("accepted")), "{reply}");
}
