//! What `accepted` means for a change of rules, on real processes.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use briartray::trial::{ProcessFleet, ProcessSignal, TrialPlan};
use briartray_model::lease::HoldPolicy;
use serde_json::{Value, json};

/// Generous, because a busy machine is no failure.
const SOON: Duration = Duration::from_secs(60);

/// Time between two looks.
const CHECK: Duration = Duration::from_millis(50);

/// Requests that a woken entry is sent.
const REQUESTS: usize = 100;

/// One fleet at a time: each has several processes.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Rules under which `admit` decides every request.
fn rules(admit: &str) -> String {
    format!(
        "services: [{{ name: desk, replicas: 1 }}]\nrules:\n- rule: everyone\n  \
         then: {{ admit: {admit}, route: {{}}, retry: {{}}, place: {{}}, stop: {{}} }}\n"
    )
}

/// A small fleet whose entries hold their rules under `hold`.
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

/// Sends a document; returns status and body of the answer.
fn apply(operator: SocketAddr, change: u128, document: &str) -> (u16, Value) {
    let body = json!({ "change": format!("{change:032x}"), "text": document });
    post(operator, "/v1/rules", &body)
}

fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let response = attohttpc::post(format!("http://{address}{path}"))
        .timeout(SOON)
        .bytes(body.to_string().into_bytes())
        .send()
        .expect("the process answers");
    let status = response.status().as_u16();
    let text = response.text().expect("the answer is text");
    (status, serde_json::from_str(&text).expect("the answer is JSON"))
}

/// Asks for one token; returns status and body.
fn ask(entry: SocketAddr) -> (u16, Value) {
    let body = json!({ "model": "desk", "prompt": "status of lot 7", "max_tokens": 1 });
    post(entry, "/v1/completions", &body)
}

/// Looks again and again until `look` holds.
fn wait_for(what: &str, mut look: impl FnMut() -> bool) {
    let started = Instant::now();
    while !look() {
        assert!(started.elapsed() < SOON, "not in time: {what}");
        std::thread::sleep(CHECK);
    }
}

#[test]
fn paused_entry_decides_nothing_under_replaced_rules() {
    // An entry's process is stopped, as by a virtual machine that is moved, while the rules
    // change so that nobody is let in any more. When it goes on, no caller may get in under the
    // rules that it still has in memory.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = fleet(1, HoldPolicy::BoundedMs(4000));
    let [paused, other] = [fleet.entry_addresses()[0], fleet.entry_addresses()[1]];
    assert_eq!(ask(paused).0, 200);
    fleet.entries[0].signal(ProcessSignal::Stop);

    let (status, reply) = apply(fleet.operator_address(), 1, &rules("{ allow: false }"));
    fleet.entries[0].signal(ProcessSignal::Continue);
    let answers: Vec<(u16, Value)> = (0..REQUESTS).map(|_| ask(paused)).collect();

    assert_eq!((status, reply["outcome"].as_str()), (200, Some("accepted")), "{reply}");
    let let_in = answers.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(let_in, 0, "the woken entry let callers in after the change was accepted");
    assert!(answers.iter().all(|(_, body)| body["outcome"] == "not_run"), "{answers:?}");
    assert_eq!(ask(other).1["code"], "forbidden");
}

#[test]
fn lost_majority_stops_serving_only_under_a_bound() {
    // Two of three control hosts are lost for good. With a bound entries refuse once it has
    // passed, because the others might have accepted a change; without one they go on.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let bounded = fleet(3, HoldPolicy::BoundedMs(3500));
    let unbounded = fleet(3, HoldPolicy::UntilForgotten);
    for fleet in [&bounded, &unbounded] {
        fleet.controls[0].signal(ProcessSignal::Kill);
        fleet.controls[1].signal(ProcessSignal::Kill);
    }

    wait_for("a refusal under the bound", || ask(bounded.entry_addresses()[0]).0 == 503);
    let refused = ask(bounded.entry_addresses()[0]);
    let served = ask(unbounded.entry_addresses()[0]);

    assert_eq!(refused.1["code"], "rules_unconfirmed");
    assert_eq!(refused.1["outcome"], "not_run");
    assert_eq!(served.0, 200, "{}", served.1);
}

#[test]
fn entry_that_is_gone_is_waited_for_until_it_is_struck_off() {
    // Without a bound a dead entry cannot be told from one that is cut off and still serves. The
    // operator is told that the change is committed and whom it waits for, strikes the entry off,
    // and gets the acceptance of the same change.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
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
fn entry_that_ends_in_order_holds_nothing_up() {
    // An entry is stopped for an upgrade. It gives its lease back, so that changes do not wait
    // for it, not even where leases have no bound.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = fleet(1, HoldPolicy::UntilForgotten);
    let operator = fleet.operator_address();
    fleet.entries[1].signal(ProcessSignal::Terminate);

    let ended = fleet.entries[1].wait(SOON).expect("the entry ends");
    let (status, reply) = apply(operator, 1, &rules("{ allow: false }"));

    assert!(ended.success(), "{ended:?}");
    assert_eq!((status, reply["outcome"].as_str()), (200, Some("accepted")), "{reply}");
}
