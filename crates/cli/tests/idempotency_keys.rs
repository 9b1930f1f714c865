//! Calls with an `Idempotency-Key` through the complete path.

mod fleet;

use briartray::demo::DemoPlan;
use serde_json::Value;

use fleet::{completion, post, post_keyed, read_stream, ready_fleet};

const PATH: &str = "/v1/completions";

#[test]
fn retry_gets_the_first_answer() {
    // The connection breaks after the answer was generated and the caller retries. A second run
    // would show as an answer with another id.
    let fleet = ready_fleet(&DemoPlan::default());
    let body = completion("confirm lot 7", 5, false);

    let first = post_keyed(fleet.caller_address(), PATH, "lot-7", &body);
    let second = post_keyed(fleet.caller_address(), PATH, "lot-7", &body);

    assert_eq!(first.0, 200);
    assert_eq!(second, first);
    fleet.stop();
}

#[test]
fn retry_of_stream_gets_the_first_events() {
    // For a streamed answer, the stored events are replayed, including the end marker.
    let fleet = ready_fleet(&DemoPlan::default());
    let body = completion("confirm lot 8", 5, true);

    let first = post_keyed(fleet.caller_address(), PATH, "lot-8", &body);
    let second = post_keyed(fleet.caller_address(), PATH, "lot-8", &body);

    assert!(read_stream(&first.1).1, "the first answer is whole");
    assert_eq!(second, first);
    fleet.stop();
}

#[test]
fn key_with_another_body_is_refused() {
    // A client reuses a key by mistake. Without the check it would get the answer to another call
    // and take it for the answer to its own.
    let fleet = ready_fleet(&DemoPlan::default());
    post_keyed(fleet.caller_address(), PATH, "lot-9", &completion("confirm lot 9", 5, false));

    let other = completion("confirm lot 10", 5, false);
    let (status, text) = post_keyed(fleet.caller_address(), PATH, "lot-9", &other);

    let refusal: Value = serde_json::from_str(&text).expect("the refusal is JSON");
    assert_eq!((status, refusal["code"].as_str()), (422, Some("key_reused")));
    assert_eq!(refusal["outcome"], "not_run");
    fleet.stop();
}

#[test]
fn calls_without_key_run_each_time() {
    let fleet = ready_fleet(&DemoPlan::default());
    let body = completion("confirm lot 11", 5, false);

    let first = post(fleet.caller_address(), PATH, &body);
    let second = post(fleet.caller_address(), PATH, &body);

    assert_ne!(first.1, second.1, "each run has an id of its own");
    fleet.stop();
}
