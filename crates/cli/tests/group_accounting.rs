//! Accounting of group downtime and stranded accelerators on a running fleet.

mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use briartray::demo::DemoPlan;
use serde_json::Value;

use fleet::ready_fleet;

/// Time limit for a condition; generous so that a busy machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);

fn account(address: SocketAddr) -> Value {
    let response = attohttpc::get(format!("http://{address}/v1/groups/account")).send();
    let body = response.and_then(attohttpc::Response::bytes).expect("control answers");
    serde_json::from_slice(&body).expect("the answer is JSON")
}

fn missing_member_seconds(account: &Value) -> f64 {
    let stranded = &account["services"][0]["stranded_accelerator_seconds"];
    stranded["missing_member"].as_f64().unwrap_or_default()
}

#[test]
fn lost_member_shows_as_downtime_and_stranded_accelerators() {
    // The agent of a member is stopped. Its replica is down and the accelerators of the other
    // member are idle; both must be counted for as long as this lasts.
    let fleet = ready_fleet(&DemoPlan { services: 0, ..DemoPlan::default() });
    let address = fleet.operator_address();

    fleet.stop_agent(1);
    let started = Instant::now();
    while missing_member_seconds(&account(address)) <= 0.0 && started.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(100));
    }

    let counted = account(address);
    assert!(missing_member_seconds(&counted) > 0.0, "{counted}");
    assert!(counted["services"][0]["group_down_seconds"].as_f64() > Some(0.0), "{counted}");
    let metrics = attohttpc::get(format!("http://{address}/metrics")).send();
    let metrics = metrics.and_then(attohttpc::Response::text).expect("control answers");
    assert!(metrics.contains("briartray_group_down_seconds_total"));
    assert!(metrics.contains(r#"reason="missing_member""#));
    fleet.stop();
}
