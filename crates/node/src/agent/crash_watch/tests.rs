//! Which calls share a crash.

use super::*;

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

/// Guards against one crash that counts once for each call that broke in it.
#[test]
fn calls_that_break_together_name_one_crash() {
    let mut count = CrashCount::default();

    let first = count.take(at(1_000), at(200));
    let second = count.take(at(1_010), at(900));
    let later = count.take(at(3_000), at(2_500));

    assert_eq!((first, second, later), (1, 1, 2));
}

/// Guards against an answer that broke off at an endpoint which is well.
#[test]
fn an_endpoint_that_listens_has_not_crashed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it listens");
    let watch = CrashWatch::default();

    let alive = watch.crashed(address, "host", at(0), || at(100));
    drop(listener);
    let crashed = watch.crashed(address, "host", at(0), || at(100));

    assert_eq!(alive, None);
    assert_eq!(crashed, Some(IncarnationId::started("host", Some(1))));
}
