//! Distinguishes prompt parts that crash endpoints from parts of requests that share an endpoint, a
//! caller or other parts with them.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{FingerprintView, PartCompletion, RunEnd, RunEvent, ViewVersion};
use briartray_model::names::{IncarnationId, PartId, RequestFingerprint, TeamName, TermNumber};
use briartray_quarantine::{
    CompletedParts, CrashBook, EvidenceLog, FATAL_CRASHES, FingerprintKey, PartBook, PartRecord,
    QuarantineGuard, QuarantineKind, QuarantineList, QuarantineStatus, QuarantineTracker,
};

mod elimination;
mod simulated;

const START: TimePoint = TimePoint(5_000_000);
const FATAL: PartId = PartId(0xbad);
const SHARED: PartId = PartId(0xa1);

/// Crashes of a part that completed runs before, after which it is quarantined all the same.
const PROVEN_CRASHES: u64 = 8;

fn at(millis: u64) -> TimePoint {
    START.after(Duration::from_millis(millis))
}

/// A crash of endpoint number `endpoint` under request number `print`, a second after it began.
fn crash(endpoint: u64, print: u64, parts: &[PartId]) -> RunEvent {
    let end = RunEnd::Crashed {
        endpoint: IncarnationId::new(&format!("i-{endpoint}")),
        ran_ms: 1_000,
        rule: "draft".to_owned(),
        team: Some(TeamName::new("traders")),
    };
    RunEvent { print: RequestFingerprint(print.into()), age_ms: 0, end, parts: parts.to_vec() }
}

/// Records crashes number `numbers`, half a second apart, each of another request with `parts`.
fn record(book: &mut PartBook, numbers: std::ops::Range<u64>, parts: &[PartId]) {
    for number in numbers {
        book.record_crash(at(500 * number), &crash(number, number, parts));
    }
}

fn completed(part: PartId, age_ms: u64) -> PartCompletion {
    PartCompletion { part, age_ms }
}

fn fatal_parts(book: &mut PartBook, now: TimePoint) -> Vec<PartId> {
    book.take_fatal(now, &CrashBook::default()).into_iter().map(|record| record.part).collect()
}

/// Guards against different requests that share one fatal part and crash one endpoint after another.
#[test]
fn a_part_of_several_crashed_requests_is_fatal() {
    let mut book = PartBook::default();

    record(&mut book, 0..3, &[FATAL]);
    let suspected = (fatal_parts(&mut book, at(1_400)), book.suspects());
    record(&mut book, 3..4, &[FATAL]);
    let fatal = book.take_fatal(at(1_500), &CrashBook::default());

    assert_eq!(suspected, (Vec::new(), vec![FATAL]));
    assert_eq!(fatal.len(), 1);
    assert_eq!((fatal[0].part, &*fatal[0].rule), (FATAL, "draft"));
    assert_eq!(fatal[0].endpoints.len(), FATAL_CRASHES);
    assert!(fatal_parts(&mut book, at(1_600)).is_empty(), "a quarantine is proposed once");
    book.lost(FATAL);
    assert_eq!(fatal_parts(&mut book, at(1_700)), [FATAL], "a lost proposal is repeated");
}

/// Guards against quarantine of a part that all requests of a caller share with the fatal ones.
#[test]
fn a_part_that_completes_runs_is_not_quarantined() {
    let mut book = PartBook::default();

    for number in 0..20 {
        book.record_crash(at(500 * number), &crash(number, number, &[SHARED, FATAL]));
        book.record_completion(at(500 * number + 100), &completed(SHARED, 0));
    }

    assert_eq!(fatal_parts(&mut book, at(10_000)), [FATAL]);
}

/// Guards against quarantine of a rarely used part while its service is down, since no run can
/// complete then.
#[test]
fn a_part_that_completed_earlier_takes_more_crashes() {
    let mut book = PartBook::default();

    record(&mut book, 0..PROVEN_CRASHES - 1, &[SHARED]);
    book.record_completion(at(3_100), &completed(SHARED, 60_000));
    let before = fatal_parts(&mut book, at(3_500));
    record(&mut book, PROVEN_CRASHES - 1..PROVEN_CRASHES, &[SHARED]);

    assert!(before.is_empty(), "{before:?}");
    assert_eq!(fatal_parts(&mut book, at(4_000)), [SHARED]);
}

/// Guards against a decision before the entries could report the completed runs of a suspect.
#[test]
fn a_suspect_is_quarantined_after_entries_were_asked() {
    let mut book = PartBook::default();
    let events: Vec<RunEvent> = (0..4)
        .map(|number| RunEvent { age_ms: 4_000 - 500 * number, ..crash(number, number, &[SHARED]) })
        .collect();

    events.iter().for_each(|event| {
        book.record_crash(at(0), event);
    });
    let at_once = fatal_parts(&mut book, at(0));
    book.record_completion(at(100), &completed(SHARED, 60_000));

    assert!(at_once.is_empty(), "{at_once:?}");
    assert!(fatal_parts(&mut book, at(60_000)).is_empty());
}

/// Guards against crashes of a quarantined part that count against the other parts of its requests
/// and against bystanders, also when entries report them again.
#[test]
fn crashes_of_a_quarantined_part_do_not_count_against_others() {
    let mut book = PartBook::default();
    let bystander = PartId(0xb5);
    for number in 0..4 {
        let parts = if number == 0 { vec![FATAL] } else { vec![SHARED, FATAL] };
        book.record_crash(at(500 * number), &crash(number, number, &parts));
        book.record_crash(at(500 * number), &crash(number, 100 + number, &[bystander]));
    }
    book.record_completion(at(1_600), &completed(bystander, 60_000));

    assert_eq!(fatal_parts(&mut book, at(1_700)), [FATAL]);
    for number in 0..4 {
        book.record_crash(at(1_800), &crash(number, number, &[SHARED]));
        book.record_crash(at(1_800), &crash(number, 100 + number, &[bystander]));
    }

    assert!(book.suspects().iter().all(|part| *part == FATAL), "{:?}", book.suspects());
    assert!(book.is_explained(&IncarnationId::new("i-3")));
}

/// Guards against quarantine of the wrong one of two parts that occur together.
#[test]
fn parts_of_the_same_crashes_take_more_of_them() {
    let mut book = PartBook::default();

    record(&mut book, 0..4, &[SHARED, FATAL]);
    let tied = fatal_parts(&mut book, at(2_000));
    book.record_crash(at(2_000), &crash(4, 4, &[PartId(0xa2), FATAL]));

    assert!(tied.is_empty(), "{tied:?}");
    assert_eq!(fatal_parts(&mut book, at(2_100)), [FATAL]);

    let mut never_apart = PartBook::default();
    record(&mut never_apart, 0..6, &[SHARED, FATAL]);
    assert_eq!(fatal_parts(&mut never_apart, at(3_000)), [FATAL], "the later part is rarer");
}

/// Guards against endpoints that go on crashing because the first crashes came together.
#[test]
fn crashes_at_the_same_time_are_fatal_when_no_run_completes() {
    let simultaneous = |completes: bool| {
        let mut book = PartBook::default();
        for number in 0..5 {
            book.record_crash(at(number), &crash(number, number, &[FATAL]));
        }
        if completes {
            book.record_completion(at(800), &completed(FATAL, 0));
        }
        (fatal_parts(&mut book, at(900)), fatal_parts(&mut book, at(1_100)))
    };

    assert_eq!(simultaneous(false), (Vec::new(), vec![FATAL]));
    assert_eq!(simultaneous(true), (Vec::new(), Vec::new()), "a rack that loses power");
}

/// Guards against quarantine of the parts of one request that is fatal by its body and repeated.
#[test]
fn a_repeated_request_is_quarantined_and_its_parts_are_not() {
    let list = QuarantineList::default();
    let mut tracker = QuarantineTracker::default();

    for number in 0..12 {
        tracker.take(at(500 * number), &crash(number, 7, &[SHARED]), &list);
    }

    assert!(tracker.take_fatal_parts(at(6_000)).is_empty());
    let fatal = tracker.take_fatal(at(6_000));
    assert_eq!(
        fatal.iter().map(|record| record.print).collect::<Vec<_>>(),
        [RequestFingerprint(7)]
    );
    tracker.take(at(6_100), &crash(20, 8, &[SHARED]), &list);
    assert!(tracker.take_fatal_parts(at(60_000)).is_empty(), "its crashes still count");
}

/// Guards against a fatal part that hides a fatal request on other endpoints, or the reverse.
#[test]
fn a_fatal_part_and_a_fatal_request_are_both_found() {
    let list = QuarantineList::default();
    let mut tracker = QuarantineTracker::default();

    for number in 0..4 {
        let now = at(500 * number);
        tracker.take(now, &crash(number, number, &[FATAL]), &list);
        tracker.take(now, &crash(100 + number, 50, &[PartId(0xa2)]), &list);
        tracker.take(now, &crash(200 + number, 60, &[FATAL]), &list);
    }
    let parts: Vec<PartId> =
        tracker.take_fatal_parts(at(2_000)).iter().map(|record| record.part).collect();
    let requests: Vec<RequestFingerprint> =
        tracker.take_fatal(at(2_000)).iter().map(|record| record.print).collect();

    assert_eq!(parts, [FATAL]);
    assert_eq!(requests, [RequestFingerprint(50)], "the part explains the crashes of request 60");
}

/// Guards against a new leader that counts the crashes of a quarantined part against others when
/// entries report all that they keep.
#[test]
fn a_new_leader_knows_what_a_quarantined_part_explains() {
    let mut list = QuarantineList::default();
    list.add_part(&PartRecord {
        part: FATAL,
        rule: "draft".to_owned(),
        team: None,
        endpoints: (0..4).map(|number| IncarnationId::new(&format!("i-{number}"))).collect(),
    });
    let mut tracker = QuarantineTracker::new(at(0), &list);

    for number in 0..4 {
        let bystander = crash(number, 100 + number, &[SHARED]);
        tracker.take(at(0), &RunEvent { age_ms: 9_000 - 500 * number, ..bystander }, &list);
    }
    tracker.take(at(10), &crash(9, 9, &[FATAL, SHARED]), &list);

    assert!(tracker.take_fatal_parts(at(60_000)).is_empty());
    let view = tracker.refresh(TermNumber(2), &list);
    assert_eq!((&*view.quarantined_parts, &*view.suspected_parts), (&[FATAL][..], &[][..]));
}

/// Guards against a lifted quarantine that returns with the old crashes, or never returns.
#[test]
fn a_lifted_part_takes_as_many_crashes_again() {
    let mut list = QuarantineList::default();
    let mut tracker = QuarantineTracker::default();
    (0..4).for_each(|n| tracker.take(at(500 * n), &crash(n, n, &[FATAL]), &list));
    let fatal = tracker.take_fatal_parts(at(2_000));
    list.add_part(&fatal[0]);
    tracker.added_part(at(2_000), &fatal[0]);

    list.lift_part(FATAL);
    tracker.lifted_part(at(3_000), FATAL);
    (0..4).for_each(|n| {
        let old = RunEvent { age_ms: 3_100 - 500 * n, ..crash(n, n, &[FATAL]) };
        tracker.take(at(3_100), &old, &list);
    });
    let after_old = tracker.take_fatal_parts(at(4_000)).len();
    (10..14).for_each(|n| tracker.take(at(500 * n), &crash(n, n, &[FATAL]), &list));

    assert_eq!(after_old, 0);
    assert_eq!(tracker.take_fatal_parts(at(8_000)).len(), 1);
}

/// Guards against a permanent quarantine although the affected endpoints have been replaced.
#[test]
fn the_quarantine_of_a_part_is_lifted_after_an_hour() {
    let mut list = QuarantineList::default();
    let endpoints = vec![IncarnationId::new("i-1")];
    list.add_part(&PartRecord { part: FATAL, rule: String::new(), team: None, endpoints });
    let mut tracker = QuarantineTracker::default();

    let first = tracker.keep_parts(at(0), &list);
    let before = tracker.keep_parts(at(3_599_000), &list);
    let after = tracker.keep_parts(at(3_600_000), &list);

    assert_eq!((first, before, after), (Vec::new(), Vec::new(), vec![FATAL]));
    assert!(tracker.keep_parts(at(3_600_100), &list).is_empty(), "a lift is requested once");
}

/// Guards against memory that grows with every part in a crash, and against a flood of parts that
/// hides the guilty one.
#[test]
fn many_parts_in_crashes_use_bounded_memory_and_do_not_hide_a_fatal_one() {
    let mut book = PartBook::default();
    record(&mut book, 0..3, &[FATAL]);

    for number in 0..20_000_u64 {
        let part = PartId(0x10_000 + u128::from(number));
        book.record_crash(at(1_500), &crash(1_000 + number % 7, number, &[part]));
    }
    record(&mut book, 3..4, &[FATAL]);

    assert!(book.len() <= 2_048, "{} parts are stored", book.len());
    assert!(book.suspects().contains(&FATAL));
    assert_eq!(fatal_parts(&mut book, at(2_000)), [FATAL]);
}

/// Guards against reports that grow with the number of parts of a prompt.
#[test]
fn reports_of_long_prompts_are_bounded() {
    let mut log = EvidenceLog::default();
    let parts: Vec<PartId> = (0..1_000).map(PartId).collect();
    let end = crash(1, 1, &[]).end;

    for number in 0..300_u64 {
        let print = RequestFingerprint(number.into());
        log.note_with_parts(at(number), print, &parts[..7], end.clone());
    }
    let usual = log.events_to_report(at(300));
    log.note_with_parts(at(301), RequestFingerprint(1), &parts, end);
    let longest = log.events_to_report(at(301));

    let listed = |events: &[RunEvent]| events.iter().map(|event| event.parts.len()).sum::<usize>();
    assert!(listed(&usual) <= 512 && usual.len() > 64, "{} events", usual.len());
    assert_eq!(listed(&longest), 512, "the newest event is kept");
}

/// Guards against an entry that forgets the completed runs of a popular part for those of many
/// others.
#[test]
fn completed_parts_are_bounded_and_the_latest_are_kept() {
    let mut parts = CompletedParts::default();

    for number in 0..10_000_u64 {
        parts.record(at(number), &[PartId(1_000 + u128::from(number)), SHARED]);
    }

    let asked = [SHARED, PartId(1_000), PartId(10_999), FATAL];
    let known = parts.completions(at(10_000), &asked);
    assert_eq!(known, [completed(SHARED, 1), completed(PartId(10_999), 1)]);
    assert!(parts.completions(at(700_000), &asked).is_empty(), "ten minutes later");
}

/// Guards against an entry that refuses a request for its own part only, or keeps a lifted part.
#[test]
fn a_request_has_the_status_of_its_worst_part() {
    let mut guard = QuarantineGuard::default();
    let suspect = PartId(0x5);
    let held = FingerprintView {
        version: ViewVersion { term: TermNumber(1), number: 1 },
        quarantined_parts: vec![FATAL],
        suspected_parts: vec![suspect],
        ..FingerprintView::default()
    };
    guard.adopt(held.clone());

    assert_eq!(guard.parts_status(&[]), QuarantineStatus::Clear);
    assert_eq!(guard.parts_status(&[SHARED]), QuarantineStatus::Clear);
    assert_eq!(guard.parts_status(&[SHARED, suspect]), QuarantineStatus::Suspect);
    assert_eq!(guard.parts_status(&[suspect, FATAL, SHARED]), QuarantineStatus::Quarantined);
    assert!(!guard.is_watching(), "no fingerprint has to be computed for parts");

    let lifted = guard.adopt(FingerprintView { quarantined_parts: Vec::new(), ..held });
    assert_eq!((lifted.parts, lifted.requests), (vec![FATAL], Vec::new()));
}

/// Guards against a list in which operators cannot tell parts from requests, or that grows.
#[test]
fn the_list_shows_what_a_record_refuses_and_is_bounded() {
    let mut list = QuarantineList::default();
    let record = |part: u128| PartRecord {
        part: PartId(part),
        rule: "draft".to_owned(),
        team: None,
        endpoints: vec![IncarnationId::new("i-1")],
    };

    (0..300).for_each(|part| list.add_part(&record(part)));
    list.add_part(&record(299));

    assert_eq!(list.parts().len(), 256);
    assert!(!list.holds_part(PartId(0)) && list.holds_part(PartId(299)));
    let shown = list.shown();
    assert_eq!(shown[0].kind, QuarantineKind::PromptPart);
    assert_eq!(shown[255].print, format!("{:032x}", 299));
}

/// Guards against ids of messages that collide or depend on the entry.
#[test]
fn ids_of_messages_distinguish_role_content_and_deployment() {
    let key = FingerprintKey::new("secret");
    let id = key.part_id("system", b"\"be brief\"");

    assert_eq!(id, FingerprintKey::new("secret").part_id("system", b"\"be brief\""));
    assert_ne!(id, FingerprintKey::new("other").part_id("system", b"\"be brief\""));
    assert_ne!(id, key.part_id("user", b"\"be brief\""));
    assert_ne!(id, key.part_id("system", b"\"be brief \""));
}
