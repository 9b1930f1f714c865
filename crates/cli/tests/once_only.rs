//! Calls under an `Idempotency-Key`, through the whole path.

mod fleet;

use briartray::demo::DemoPlan;
use serde_json::Value;

use fleet::{completion, post, post_once, read_stream, ready_fleet};

const PATH: &str = "/v1/completions";

#[test]
fn resend_gets_the_first_answer() {
    // The caller's connection broke after the answer was generated, so it sends the call again. A
    // second run would give the engine's answer another id.
    let fleet = ready_fleet(&DemoPlan::default());
    let body = completion("confirm lot 7", 5, false);

    let first = post_once(fleet.caller_address(), PATH, "lot-7", &body);
    let second = post_once(fleet.caller_address(), PATH, "lot-7", &body);

    assert_eq!(first.0, 200);
    assert_eq!(second, first);
    fleet.stop();
}

#[test]
fn resend_of_stream_gets_the_first_events() {
    // As above, for an answer that is a stream: the events are kept and sent again with their end
    // mark.
    let fleet = ready_fleet(&DemoPlan::default());
    let body = completion("confirm lot 8", 5, true);

    let first = post_once(fleet.caller_address(), PATH, "lot-8", &body);
    let second = post_once(fleet.caller_address(), PATH, "lot-8", &body);

    assert!(read_stream(&first.1).1, "the first answer is whole");
    assert_eq!(second, first);
    fleet.stop();
}

#[test]
fn key_with_another_body_is_refused() {
    // A client reuses a key by mistake. Without a check it would get the answer to another call
    // and take it for its own.
    let fleet = ready_fleet(&DemoPlan::default());
    post_once(fleet.caller_address(), PATH, "lot-9", &completion("confirm lot 9", 5, false));

    let other = completion("confirm lot 10", 5, false);
    let (status, text) = post_once(fleet.caller_address(), PATH, "lot-9", &other);

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
