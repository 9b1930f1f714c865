//! Crashes that a single fatal request explains, beside requests that share popular prompt parts.

use briartray_model::TimePoint;
use briartray_model::message::RunEvent;
use briartray_model::names::{PartId, RequestFingerprint};
use briartray_quarantine::{QuarantineList, QuarantineRecord, QuarantineTracker};

use super::{FATAL, SHARED, at, crash};

/// The fatal request, by number.
const FATAL_PRINT: u64 = 7;

/// Crash number `number` of the fatal request, on an endpoint of its own.
fn fatal_crash(number: u64) -> RunEvent {
    crash(number, FATAL_PRINT, &[])
}

/// The same crash as seen by another request with the shared part.
fn bystander_crash(number: u64) -> RunEvent {
    crash(number, 100 + number, &[SHARED])
}

fn fatal_parts(tracker: &mut QuarantineTracker, now: TimePoint) -> Vec<PartId> {
    tracker.take_fatal_parts(now).into_iter().map(|record| record.part).collect()
}

fn fatal_requests(tracker: &mut QuarantineTracker, now: TimePoint) -> Vec<QuarantineRecord> {
    tracker.take_fatal(now)
}

/// Records crashes number `numbers`, half a second apart; a bystander is reported before the fatal request.
fn record_crashes(tracker: &mut QuarantineTracker, numbers: std::ops::Range<u64>) {
    let list = QuarantineList::default();
    for number in numbers {
        tracker.take(at(500 * number), &bystander_crash(number), &list);
        tracker.take(at(500 * number), &fatal_crash(number), &list);
    }
}

/// Guards against quarantine of a part whose requests share all crashed endpoints with one fatal request, and
/// against crashes of that request which then no longer count.
#[test]
fn a_part_is_not_blamed_for_the_crashes_of_one_other_request() {
    let mut tracker = QuarantineTracker::default();

    record_crashes(&mut tracker, 0..4);
    let parts = fatal_parts(&mut tracker, at(1_500));
    let requests = fatal_requests(&mut tracker, at(1_500));

    assert_eq!(parts, []);
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].print, RequestFingerprint(FATAL_PRINT.into()));
}

/// Guards against quarantine of such a part in the moment in which one entry has reported the last crash, and
/// the entry that ran the fatal request has not.
#[test]
fn a_part_is_not_blamed_before_all_entries_have_reported_the_crash() {
    let list = QuarantineList::default();
    let mut tracker = QuarantineTracker::default();
    record_crashes(&mut tracker, 0..3);

    tracker.take(at(1_500), &bystander_crash(3), &list);
    let early = fatal_parts(&mut tracker, at(1_500));
    tracker.take(at(1_520), &fatal_crash(3), &list);
    let late = fatal_parts(&mut tracker, at(1_520));

    assert_eq!((early, late), (Vec::new(), Vec::new()));
    assert_eq!(fatal_requests(&mut tracker, at(1_520)).len(), 1);
}

/// Guards against quarantine of a part that was beside a request in quarantine, when its last copies crash
/// endpoints.
#[test]
fn crashes_of_a_quarantined_request_do_not_count_against_parts_of_others() {
    let mut list = QuarantineList::default();
    let mut tracker = QuarantineTracker::default();
    record_crashes(&mut tracker, 0..4);
    let requests = fatal_requests(&mut tracker, at(1_500));

    tracker.take(at(1_510), &fatal_crash(4), &list);
    tracker.take(at(1_510), &bystander_crash(4), &list);
    requests.iter().for_each(|record| {
        list.add(record);
        tracker.added(record.print);
    });
    tracker.take(at(2_000), &fatal_crash(5), &list);
    tracker.take(at(2_000), &bystander_crash(5), &list);
    tracker.take(at(2_500), &crash(20, 120, &[SHARED]), &list);

    assert_eq!(fatal_parts(&mut tracker, at(60_000)), []);
}

/// Guards against a new leader that counts the crashes of a quarantined request against parts of others when
/// entries report all that they keep.
#[test]
fn a_new_leader_knows_what_a_quarantined_request_explains() {
    let mut list = QuarantineList::default();
    let mut former = QuarantineTracker::default();
    record_crashes(&mut former, 0..4);
    fatal_requests(&mut former, at(1_500)).iter().for_each(|record| list.add(record));
    let mut tracker = QuarantineTracker::new(at(0), &list);

    for number in 0..4 {
        let old = RunEvent { age_ms: 9_000 - 500 * number, ..bystander_crash(number) };
        tracker.take(at(0), &old, &list);
    }

    assert_eq!(fatal_parts(&mut tracker, at(60_000)), []);
}

/// Guards against a fatal part that stays unknown because a popular request was on some of the endpoints, or
/// because one of its own requests was on all of them.
#[test]
fn a_fatal_part_is_found_beside_requests_that_were_on_fewer_endpoints() {
    let list = QuarantineList::default();
    let mut tracker = QuarantineTracker::default();

    for number in 0..4 {
        let now = at(500 * number);
        tracker.take(now, &crash(number, 100 + number, &[FATAL]), &list);
        tracker.take(now, &crash(number, 90, &[FATAL]), &list);
        if number > 0 {
            tracker.take(now, &crash(number, 50, &[SHARED]), &list);
        }
    }

    assert_eq!(fatal_parts(&mut tracker, at(2_000)), [FATAL]);
}
