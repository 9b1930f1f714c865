//! Requests that crash endpoints, told from those that only share an endpoint with them.

use std::time::Duration;

use briartray_model::message::{PrintView, RunEnd, RunEvent, ViewVersion};
use briartray_model::names::{IncarnationId, RequestPrint, TeamName, TermNumber};
use briartray_model::{TimePoint, codec};
use briartray_quarantine::{
    CrashBook, EvidenceLog, FATAL_CRASHES, PrintGuard, PrintKey, PrintParts, PrintStanding,
    QuarantineList, QuarantineRecord, QuarantineTracker,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: TimePoint = TimePoint(5_000_000);
const FATAL: RequestPrint = RequestPrint(7);

fn at(millis: u64) -> TimePoint {
    START.after(Duration::from_millis(millis))
}

fn crashed(endpoint: &str) -> RunEnd {
    let team = Some(TeamName::new("traders"));
    let (endpoint, rule) = (IncarnationId::new(endpoint), "draft".to_owned());
    RunEnd::Crashed { endpoint, ran_ms: 1_000, rule, team }
}

fn event(print: RequestPrint, end: RunEnd) -> RunEvent {
    RunEvent { print, age_ms: 0, end }
}

/// A book in which `print` was at all crashes, half a second apart, but the one that would make it fatal.
fn nearly_fatal(print: RequestPrint) -> CrashBook {
    let mut book = CrashBook::default();
    for number in 1..FATAL_CRASHES {
        let millis = 500 * u64::try_from(number).expect("a few crashes");
        book.take(at(millis), &event(print, crashed(&format!("i-{number}"))));
    }
    book
}

fn fatal_prints(book: &mut CrashBook) -> Vec<RequestPrint> {
    book.take_fatal().into_iter().map(|record| record.print).collect()
}

fn record(print: u128) -> QuarantineRecord {
    let endpoints = vec![IncarnationId::new("i-1")];
    QuarantineRecord { print: RequestPrint(print), rule: "draft".to_owned(), team: None, endpoints }
}

/// Guards against a request that crashes endpoint after endpoint.
#[test]
fn several_crashes_in_a_row_are_fatal() {
    let mut book = nearly_fatal(FATAL);
    let suspected = (fatal_prints(&mut book), book.suspects());

    book.take(at(3_000), &event(FATAL, crashed("i-9")));
    let fatal = book.take_fatal();

    assert_eq!(suspected, (Vec::new(), vec![FATAL]));
    assert_eq!(fatal.len(), 1);
    assert_eq!((fatal[0].print, &*fatal[0].rule), (FATAL, "draft"));
    assert_eq!(fatal[0].endpoints.len(), FATAL_CRASHES);
    assert!(book.take_fatal().is_empty(), "it is proposed once");
    book.lost(FATAL);
    assert_eq!(fatal_prints(&mut book), [FATAL], "a proposal that was lost is made again");
}

/// Guards against a crash that counts once for each entry that saw it.
#[test]
fn a_crash_counts_once_however_many_entries_saw_it() {
    let mut book = CrashBook::default();

    for entry in 0..8 {
        book.take(at(entry * 300), &event(FATAL, crashed("i-0")));
    }

    assert!(fatal_prints(&mut book).is_empty());
    assert!(book.suspects().is_empty());
}

/// Guards against a popular request that is refused since it ran on many endpoints of a lost rack.
#[test]
fn endpoints_that_crash_together_count_as_one() {
    let mut book = CrashBook::default();

    for number in 0..10 {
        book.take(at(number * 20), &event(FATAL, crashed(&format!("i-{number}"))));
    }

    assert!(fatal_prints(&mut book).is_empty());
}

/// Guards against crashes that count as one because a request is sent on faster than a lost rack is noticed.
#[test]
fn crashes_of_runs_that_follow_each_other_count_one_by_one() {
    let mut book = CrashBook::default();
    let quick = |endpoint: &str| match crashed(endpoint) {
        RunEnd::Crashed { endpoint, rule, team, .. } => {
            RunEnd::Crashed { endpoint, ran_ms: 30, rule, team }
        }
        RunEnd::Whole => unreachable!("it crashed"),
    };

    for number in 0..FATAL_CRASHES {
        let millis = 35 * u64::try_from(number).expect("a few crashes");
        book.take(at(millis), &event(FATAL, quick(&format!("i-{number}"))));
    }

    assert_eq!(fatal_prints(&mut book), [FATAL]);
}

/// Guards against a sound request that is refused after three unlucky crashes over the day.
#[test]
fn a_whole_run_clears_a_request() {
    let mut book = nearly_fatal(FATAL);

    book.take(at(2_800), &event(FATAL, RunEnd::Whole));
    book.take(at(3_000), &event(FATAL, crashed("i-8")));
    book.take(at(3_500), &event(FATAL, crashed("i-9")));

    assert!(fatal_prints(&mut book).is_empty());
    // An entry whose word comes late tells of a crash from before the whole run.
    let late = RunEvent { age_ms: 1_500, ..event(FATAL, crashed("i-7")) };
    assert!(!book.take(at(4_000), &late));
}

/// Guards against a leader that starts anew and takes all that is told of the past for one moment.
#[test]
fn a_new_leader_counts_what_happened_before_its_start() {
    let mut log = EvidenceLog::default();
    for number in 0..FATAL_CRASHES {
        let millis = 500 * u64::try_from(number).expect("a few crashes");
        log.note(at(millis), FATAL, crashed(&format!("i-{number}")));
    }
    let now = at(20_000);
    assert!(log.events_to_report(now).is_empty(), "old runs are told to a new leader only");

    log.begin_leader(40);
    let events_to_report = log.events_to_report(now);
    let mut book = CrashBook::default();
    for event in &events_to_report {
        book.take(TimePoint(0), event);
    }

    assert_eq!(fatal_prints(&mut book), [FATAL]);
    log.confirmed(40);
    assert_eq!(
        log.events_to_report(now).len(),
        FATAL_CRASHES,
        "a report from before says nothing of the new leader"
    );
    log.confirmed(41);
    assert!(log.events_to_report(now).is_empty());
}

/// Guards against a lifted quarantine that comes back with the next leader.
#[test]
fn runs_of_a_request_that_was_let_out_are_forgotten() {
    let mut log = EvidenceLog::default();
    log.note(at(0), FATAL, crashed("i-0"));
    log.note(at(0), RequestPrint(8), crashed("i-0"));
    let mut guard = PrintGuard::default();
    let version = ViewVersion { term: TermNumber(1), number: 1 };
    let held = PrintView { version, quarantined: vec![FATAL], suspects: Vec::new() };
    guard.adopt(held.clone());
    assert_eq!(guard.standing(FATAL), PrintStanding::Quarantined);

    for print in guard.adopt(PrintView { quarantined: Vec::new(), ..held }) {
        log.forget(print);
    }

    assert_eq!(guard.standing(FATAL), PrintStanding::Clear);
    assert!(!guard.is_watching());
    assert_eq!(log.events_to_report(at(0)).len(), 1);
}

/// Guards against memory that grows with every request which was at a crash.
#[test]
fn many_requests_at_crashes_take_bounded_memory_and_do_not_hide_a_fatal_one() {
    let mut book = nearly_fatal(FATAL);
    let mut log = EvidenceLog::default();

    for number in 0..20_000_u128 {
        let print = RequestPrint(100 + number);
        let now = at(2_000 + u64::try_from(number).expect("it is small"));
        book.take(now, &event(print, crashed("i-x")));
        log.note(now, print, crashed("i-x"));
    }
    book.take(at(30_000), &event(FATAL, crashed("i-9")));

    assert!(book.len() <= 2_048, "{} requests are kept", book.len());
    let events_to_report =
        codec::encode(&log.events_to_report(at(22_000))).expect("events encode").len();
    assert!(events_to_report <= 10_000, "{events_to_report} bytes in one report");
    assert_eq!(fatal_prints(&mut book), [FATAL]);
}

/// Guards against suspects that are never forgotten.
#[test]
fn crashes_count_for_ten_minutes() {
    let mut book = nearly_fatal(FATAL);
    let now = at(601_000 + 1_500);

    assert!(book.prune(now));
    book.take(now, &event(FATAL, crashed("i-9")));

    assert!(fatal_prints(&mut book).is_empty());
    assert!(book.suspects().is_empty());
}

/// Guards against a flood of fatal requests that fills the replicated state.
#[test]
fn the_quarantine_is_bounded_and_the_oldest_makes_room() {
    let mut list = QuarantineList::default();

    for print in 0..300 {
        list.add(&record(print));
        list.add(&record(print));
    }

    assert_eq!(list.records().len(), 256);
    assert!(!list.holds(RequestPrint(0)));
    assert!(list.holds(RequestPrint(299)));
    list.lift(RequestPrint(299));
    assert!(!list.holds(RequestPrint(299)));
}

/// Guards against a request that is refused for ever although what ran it was replaced.
#[test]
fn a_request_is_let_out_after_an_hour() {
    let mut list = QuarantineList::default();
    list.add(&record(7));
    let mut desk = QuarantineTracker::default();

    let first = desk.keep(at(0), &list);
    let before = desk.keep(at(3_599_000), &list);
    let after = desk.keep(at(3_600_000), &list);

    assert_eq!((first, before, after), (Vec::new(), Vec::new(), vec![FATAL]));
    assert!(desk.keep(at(3_600_100), &list).is_empty(), "once");
}

/// Guards against a lift that is undone by an entry which has not heard of it yet and tells of the old crashes.
#[test]
fn crashes_from_before_a_lift_do_not_count() {
    let mut list = QuarantineList::default();
    let mut desk = QuarantineTracker::default();
    let old = |desk: &mut QuarantineTracker, list: &QuarantineList, now: u64| {
        for number in 0..4_u64 {
            let late = event(FATAL, crashed(&format!("i-{number}")));
            let age_ms = now - number * 500;
            desk.take(at(now), &RunEvent { age_ms, ..late }, list);
        }
        desk.take_fatal().len()
    };
    assert_eq!(old(&mut desk, &list, 2_000), 1);
    list.add(&record(7));
    desk.added(FATAL);

    list.lift(FATAL);
    desk.lifted(at(2_500), FATAL);

    assert_eq!(old(&mut desk, &list, 2_600), 0);
}

/// Guards against an entry that takes the view of an earlier leader for the newest one.
#[test]
fn a_leader_tells_a_view_of_its_own_term() {
    let mut list = QuarantineList::default();
    let mut desk = QuarantineTracker::default();

    let empty = desk.refresh(TermNumber(3), &list).clone();
    list.add(&record(7));
    desk.added(FATAL);
    let held = desk.refresh(TermNumber(3), &list).clone();

    assert_eq!(empty.version, ViewVersion { term: TermNumber(3), number: 1 });
    assert_eq!(held.version, ViewVersion { term: TermNumber(3), number: 2 });
    assert_eq!(held.quarantined, [FATAL]);
    assert_eq!(desk.refresh(TermNumber(3), &list), &held, "nothing has changed");
    desk.take(at(0), &event(FATAL, crashed("i-1")), &list);
    assert!(!desk.is_view_stale(), "what is in quarantine is not counted again");
}

/// Guards against requests that are mixed up: each part counts, and only under the same secret.
#[test]
fn prints_tell_requests_apart() {
    let key = PrintKey::new("secret");
    let parts = PrintParts { host: "a", path: "/draft/1", team: Some("t"), body: b"prompt" };
    let others = [
        PrintParts { host: "b", ..parts },
        PrintParts { path: "/draft/1?x=1", ..parts },
        PrintParts { team: None, ..parts },
        PrintParts { team: Some(""), ..parts },
        PrintParts { body: b"prompt ", ..parts },
        PrintParts { path: "/draft/1prompt", body: b"", ..parts },
    ];

    let print = key.print(&parts);

    assert_eq!(print, PrintKey::new("secret").print(&parts));
    assert_ne!(print, PrintKey::new("other").print(&parts));
    assert!(others.iter().all(|other| key.print(other) != print));
}

/// A request that runs.
struct DayRequest {
    print: RequestPrint,
    group: usize,
    /// Endpoints that ran this copy.
    runs: u32,
    /// Times that its caller will still come back.
    returns: u32,
}

/// What a day of crashes brings, for the tests below. Entries send a copy to two endpoints at the most, and one
/// that is suspected to one.
struct CrashDay {
    random: ChaCha8Rng,
    book: CrashBook,
    running: Vec<DayRequest>,
    lives: Vec<u32>,
    next_print: u128,
}

impl CrashDay {
    const GROUPS: usize = 9;
    const RUNNING: usize = 160;

    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            book: CrashBook::default(),
            running: Vec::new(),
            lives: vec![0; Self::GROUPS],
            next_print: 1_000,
        }
    }

    fn any_group(&mut self) -> usize {
        self.random.random_range(0..Self::GROUPS)
    }

    /// A request begins: one in five is for the popular body, others have a body of their own. Most callers come
    /// back once, one in ten four times.
    fn begin(&mut self) {
        let popular = self.random.random_bool(0.2);
        self.next_print += 1;
        let print = if popular { RequestPrint(1) } else { RequestPrint(self.next_print) };
        let returns = if self.random.random_bool(0.1) { 4 } else { 1 };
        let group = self.any_group();
        self.running.push(DayRequest { print, group, runs: 1, returns });
    }

    /// A tenth of a second: a tenth of the requests ends, and new ones begin.
    fn tick(&mut self, now: TimePoint) {
        for _ in 0..Self::RUNNING / 10 {
            if self.running.is_empty() {
                break;
            }
            let ended = self.random.random_range(0..self.running.len());
            let print = self.running.swap_remove(ended).print;
            if self.book.suspects().contains(&print) {
                self.book.take(now, &event(print, RunEnd::Whole));
            }
        }
        while self.running.len() < Self::RUNNING {
            self.begin();
        }
    }

    /// The first endpoint of a group crashes; what ran there goes on elsewhere as far as that is allowed.
    fn crash(&mut self, now: TimePoint, group: usize) {
        self.lives[group] += 1;
        let endpoint = format!("i-{group}-{}", self.lives[group]);
        let (hit, rest) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request: &DayRequest| request.group == group);
        self.running = rest;
        for mut request in hit {
            self.book.take(now, &event(request.print, crashed(&endpoint)));
            if request.runs < 2 && !self.book.suspects().contains(&request.print) {
                request.runs += 1;
            } else if request.returns > 0 {
                request.returns -= 1;
                request.runs = 1;
            } else {
                continue;
            }
            request.group = self.any_group();
            self.running.push(request);
        }
    }
}

/// Guards against sound requests in quarantine on days on which endpoints crash for other reasons: one crash a
/// second on average for a minute, single ones and racks of three.
#[test]
fn plain_crashes_quarantine_no_sound_request() {
    for seed in 0..40 {
        let mut day = CrashDay::new(seed);
        let mut fatal = Vec::new();
        for tick in 0..600 {
            let now = at(tick * 100);
            day.tick(now);
            if day.random.random_bool(0.07) {
                let group = day.any_group();
                day.crash(now, group);
            }
            if day.random.random_bool(0.01) {
                (0..3).for_each(|group| day.crash(now, group));
            }
            fatal.extend(day.book.take_fatal());
        }
        assert!(fatal.is_empty(), "seed {seed}: {fatal:?}");
    }
}

/// Guards against a fatal request that hides among the crashes of other requests.
#[test]
fn a_fatal_request_is_found_among_plain_crashes() {
    for seed in 0..40 {
        let mut day = CrashDay::new(seed);
        let mut runs = 0;
        let mut found = false;
        for tick in 0..600 {
            let now = at(tick * 100);
            day.tick(now);
            let group = day.any_group();
            if tick % 4 == 0 && !found {
                day.running.push(DayRequest { print: FATAL, group, runs: 2, returns: 0 });
                runs += 1;
                day.crash(now, group);
            } else if day.random.random_bool(0.05) {
                day.crash(now, group);
            }
            found |= fatal_prints(&mut day.book).contains(&FATAL);
        }
        assert_eq!((found, runs), (true, FATAL_CRASHES), "seed {seed}");
    }
}
