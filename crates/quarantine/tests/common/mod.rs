//! Fixtures of the tests of requests that crash endpoints.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{RunEnd, RunEvent};
use briartray_model::names::{IncarnationId, RequestFingerprint, TeamName};
use briartray_quarantine::CrashBook;

const START: TimePoint = TimePoint(5_000_000);
pub const FATAL: RequestFingerprint = RequestFingerprint(7);

pub fn at(millis: u64) -> TimePoint {
    START.after(Duration::from_millis(millis))
}

pub fn crashed_after(endpoint: &str, ran_ms: u64) -> RunEnd {
    let team = Some(TeamName::new("traders"));
    let (endpoint, rule) = (IncarnationId::new(endpoint), "draft".to_owned());
    RunEnd::Crashed { endpoint, ran_ms, rule, team }
}

pub fn event(print: RequestFingerprint, end: RunEnd) -> RunEvent {
    RunEvent { print, age_ms: 0, end, parts: Vec::new() }
}

pub fn fatal_prints(book: &mut CrashBook, now: TimePoint) -> Vec<RequestFingerprint> {
    book.take_fatal(now).into_iter().map(|record| record.print).collect()
}
