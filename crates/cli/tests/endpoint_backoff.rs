//! Engines that ask for a time without requests, on real processes.

use std::net::SocketAddr;
use std::path::Path;

use briartray::trial::{ProcessFleet, TrialPlan};
use serde_json::{Value, json};

/// Engines of the fleet, each of which refuses every request and asks for a minute without any.
const ENGINES: usize = 2;

/// Requests, sent one after the other.
const REQUESTS: usize = 20;

fn complete(entry: SocketAddr) -> (u16, Value, Option<u64>) {
    let body = json!({ "model": "desk", "prompt": "a prompt", "max_tokens": 4 });
    let sent =
        attohttpc::post(format!("http://{entry}/v1/completions")).text(body.to_string()).send();
    let Ok(answer) = sent else { return (0, Value::Null, None) };
    let status = answer.status().as_u16();
    let wait = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let wait = wait.and_then(|seconds| seconds.parse().ok());
    let text = answer.text().unwrap_or_default();
    (status, serde_json::from_str(&text).unwrap_or_default(), wait)
}

/// Guards against an engine that gets every caller's request although it asked for a time without any,
/// and against callers that wait, or return too early, while all engines have done so.
#[test]
fn engines_that_ask_for_a_backoff_get_no_requests() {
    let programs = Path::new(env!("CARGO_BIN_EXE_briartray")).parent().expect("a folder");
    let plan = TrialPlan::new(programs).endpoints(ENGINES, 0).engine_faults(&["backoff:1:60000"]);
    let fleet = ProcessFleet::start(&plan).expect("the fleet starts; build the workspace");
    let entry = fleet.entry_addresses()[0];

    let answers: Vec<_> = (0..REQUESTS).map(|_| complete(entry)).collect();

    let by_engines = answers.iter().filter(|(_, body, _)| body["code"].is_null()).count();
    assert!(by_engines <= ENGINES, "{by_engines} requests reached engines: {answers:?}");
    let (status, body, wait) = answers.last().expect("requests were sent");
    assert_eq!(
        (*status, &body["code"], &body["outcome"]),
        (503, &json!("no_replica"), &json!("not_run"))
    );
    assert!(wait.is_some_and(|seconds| seconds > 1), "{wait:?}");
}
