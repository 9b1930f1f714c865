//! Tests of the stand-ins over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use briartray_standin::engine::{EngineSettings, StandinEngine};
use briartray_standin::expected_text;
use briartray_standin::fault::{FaultKind, FaultPlan, FaultRule};
use briartray_standin::load::{LoadPlan, LoadReport, run_load};
use briartray_standin::service::{ServiceSettings, StandinService};
use briartray_standin::weights::{StandinWeights, WeightSettings};
use serde_json::{Value, json};

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn fast_engine(faults: &[FaultRule]) -> StandinEngine {
    let settings = EngineSettings::new(loopback())
        .step(Duration::from_millis(2))
        .faults(FaultPlan { seed: 3, faults: faults.to_vec() });
    StandinEngine::start(settings).expect("the engine starts")
}

fn fault(kind: FaultKind, share: f64, ms: u64) -> FaultRule {
    FaultRule { kind, share, ms }
}

fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let response = attohttpc::get(format!("http://{address}{path}")).send().expect("an answer");
    (response.status().as_u16(), response.text().expect("text"))
}

fn post(address: SocketAddr, path: &str, headers: &[(&'static str, &str)], body: &Value) -> u16 {
    let mut request = attohttpc::post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = request.bytes(body.to_string().into_bytes()).send().expect("an answer");
    let status = response.status().as_u16();
    response.bytes().expect("a whole body");
    status
}

fn short_load(address: SocketAddr) -> LoadReport {
    let plan = LoadPlan::new(address)
        .pace(50.0, Duration::from_millis(600))
        .model("desk", 6)
        .shares(0.5, 0.5)
        .bounds(Duration::from_secs(20), 500)
        .stand_ins(&[address]);
    run_load(&plan, |_, _| {}).expect("the run log is read")
}

#[test]
fn load_report_is_clean_for_a_correct_engine() {
    let engine = fast_engine(&[]);

    let report = short_load(engine.address());

    assert!(report.sent > 10 && report.is_clean(), "{report:?}");
    assert_eq!(report.answered, report.sent);
    engine.stop();
}

#[test]
fn load_detects_each_fault() {
    // An engine sends the text of another request, repeated parts, or an incomplete answer. A load
    // generator that missed these faults would hide wrong answers to callers.
    let seen: Vec<(u64, u64, u64)> = [FaultKind::Crossed, FaultKind::Doubled, FaultKind::Cut]
        .into_iter()
        .map(|kind| {
            let engine = fast_engine(&[fault(kind, 1.0, 0)]);
            let report = short_load(engine.address());
            engine.stop();
            (report.crossed, report.repeated, report.lost)
        })
        .collect();

    assert!(seen[0].0 > 10 && seen[0].1 + seen[0].2 == 0, "crossed: {seen:?}");
    assert!(seen[1].1 > 10 && seen[1].0 + seen[1].2 == 0, "doubled: {seen:?}");
    assert!(seen[2].2 > 10 && seen[2].0 + seen[2].1 == 0, "cut: {seen:?}");
}

#[test]
fn faults_change_while_the_engine_runs() {
    let engine = fast_engine(&[]);
    let plan = json!({ "seed": 1, "faults": [{ "kind": "refuse", "share": 1.0 }] });

    let changed = post(engine.address(), "/stand-in/faults", &[], &plan);
    let report = short_load(engine.address());

    assert_eq!((changed, report.answered), (200, 0));
    assert_eq!(engine.runs().all().len(), 0);
    engine.stop();
}

#[test]
fn stream_is_resumed_from_a_token() {
    let engine = fast_engine(&[]);
    let body = json!({ "prompt": "lot 7", "max_tokens": 4, "stream": true });
    post(engine.address(), "/v1/completions", &[("x-request-id", "abc")], &body);

    let (status, stream) = get(engine.address(), "/requests/abc?from=2");

    let text = expected_text("lot 7", 4);
    let missing: Vec<&str> = text.split_whitespace().skip(2).collect();
    assert_eq!(status, 200);
    assert!(missing.iter().all(|piece| stream.contains(piece)) && stream.contains("[DONE]"));
    assert_eq!(stream.matches("token_index").count(), 2);
    engine.stop();
}

#[test]
fn cancelled_request_makes_no_more_tokens() {
    let engine = fast_engine(&[]);
    let address = engine.address();
    let body = json!({ "prompt": "long", "max_tokens": 100_000 });
    let caller = std::thread::spawn(move || {
        post(address, "/v1/completions", &[("x-request-id", "long")], &body)
    });
    while engine.runs().count_request("long") == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }

    // The run is logged just before the request is submitted, so that a 404 is possible at first.
    let mut cancelled = 404;
    while cancelled == 404 {
        cancelled = post(address, "/requests/long/cancel", &[], &json!({}));
    }

    assert_eq!((cancelled, caller.join().expect("the caller ends")), (200, 499));
    engine.stop();
}

#[test]
fn order_with_old_number_is_refused_over_http() {
    let settings = EngineSettings::new(loopback())
        .checks_fencing(true)
        .loading(Duration::from_millis(1), None);
    let engine = StandinEngine::start(settings).expect("the engine starts");
    let order = |fencing: u64| json!({ "kind": "load_model", "name": "m", "fencing": fencing });

    let newer = post(engine.address(), "/orders", &[], &order(5));
    let older = post(engine.address(), "/orders", &[], &order(4));

    assert_eq!((newer, older), (200, 409));
    engine.stop();
}

#[test]
fn service_counts_runs_by_key_and_reads_change_nothing() {
    let service = StandinService::start(ServiceSettings::new(loopback())).expect("it starts");
    let key = [("idempotency-key", "k1")];

    post(service.address(), "/confirm", &key, &json!({ "lot": 7 }));
    post(service.address(), "/confirm", &key, &json!({ "lot": 7 }));
    get(service.address(), "/status/7");

    assert_eq!((service.runs().count_key("k1"), service.runs().all().len()), (2, 2));
    service.stop();
}

#[test]
fn weight_store_bounds_its_loads() {
    let settings =
        WeightSettings::new(loopback()).loads(2).file_bytes(256 * 1024).bytes_per_second(8 << 20);
    let store = StandinWeights::start(settings).expect("it starts");
    let address = store.address();

    let readers: Vec<_> =
        (0..5).map(|_| std::thread::spawn(move || get_bytes(address, "/weights/m"))).collect();
    let sizes: Vec<usize> = readers.into_iter().filter_map(|reader| reader.join().ok()).collect();

    assert_eq!(sizes, vec![256 * 1024; 5]);
    assert!(store.most_active() <= 2);
    store.stop();
}

fn get_bytes(address: SocketAddr, path: &str) -> usize {
    let response = attohttpc::get(format!("http://{address}{path}")).send().expect("an answer");
    response.bytes().expect("a whole body").len()
}
