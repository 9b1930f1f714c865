//! Fixtures: a complete fleet in the test process, and calls to it.

// Each test file uses only some of the fixtures.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use briartray::demo::{DemoFleet, DemoPlan};
use serde_json::{Value, json};

/// Time limit for a fleet to become ready; generous so that a busy machine does not fail a test.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a fleet and waits until it is ready for requests.
pub fn ready_fleet(plan: &DemoPlan) -> DemoFleet {
    let fleet = DemoFleet::start(plan).expect("the fleet starts");
    assert!(fleet.wait_until_ready(READY_TIMEOUT), "the fleet did not become ready in time");
    fleet
}

/// Body of a completion request.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({ "model": "desk", "prompt": prompt, "max_tokens": tokens, "stream": stream })
}

/// Posts `body` to `path`; returns the status and text of the response.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, String) {
    let response = attohttpc::post(format!("http://{address}{path}"))
        .bytes(body.to_string().into_bytes())
        .send()
        .expect("the entry answers");
    (response.status().as_u16(), response.text().expect("the answer is text"))
}

/// Concatenated text of the events of a stream, and whether it ended with the end marker.
pub fn read_stream(stream: &str) -> (String, bool) {
    let events: Vec<&str> = stream.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let whole = events.last() == Some(&"[DONE]");
    let text = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    (text, whole)
}

/// Posts `body` to `path` with an `Idempotency-Key`; returns the status and text of the response.
pub fn post_keyed(address: SocketAddr, path: &str, key: &str, body: &Value) -> (u16, String) {
    let response = attohttpc::post(format!("http://{address}{path}"))
        .header("idempotency-key", key)
        .bytes(body.to_string().into_bytes())
        .send()
        .expect("the entry answers");
    (response.status().as_u16(), response.text().expect("the answer is text"))
}
