//! Planned stops, from the operator's request until the stop is reported as safe.

mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use briartray::demo::{DemoFleet, DemoPlan};
use briartray_standin::expected_text;
use serde_json::{Value, json};

use fleet::{completion, post, read_stream, ready_fleet};

/// Time limit for a condition; generous so that a busy machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Rules for two replicas of one engine each.
const RULES: &str = "
services:
  - { name: desk, kind: engine, hosts_per_replica: 1, replicas: 2, capacity: 64 }
rules:
  - rule: everyone
    then:
      place: { wait_ms: 60000 }
      stop: { min_replicas: 1 }
";

fn two_replicas() -> DemoFleet {
    let fleet = ready_fleet(&DemoPlan {
        engines: 2,
        services: 0,
        rules: RULES.to_owned(),
        ..DemoPlan::default()
    });
    // An entry learns of a group up to one lease renewal later than the control host.
    let (callers, operators) = (fleet.caller_address(), fleet.operator_address());
    wait_for("two whole groups", || whole_groups(operators) == 2);
    wait_for("an entry that sees both groups", || get(callers, "/readyz")["whole_groups"] == 2);
    fleet
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn get(address: SocketAddr, path: &str) -> Value {
    let response = attohttpc::get(format!("http://{address}{path}")).send();
    let body = response.and_then(attohttpc::Response::bytes).expect("control answers");
    serde_json::from_slice(&body).expect("the answer is JSON")
}

fn whole_groups(address: SocketAddr) -> usize {
    let groups = get(address, "/v1/groups");
    groups.as_array().map_or(0, |all| all.iter().filter(|group| group["whole"] == true).count())
}

fn plan(address: SocketAddr, target: &Value) -> (u16, Value) {
    let body = json!({ "change": "0123456789abcdef0123456789abcdef", "target": target });
    let (status, text) = post(address, "/v1/stops", &body);
    (status, serde_json::from_str(&text).expect("the answer is JSON"))
}

fn stop(address: SocketAddr) -> Value {
    get(address, "/v1/stops")["stops"][0].clone()
}

/// Number of requests that the engine with this number has run.
fn runs(fleet: &DemoFleet, number: usize) -> usize {
    fleet.engines()[number].runs().all().len()
}

#[test]
fn planned_stop_completes_streams_and_takes_no_new_work() {
    // A host is stopped while it is streaming answers. These streams must complete, and the host
    // must not get new requests once it is safe to stop.
    let fleet = two_replicas();
    let (callers, operators) = (fleet.caller_address(), fleet.operator_address());
    let drafts: Vec<_> = (0..8)
        .map(|number| {
            std::thread::spawn(move || {
                let prompt = format!("draft {number}");
                let body = completion(&prompt, 150, true);
                let (_, text) = post(callers, "/v1/completions", &body);
                (read_stream(&text), expected_text(&prompt, 150))
            })
        })
        .collect();
    wait_for("a request on the first engine", || runs(&fleet, 0) > 0);

    let (status, _) = plan(operators, &json!({ "host": "host-0" }));
    let early = stop(operators);
    wait_for("safe to stop", || stop(operators)["safe_to_stop"] == true);
    let before = runs(&fleet, 0);
    for number in 0..10 {
        let answer = post(callers, "/v1/completions", &completion(&format!("{number}"), 2, false));
        assert_eq!(answer.0, 200, "{answer:?}");
    }

    assert_eq!((status, &early["safe_to_stop"]), (200, &json!(false)));
    assert_eq!(runs(&fleet, 0), before, "the stopped host got new work");
    for draft in drafts {
        let ((text, whole), expected) = draft.join().expect("the caller ends");
        assert_eq!((text, whole), (expected, true));
    }
    fleet.stop();
}

#[test]
fn cancelled_stop_gives_the_host_work_again() {
    let fleet = two_replicas();
    let (callers, operators) = (fleet.caller_address(), fleet.operator_address());
    plan(operators, &json!({ "host": "host-0" }));
    wait_for("safe to stop", || stop(operators)["safe_to_stop"] == true);
    let before = runs(&fleet, 0);

    post(operators, "/v1/stops/cancel", &json!({ "stop": 1 }));

    wait_for("a request on the host", || {
        post(callers, "/v1/completions", &completion("again", 2, false));
        runs(&fleet, 0) > before
    });
    fleet.stop();
}

#[test]
fn stop_below_the_rules_is_refused_with_the_reason() {
    // The target covers all replicas of the service; stopping it would violate `min_replicas`.
    let fleet = two_replicas();

    let (status, answer) = plan(fleet.operator_address(), &json!({ "provider": "local" }));

    assert_eq!((status, answer["code"].as_str()), (409, Some("stop_refused")));
    let message = answer["message"].as_str().unwrap_or_default();
    assert!(message.contains("left with 0 replicas"), "{message}");
    fleet.stop();
}

#[test]
fn stop_of_unknown_host_is_refused() {
    let fleet = two_replicas();

    let (status, answer) = plan(fleet.operator_address(), &json!({ "host": "host-77" }));

    assert_eq!((status, answer["code"].as_str()), (409, Some("stop_refused")));
    fleet.stop();
}
