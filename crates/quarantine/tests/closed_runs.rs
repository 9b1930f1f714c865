//! Closed runs are checked one delay after each of them was closed.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_quarantine::ClosedRuns;

fn at(millis: u64) -> TimePoint {
    TimePoint(5_000_000).after(Duration::from_millis(millis))
}

/// Guards against a crash that goes unnoticed because an earlier run of the endpoint was closed: the check of
/// that run must not stand for a run that was closed during its delay.
#[test]
fn a_run_that_closes_during_the_delay_of_another_has_a_delay_of_its_own() {
    let mut runs = ClosedRuns::default();
    runs.push(at(0), "first");
    runs.push(at(200), "second");

    let early = runs.take_due(at(239));
    let first = runs.take_due(at(240));
    let next = runs.due_at();
    let second = runs.take_due(at(440));

    assert_eq!(early, None);
    assert_eq!(first, Some((at(0), vec!["first"])));
    assert_eq!(next, Some(at(440)));
    assert_eq!(second, Some((at(200), vec!["second"])));
    assert_eq!(runs.due_at(), None);
}

/// Guards against a sign of life that is older than the runs it is to speak for.
#[test]
fn runs_that_are_checked_together_count_from_the_last_of_them() {
    let mut runs = ClosedRuns::default();
    runs.push(at(0), "first");
    runs.push(at(30), "second");

    let due = runs.take_due(at(300));

    assert_eq!(due, Some((at(30), vec!["first", "second"])));
}
