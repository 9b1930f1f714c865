//! Invalid requests, which an entry refuses with a stable code, a remedy and `not_run`.

mod fleet;

use briartray::demo::{DemoFleet, DemoPlan};
use briartray_standin::expected_text;
use serde_json::{Value, json};

use fleet::{completion, post, read_stream, ready_fleet};

/// Sends `body` for `team` and returns the status, code and outcome of the refusal.
fn refusal(fleet: &DemoFleet, path: &str, team: &str, body: &[u8]) -> (u16, String, String) {
    let response = attohttpc::post(format!("http://{}{path}", fleet.caller_address()))
        .header("x-briartray-team", team)
        .bytes(body.to_vec())
        .send()
        .expect("the entry answers");
    let status = response.status().as_u16();
    let text = response.text().expect("the answer is text");
    let value: Value = serde_json::from_str(&text).expect("the refusal is JSON");
    let field = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
    assert!(!field("message").is_empty() && !field("request_id").is_empty(), "{value}");
    (status, field("code"), field("outcome"))
}

#[test]
fn every_bad_request_has_its_code_and_affects_no_other_request() {
    // Callers send broken JSON, unknown names, wrong paths and an oversized body. Each must get a
    // specific code, and a valid request afterwards must be answered.
    let fleet = ready_fleet(&DemoPlan::default());
    let valid = json!({ "model": "desk", "prompt": "x" }).to_string();
    let large = vec![b' '; 2 * 1024 * 1024];
    let cases: [(&str, &str, &[u8], u16, &str); 8] = [
        ("/v1/completions", "default", b"{ not json", 400, "bad_request"),
        ("/v1/completions", "default", b"[1]", 400, "bad_request"),
        ("/v1/completions", "default", br#"{"model":"none"}"#, 404, "unknown_model"),
        ("/v1/completions", "strangers", valid.as_bytes(), 401, "unknown_team"),
        ("/v1/unknown", "default", valid.as_bytes(), 404, "unknown_path"),
        ("/services/none/x", "default", b"{}", 404, "unknown_service"),
        ("/v1/completions", "default", &large, 413, "body_too_large"),
        ("/v1/models", "default", b"{}", 405, "wrong_method"),
    ];

    let seen: Vec<(u16, String, String)> =
        cases.iter().map(|(path, team, body, ..)| refusal(&fleet, path, team, body)).collect();
    let (status, text) =
        post(fleet.caller_address(), "/v1/completions", &completion("lot 7", 3, true));

    for ((_, _, _, status, code), found) in cases.iter().zip(&seen) {
        assert_eq!(found, &(*status, (*code).to_owned(), "not_run".to_owned()));
    }
    assert_eq!(status, 200);
    assert_eq!(read_stream(&text), (expected_text("lot 7", 3), true));
    fleet.stop();
}

#[test]
fn plain_service_is_reached_and_runs_once() {
    let fleet = ready_fleet(&DemoPlan::default());
    let body = json!({ "lot": 7 });

    let (status, text) = post(fleet.caller_address(), "/services/ledger/confirm", &body);

    let answer: Value = serde_json::from_str(&text).expect("the answer is JSON");
    assert_eq!((status, answer["path"].as_str()), (200, Some("/confirm")));
    let runs: usize = fleet.services().iter().map(|service| service.runs().all().len()).sum();
    assert_eq!(runs, 1);
    fleet.stop();
}
