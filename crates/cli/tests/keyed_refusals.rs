//! Outcomes reported for retries with an `Idempotency-Key` that are refused before the ledger
//! lookup.

mod fleet;

use std::net::SocketAddr;

use briartray::demo::DemoPlan;
use serde_json::{Value, json};

use fleet::ready_fleet;

/// Rules that deny every request to a service of the demonstration.
const DENY_ALL_RULES: &str = "
services:
  - { name: ledger, kind: plain }
rules:
  - rule: nobody
    then: { admit: { allow: false } }
";

fn confirm(entry: SocketAddr, key: Option<&str>) -> Value {
    let mut request = attohttpc::post(format!("http://{entry}/services/ledger/confirm"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let response = request.bytes(b"confirm lot 7").send().expect("the entry answers");
    serde_json::from_str(&response.text().expect("text")).expect("the answer is JSON")
}

#[test]
fn refused_retry_is_not_reported_as_not_run() {
    // A call runs, its answer is lost, and changed rules refuse the retry. If the refusal reported
    // `not_run`, the caller would send the call again under a new key and run it twice.
    let fleet = ready_fleet(&DemoPlan::default());
    let entry = fleet.caller_address();
    let first = confirm(entry, Some("lot-7"));
    let body = json!({ "change": format!("{:032x}", 1), "text": DENY_ALL_RULES });
    let (status, _) =
        briartray::trial::post_json(fleet.operator_address(), "/v1/rules", &body).expect("applied");

    let resent = confirm(entry, Some("lot-7"));
    let without_key = confirm(entry, None);

    assert!(first["text"].is_string(), "{first}");
    assert_eq!(status, 200);
    assert_eq!((&resent["code"], &resent["outcome"]), (&json!("forbidden"), &json!("unknown")));
    assert_eq!(without_key["outcome"], "not_run");
    fleet.stop();
}
