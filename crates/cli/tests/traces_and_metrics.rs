//! Traces and metrics of requests through the complete path.

mod fleet;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use briartray::demo::DemoPlan;
use serde_json::Value;

use fleet::{completion, post, post_keyed, read_stream, ready_fleet};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";

/// Time limit for the spans to reach the file; generous so that only a hang exceeds it.
const SPAN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for requests to be counted; generous for the same reason.
const METRICS_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits for `count` spans of the trace in `file` and returns them.
fn read_spans(file: &Path, count: usize) -> Vec<Value> {
    let started = Instant::now();
    loop {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let spans: Vec<Value> = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .filter(|span: &Value| span["trace_id"] == TRACE)
            .collect();
        if spans.len() >= count {
            return spans;
        }
        assert!(started.elapsed() < SPAN_TIMEOUT, "fewer than {count} spans arrived: {spans:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until the metrics of the entry at `address` have all `expected` lines. A request is counted
/// once its answer has been sent, so its caller may read the metrics before that.
fn wait_for_metrics(address: SocketAddr, expected: &[&str]) {
    let started = Instant::now();
    loop {
        let text = attohttpc::get(format!("http://{address}/metrics"))
            .send()
            .and_then(attohttpc::Response::text)
            .expect("the entry answers");
        let missing: Vec<&&str> =
            expected.iter().filter(|line| !text.lines().any(|known| known == **line)).collect();
        if missing.is_empty() {
            return;
        }
        assert!(started.elapsed() < METRICS_TIMEOUT, "{missing:?} are missing in\n{text}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn request_has_four_spans_under_the_trace_of_its_caller() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("spans.jsonl");
    let plan = DemoPlan { trace_file: Some(file.clone()), ..DemoPlan::default() };
    let fleet = ready_fleet(&plan);

    let response = attohttpc::post(format!("http://{}/v1/completions", fleet.caller_address()))
        .header("traceparent", format!("00-{TRACE}-{CALLER_SPAN}-01"))
        .bytes(completion("lot 7", 3, false).to_string().into_bytes())
        .send()
        .expect("the entry answers");
    let spans = read_spans(&file, 4);

    assert_eq!(response.status().as_u16(), 200);
    let mut parent = CALLER_SPAN.to_owned();
    for hop in ["entry", "link", "agent", "engine"] {
        let span = spans.iter().find(|span| span["name"] == hop);
        let span = span.unwrap_or_else(|| panic!("no span of {hop} in {spans:?}"));
        assert_eq!(span["parent_span_id"], parent, "{spans:?}");
        parent = span["span_id"].as_str().unwrap_or_default().to_owned();
    }
    fleet.stop();
}

#[test]
fn metrics_count_answered_requests() {
    let fleet = ready_fleet(&DemoPlan::default());
    let address = fleet.caller_address();
    post(address, "/v1/completions", &completion("lot 7", 3, false));
    let (_, stream) = post(address, "/v1/completions", &completion("lot 8", 4, true));
    let (status, _) = post_keyed(address, "/v1/completions", "k", &completion("lot 9", 2, false));

    assert!(read_stream(&stream).1 && status == 200);
    let expected = [
        "briartray_requests_total{outcome=\"answered\"} 3",
        "briartray_first_token_seconds_count 1",
        "briartray_inter_token_seconds_count 3",
        "briartray_rules_revision 1",
        "briartray_spans_dropped 0",
    ];
    wait_for_metrics(address, &expected);
    fleet.stop();
}
