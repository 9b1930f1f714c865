//! Tests of the admission queue of an entry, and of the rate of ends that it relies on.

use std::time::Duration;

use briartray_fleet::entry::CompletionRate;
use briartray_model::TimePoint;
use briartray_model::names::ServiceName;

const MODEL: &str = "large";

fn service() -> ServiceName {
    ServiceName::new("chat")
}

fn at_ms(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

/// Guards against a rate that outlives its load: ends older than a second do not count.
#[test]
fn rate_counts_the_last_second_of_each_model() {
    let mut rate = CompletionRate::default();
    for step in 0..30 {
        rate.record(at_ms(step * 100), &service(), MODEL);
    }
    assert_eq!(rate.per_second(at_ms(2_900), &service(), MODEL), 10.0);
    assert_eq!(rate.per_second(at_ms(2_900), &service(), "small"), 0.0);
    assert_eq!(rate.per_second(at_ms(3_450), &service(), MODEL), 5.0);
    assert_eq!(rate.per_second(at_ms(2_900).after(Duration::from_secs(1)), &service(), MODEL), 0.0);
}
