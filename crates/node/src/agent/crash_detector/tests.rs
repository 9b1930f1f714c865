//! Tests which calls are assigned to the same crash.

use super::*;

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

/// A crash that breaks several calls must be counted once, not once per call.
#[test]
fn calls_that_break_together_name_one_crash() {
    let mut count = CrashCount::default();

    let first = count.record_crash(at(1_000), at(200));
    let second = count.record_crash(at(1_010), at(900));
    let later = count.record_crash(at(3_000), at(2_500));

    assert_eq!((first, second, later), (1, 1, 2));
}

/// An answer that breaks off must not count as a crash while the endpoint still listens.
#[test]
fn an_endpoint_that_listens_has_not_crashed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it listens");
    let detector = CrashDetector::default();

    let alive = detector.detect_crash(address, "host", at(0), || at(100));
    drop(listener);
    let crashed = detector.detect_crash(address, "host", at(0), || at(100));

    assert_eq!(alive, None);
    assert_eq!(crashed, Some(IncarnationId::started("host", Some(1))));
}
