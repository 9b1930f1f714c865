//! Concurrency limits, queues and refusals on a complete fleet.

mod fleet;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use briartray::demo::DemoPlan;
use briartray::trial::{ProcessFleet, TrialPlan};
use serde_json::Value;

use fleet::{completion, post, ready_fleet};

/// Response to one request: status, `Retry-After` in seconds, and body.
struct Reply {
    status: u16,
    retry_after: Option<u64>,
    body: Value,
}

fn send(address: SocketAddr, team: &str, prompt: &str, tokens: u32) -> Reply {
    let body = completion(prompt, tokens, false).to_string().into_bytes();
    let response = attohttpc::post(format!("http://{address}/v1/completions"))
        .header("x-briartray-team", team)
        .bytes(body)
        .send()
        .expect("the entry answers");
    let status = response.status().as_u16();
    let header = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after = header.and_then(|seconds| seconds.parse().ok());
    let text = response.text().expect("the answer is text");
    Reply { status, retry_after, body: serde_json::from_str(&text).expect("the reply is JSON") }
}

/// Sends `count` requests concurrently.
fn send_many(address: SocketAddr, team: &'static str, count: usize, tokens: u32) -> Vec<Reply> {
    let calls: Vec<_> = (0..count)
        .map(|number| {
            std::thread::spawn(move || send(address, team, &format!("call {number}"), tokens))
        })
        .collect();
    calls.into_iter().map(|call| call.join().expect("the caller runs")).collect()
}

/// Plan for a fleet whose replicas run `capacity` requests each and whose rules apply `admit` to
/// every request.
fn plan(capacity: u32, admit: &str) -> DemoPlan {
    let rules = format!(
        "services:\n  - name: desk\n    hosts_per_replica: 2\n    replicas: 2\n    capacity: \
         {capacity}\nteams:\n  - name: default\n  - name: office\nrules:\n  - rule: everyone\n    \
         then:\n      admit: {admit}\n"
    );
    DemoPlan { services: 0, step: Duration::from_millis(10), rules, ..DemoPlan::default() }
}

fn metric(address: SocketAddr, name: &str) -> u64 {
    let response = attohttpc::get(format!("http://{address}/metrics")).send();
    let text = response.and_then(attohttpc::Response::text).expect("the entry has metrics");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok()).expect("the metric is a whole number")
}

#[test]
fn team_stays_within_its_concurrency_limit() {
    // A team sends a burst of requests, of which its rule allows two at a time. The others must
    // wait in the queue and be answered.
    let fleet = ready_fleet(&plan(64, "{ concurrency: 2 }"));
    let address = fleet.caller_address();

    let burst = std::thread::spawn(move || send_many(address, "office", 12, 10));
    let mut max_running = 0;
    while !burst.is_finished() {
        max_running = max_running.max(metric(address, "briartray_running_requests"));
    }
    let replies = burst.join().expect("the burst ends");

    assert!(replies.iter().all(|reply| reply.status == 200));
    assert!((1..=2).contains(&max_running), "{max_running} requests ran at the same time");
    fleet.stop();
}

#[test]
fn callers_over_capacity_are_refused_at_once_with_retry_after() {
    // Thirty concurrent requests exceed what the replicas can answer within the deadline. The
    // others must be refused with `not_run` and a retry delay instead of waiting in vain.
    let fleet = ready_fleet(&plan(1, "{ deadline_ms: 1500 }"));
    let address = fleet.caller_address();
    for number in 0..3 {
        send(address, "office", &format!("warm {number}"), 40);
    }

    let replies = send_many(address, "office", 30, 40);

    let (answered, refused): (Vec<_>, Vec<_>) =
        replies.iter().partition(|reply| reply.status == 200);
    assert!(!answered.is_empty() && !refused.is_empty());
    for reply in refused {
        assert_eq!((reply.status, reply.body["code"].as_str()), (503, Some("too_late")));
        assert_eq!(reply.body["outcome"], "not_run");
        assert!(reply.retry_after >= Some(1) && reply.body["retry_after_ms"].as_u64() >= Some(250));
    }
    fleet.stop();
}

#[test]
fn full_queue_of_one_team_does_not_affect_other_teams() {
    let fleet = ready_fleet(&plan(1, "{ queue: 2 }"));
    let address = fleet.caller_address();

    let burst = std::thread::spawn(move || send_many(address, "office", 12, 40));
    while metric(address, "briartray_waiting_requests") < 2 && !burst.is_finished() {}
    let (other, _) = post(address, "/v1/completions", &completion("status of lot 7", 5, false));
    let replies = burst.join().expect("the burst ends");

    let refused: Vec<_> = replies.iter().filter(|reply| reply.status != 200).collect();
    assert_eq!(other, 200);
    assert!(!refused.is_empty());
    for reply in refused {
        assert_eq!((reply.status, reply.body["code"].as_str()), (429, Some("team_queue_full")));
        assert_eq!(reply.body["outcome"], "not_run");
    }
    fleet.stop();
}

/// Number of running and waiting requests that the engine at `address` reports.
fn engine_load(address: SocketAddr) -> u64 {
    let response = attohttpc::get(format!("http://{address}/load")).send();
    let body = response.and_then(attohttpc::Response::bytes).expect("the engine reports its load");
    let load: Value = serde_json::from_slice(&body).expect("the load is JSON");
    load["running"].as_u64().unwrap_or_default() + load["waiting"].as_u64().unwrap_or_default()
}

#[test]
fn concurrency_limit_holds_across_two_entries() {
    // A team sends requests through two entries at once. If each entry applied the full limit, the
    // engine would run twice as many requests as the rule allows.
    let rules = "
services:
  - { name: desk, kind: engine, hosts_per_replica: 1, replicas: 1, capacity: 64 }
teams: [{ name: default }, { name: office }]
rules:
  - rule: office-limit
    when: { team: [office] }
    then: { admit: { concurrency: 4, deadline_ms: 60000 } }
";
    let programs = Path::new(env!("CARGO_BIN_EXE_briartray")).parent().expect("a folder");
    let plan = TrialPlan::new(programs).entries(2).endpoints(1, 0).rules(rules);
    let fleet = ProcessFleet::start(&plan).expect("the fleet starts; build the workspace");
    let engine = fleet.endpoint_addresses()[0];
    let callers: Vec<_> = fleet.entry_addresses().to_vec();

    let bursts: Vec<_> = callers
        .into_iter()
        .map(|entry| std::thread::spawn(move || send_many(entry, "office", 12, 20)))
        .collect();
    let mut max_running = 0;
    while bursts.iter().any(|burst| !burst.is_finished()) {
        max_running = max_running.max(engine_load(engine));
        std::thread::sleep(Duration::from_millis(5));
    }
    let replies: Vec<Reply> =
        bursts.into_iter().flat_map(|burst| burst.join().expect("the burst ends")).collect();

    assert!(replies.iter().all(|reply| reply.status == 200));
    assert!((1..=4).contains(&max_running), "{max_running} requests ran at the same time");
}
