//! Fixtures: a whole fleet in the test's process, and a caller.

// Each test file uses a part of them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use briartray::demo::{DemoFleet, DemoPlan};
use serde_json::{Value, json};

/// How long a fleet may take to be ready; generous, because a busy machine is no failure.
const READY_WAIT: Duration = Duration::from_secs(60);

/// A fleet that is ready for requests.
pub fn ready_fleet(plan: &DemoPlan) -> DemoFleet {
    let fleet = DemoFleet::start(plan).expect("the fleet starts");
    assert!(fleet.wait_until_ready(READY_WAIT), "no replica became whole");
    fleet
}

/// The body of a completion request.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({ "model": "desk", "prompt": prompt, "max_tokens": tokens, "stream": stream })
}

/// Sends `body` to `path`; returns status and text of the answer.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, String) {
    let response = attohttpc::post(format!("http://{address}{path}"))
        .bytes(body.to_string().into_bytes())
        .send()
        .expect("the entry answers");
    (response.status().as_u16(), response.text().expect("the answer is text"))
}

/// The text of every event of a stream, and whether it ended with the end mark.
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

/// Sends `body` to `path` under an `Idempotency-Key`; returns status and text of the answer.
pub fn post_once(address: SocketAddr, path: &str, key: &str, body: &Value) -> (u16, String) {
    let response = attohttpc::post(format!("http://{address}{path}"))
        .header("idempotency-key", key)
        .bytes(body.to_string().into_bytes())
        .send()
        .expect("the entry answers");
    (response.status().as_u16(), response.text().expect("the answer is text"))
}
