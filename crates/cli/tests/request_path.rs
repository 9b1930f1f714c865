//! Requests through the complete path: caller, entry, agent, engine, and back.

mod fleet;

use briartray::demo::DemoPlan;
use briartray_standin::expected_text;
use serde_json::Value;

use fleet::{completion, post, read_stream, ready_fleet};

#[test]
fn caller_gets_json_answer_to_own_prompt() {
    let fleet = ready_fleet(&DemoPlan::default());
    let body = completion("status of lot 7", 5, false);

    let (status, text) = post(fleet.caller_address(), "/v1/completions", &body);

    assert_eq!(status, 200);
    let answer: Value = serde_json::from_str(&text).expect("the answer is JSON");
    assert_eq!(answer["choices"][0]["text"], expected_text("status of lot 7", 5));
    fleet.stop();
}

#[test]
fn caller_gets_whole_event_stream() {
    let fleet = ready_fleet(&DemoPlan::default());
    let body = completion("draft for lot 9", 6, true);

    let (status, text) = post(fleet.caller_address(), "/v1/completions", &body);

    assert_eq!(status, 200);
    assert_eq!(read_stream(&text), (expected_text("draft for lot 9", 6), true));
    fleet.stop();
}

#[test]
fn replica_without_its_second_host_serves_nothing() {
    // One host of a replica of two never starts. A caller must be refused with `not_run` instead of
    // getting an answer from an incomplete replica.
    let plan = DemoPlan { engines: 1, ..DemoPlan::default() };
    let fleet = briartray::demo::DemoFleet::start(&plan).expect("the fleet starts");
    let body = completion("status of lot 7", 5, false);

    let (status, text) = post(fleet.caller_address(), "/v1/completions", &body);

    assert_eq!(status, 503);
    let refusal: Value = serde_json::from_str(&text).expect("the refusal is JSON");
    assert_eq!(refusal["outcome"], "not_run");
    fleet.stop();
}

#[test]
fn unknown_model_is_refused_with_remedy() {
    let fleet = ready_fleet(&DemoPlan::default());
    let body = serde_json::json!({ "model": "no-such", "prompt": "x" });

    let (status, text) = post(fleet.caller_address(), "/v1/completions", &body);

    let refusal: Value = serde_json::from_str(&text).expect("the refusal is JSON");
    assert_eq!((status, refusal["code"].as_str()), (404, Some("unknown_model")));
    assert_eq!(refusal["outcome"], "not_run");
    fleet.stop();
}
