//! Distinguishes requests that crash endpoints from requests that only share an endpoint with them.

mod common;

use briartray_model::message::{FingerprintView, RunEnd, RunEvent, ViewVersion};
use briartray_model::names::{IncarnationId, RequestFingerprint, TermNumber};
use briartray_model::{TimePoint, codec};
use briartray_quarantine::{
    CrashBook, EvidenceLog, FATAL_CRASHES, FingerprintKey, FingerprintParts, QuarantineGuard,
    QuarantineList, QuarantineRecord, QuarantineStatus, QuarantineTracker,
};

use common::{FATAL, at, crashed_after, event, fatal_prints};

fn crashed(endpoint: &str) -> RunEnd {
    crashed_after(endpoint, 1_000)
}

/// Returns a book with one crash less for `fingerprint` than is fatal, each half a second apart.
fn nearly_fatal(fingerprint: RequestFingerprint) -> CrashBook {
    let mut book = CrashBook::default();
    for number in 1..FATAL_CRASHES {
        let millis = 500 * u64::try_from(number).expect("the number of crashes fits into u64");
        book.record_run(at(millis), &event(fingerprint, crashed(&format!("i-{number}"))));
    }
    book
}

fn record(fingerprint: u128) -> QuarantineRecord {
    let endpoints = vec![IncarnationId::new("i-1")];
    QuarantineRecord {
        print: RequestFingerprint(fingerprint),
        rule: "draft".to_owned(),
        team: None,
        endpoints,
    }
}

/// Guards against a request that crashes one endpoint after another.
#[test]
fn several_crashes_in_a_row_are_fatal() {
    let mut book = nearly_fatal(FATAL);
    let suspected = (fatal_prints(&mut book, at(1_500)), book.suspects());

    book.record_run(at(3_000), &event(FATAL, crashed("i-9")));
    let fatal = book.take_fatal(at(3_000));

    assert_eq!(suspected, (Vec::new(), vec![FATAL]));
    assert_eq!(fatal.len(), 1);
    assert_eq!((fatal[0].print, &*fatal[0].rule), (FATAL, "draft"));
    assert_eq!(fatal[0].endpoints.len(), FATAL_CRASHES);
    assert!(book.take_fatal(at(3_000)).is_empty(), "a quarantine is proposed once");
    book.lost(FATAL);
    assert_eq!(fatal_prints(&mut book, at(3_000)), [FATAL], "a lost proposal is repeated");
}

/// Guards against counting a crash once for each entry that reports it.
#[test]
fn a_crash_counts_once_however_many_entries_saw_it() {
    let mut book = CrashBook::default();

    for entry in 0..8 {
        book.record_run(at(entry * 300), &event(FATAL, crashed("i-0")));
    }

    assert!(fatal_prints(&mut book, at(8 * 300)).is_empty());
    assert!(book.suspects().is_empty());
}

/// Guards against quarantine of a popular request that ran on many endpoints of a failed rack.
#[test]
fn endpoints_that_crash_together_count_as_one() {
    let mut book = CrashBook::default();

    for number in 0..10 {
        book.record_run(at(number * 20), &event(FATAL, crashed(&format!("i-{number}"))));
    }

    assert!(fatal_prints(&mut book, at(1_000)).is_empty());
}

/// Guards against counting consecutive crashes as one because a request is retried faster than the
/// interval that identifies a rack failure.
#[test]
fn crashes_of_consecutive_runs_count_separately() {
    let mut book = CrashBook::default();
    for number in 0..FATAL_CRASHES {
        let millis = 35 * u64::try_from(number).expect("the number of crashes fits into u64");
        book.record_run(at(millis), &event(FATAL, crashed_after(&format!("i-{number}"), 30)));
    }

    assert_eq!(fatal_prints(&mut book, at(200)), [FATAL]);
}

/// Guards against quarantine of a harmless request after three coincidental crashes in a day.
#[test]
fn a_whole_run_clears_a_request() {
    let mut book = nearly_fatal(FATAL);

    book.record_run(at(2_800), &event(FATAL, RunEnd::Whole));
    book.record_run(at(3_000), &event(FATAL, crashed("i-8")));
    book.record_run(at(3_500), &event(FATAL, crashed("i-9")));

    assert!(fatal_prints(&mut book, at(4_000)).is_empty());
    // An entry that reports late sends a crash from before the complete run.
    let late = RunEvent { age_ms: 1_500, ..event(FATAL, crashed("i-7")) };
    assert!(!book.record_run(at(4_000), &late));
}

/// Guards against a new leader that treats all reported past crashes as simultaneous.
#[test]
fn a_new_leader_counts_what_happened_before_its_start() {
    let mut log = EvidenceLog::default();
    for number in 0..FATAL_CRASHES {
        let millis = 500 * u64::try_from(number).expect("the number of crashes fits into u64");
        log.note(at(millis), FATAL, crashed(&format!("i-{number}")));
    }
    let now = at(20_000);
    assert!(log.events_to_report(now).is_empty(), "old runs are reported only to a new leader");

    log.begin_leader(40);
    let reported = log.events_to_report(now);
    let mut book = CrashBook::default();
    for event in &reported {
        book.record_run(TimePoint(0), event);
    }

    assert_eq!(fatal_prints(&mut book, TimePoint(0)), [FATAL]);
    log.confirmed(40);
    assert_eq!(
        log.events_to_report(now).len(),
        FATAL_CRASHES,
        "an earlier report does not prove that the new leader has the runs"
    );
    log.confirmed(41);
    assert!(log.events_to_report(now).is_empty());
}

/// Guards against a lifted quarantine that the next leader imposes again.
#[test]
fn runs_of_a_request_are_removed_when_its_quarantine_is_lifted() {
    let mut log = EvidenceLog::default();
    log.note(at(0), FATAL, crashed("i-0"));
    log.note(at(0), RequestFingerprint(8), crashed("i-0"));
    let mut guard = QuarantineGuard::default();
    let version = ViewVersion { term: TermNumber(1), number: 1 };
    let held = FingerprintView { version, quarantined: vec![FATAL], ..FingerprintView::default() };
    guard.adopt(held.clone());
    assert_eq!(guard.status(FATAL), QuarantineStatus::Quarantined);

    let lifted = guard.adopt(FingerprintView { quarantined: Vec::new(), ..held });
    lifted.requests.iter().for_each(|fingerprint| log.forget(*fingerprint));

    assert_eq!(guard.status(FATAL), QuarantineStatus::Clear);
    assert!(!guard.is_watching());
    assert_eq!(log.events_to_report(at(0)).len(), 1);
}

/// Guards against memory use that grows with every request involved in a crash.
#[test]
fn many_requests_in_crashes_use_bounded_memory_and_do_not_hide_a_fatal_one() {
    let mut book = nearly_fatal(FATAL);
    let mut log = EvidenceLog::default();

    for number in 0..20_000_u128 {
        let fingerprint = RequestFingerprint(100 + number);
        let now = at(2_000 + u64::try_from(number).expect("the number of requests fits into u64"));
        book.record_run(now, &event(fingerprint, crashed("i-x")));
        log.note(now, fingerprint, crashed("i-x"));
    }
    book.record_run(at(30_000), &event(FATAL, crashed("i-9")));

    assert!(book.len() <= 2_048, "{} requests are stored", book.len());
    let reported = codec::encode(&log.events_to_report(at(22_000))).expect("events encode").len();
    assert!(reported <= 10_000, "{reported} bytes in one report");
    assert_eq!(fatal_prints(&mut book, at(30_000)), [FATAL]);
}

/// Guards against suspects that are never removed.
#[test]
fn crashes_count_for_ten_minutes() {
    let mut book = nearly_fatal(FATAL);
    let now = at(601_000 + 1_500);

    assert!(book.prune(now));
    book.record_run(now, &event(FATAL, crashed("i-9")));

    assert!(fatal_prints(&mut book, now).is_empty());
    assert!(book.suspects().is_empty());
}

/// Guards against a flood of fatal requests that fills the replicated state.
#[test]
fn quarantine_list_is_bounded_and_drops_the_oldest() {
    let mut list = QuarantineList::default();

    for fingerprint in 0..300 {
        list.add(&record(fingerprint));
        list.add(&record(fingerprint));
    }

    assert_eq!(list.records().len(), 256);
    assert!(!list.holds(RequestFingerprint(0)));
    assert!(list.holds(RequestFingerprint(299)));
    list.lift(RequestFingerprint(299));
    assert!(!list.holds(RequestFingerprint(299)));
}

/// Guards against a permanent quarantine although the affected endpoints have been replaced.
#[test]
fn quarantine_is_lifted_after_an_hour() {
    let mut list = QuarantineList::default();
    list.add(&record(7));
    let mut tracker = QuarantineTracker::default();

    let first = tracker.keep(at(0), &list);
    let before = tracker.keep(at(3_599_000), &list);
    let after = tracker.keep(at(3_600_000), &list);

    assert_eq!((first, before, after), (Vec::new(), Vec::new(), vec![FATAL]));
    assert!(tracker.keep(at(3_600_100), &list).is_empty(), "a lift is requested once");
}

/// Guards against a lift that is undone by an entry which does not know of it yet and reports the
/// old crashes.
#[test]
fn crashes_from_before_a_lift_do_not_count() {
    let mut list = QuarantineList::default();
    let mut tracker = QuarantineTracker::default();
    let report_old_crashes = |tracker: &mut QuarantineTracker, list: &QuarantineList, now: u64| {
        for number in 0..4_u64 {
            let late = event(FATAL, crashed(&format!("i-{number}")));
            let age_ms = now - number * 500;
            tracker.take(at(now), &RunEvent { age_ms, ..late }, list);
        }
        tracker.take_fatal(at(now)).len()
    };
    assert_eq!(report_old_crashes(&mut tracker, &list, 2_000), 1);
    list.add(&record(7));
    tracker.added(FATAL);

    list.lift(FATAL);
    tracker.lifted(at(2_500), FATAL);

    assert_eq!(report_old_crashes(&mut tracker, &list, 2_600), 0);
}

/// Guards against an entry that takes the view of an earlier leader for the latest one.
#[test]
fn a_leader_publishes_a_view_of_its_own_term() {
    let mut list = QuarantineList::default();
    let mut tracker = QuarantineTracker::default();

    let empty = tracker.refresh(TermNumber(3), &list).clone();
    list.add(&record(7));
    tracker.added(FATAL);
    let held = tracker.refresh(TermNumber(3), &list).clone();

    assert_eq!(empty.version, ViewVersion { term: TermNumber(3), number: 1 });
    assert_eq!(held.version, ViewVersion { term: TermNumber(3), number: 2 });
    assert_eq!(held.quarantined, [FATAL]);
    assert_eq!(tracker.refresh(TermNumber(3), &list), &held, "the view is unchanged");
    tracker.take(at(0), &event(FATAL, crashed("i-1")), &list);
    assert!(!tracker.is_view_stale(), "requests in quarantine are not counted again");
}

/// Guards against different requests with the same fingerprint: every part and the secret must
/// count.
#[test]
fn prints_distinguish_requests() {
    let key = FingerprintKey::new("secret");
    let parts = FingerprintParts { host: "a", path: "/draft/1", team: Some("t"), body: b"prompt" };
    let others = [
        FingerprintParts { host: "b", ..parts },
        FingerprintParts { path: "/draft/1?x=1", ..parts },
        FingerprintParts { team: None, ..parts },
        FingerprintParts { team: Some(""), ..parts },
        FingerprintParts { body: b"prompt ", ..parts },
        FingerprintParts { path: "/draft/1prompt", body: b"", ..parts },
    ];

    let fingerprint = key.fingerprint(&parts);

    assert_eq!(fingerprint, FingerprintKey::new("secret").fingerprint(&parts));
    assert_ne!(fingerprint, FingerprintKey::new("other").fingerprint(&parts));
    assert!(others.iter().all(|other| key.fingerprint(other) != fingerprint));
}

/// Returns a book in which `FATAL` alone crashed one endpoint after each of `times`, with the time of the last crash.
fn lone_crashes(times: &[u64]) -> (CrashBook, u64) {
    let mut book = CrashBook::default();
    let mut millis = 0;
    for (number, ran_ms) in times.iter().enumerate() {
        millis += 6_000;
        book.record_run(at(millis), &event(FATAL, crashed_after(&format!("i-{number}"), *ran_ms)));
    }
    (book, millis)
}

/// Guards against a fatal request that goes on reaching endpoints after its third crash: most endpoints stop it when
/// its callers leave, so that the fourth crash takes long.
#[test]
fn three_crashes_of_a_lone_request_after_the_same_time_are_fatal() {
    let (mut book, last) = lone_crashes(&[600, 610, 590]);

    let early = fatal_prints(&mut book, at(last + 100));
    let later = fatal_prints(&mut book, at(last + 600));

    assert_eq!((early, later), (Vec::new(), vec![FATAL]));
}

/// Guards against quarantine of a request after three crashes that other requests may have caused, or that came
/// at any time of its runs.
#[test]
fn three_crashes_are_not_fatal_beside_other_requests_or_after_different_times() {
    let (mut beside, last) = lone_crashes(&[600, 610, 590]);
    beside.record_run(at(last + 50), &event(RequestFingerprint(8), crashed_after("i-1", 900)));
    let (mut different, _) = lone_crashes(&[600, 90, 1_500]);

    let quarantined = |book: &mut CrashBook| fatal_prints(book, at(last + 10_000));

    assert!(quarantined(&mut beside).is_empty());
    assert!(quarantined(&mut different).is_empty());
}
