//! Endpoints that accept no requests from an entry, and their return.

use std::time::Duration;

use briartray_fleet::deployment::{CallerLimits, DeploymentPlan, RouteBook, ServiceSpec};
use briartray_fleet::entry::{
    ChoiceRefusal, HoldBook, LoadSample, SLOW_START, SendHold, TargetId, TargetQuery, TargetTable,
};
use briartray_fleet::message::{EndpointView, FleetView, ViewVersion};
use briartray_model::TimePoint;
use briartray_model::names::{IncarnationId, ServiceName, TermNumber, ZoneName};

/// Number of endpoints in a simulated deployment.
const ENDPOINTS: u64 = 5;

/// Requests that one endpoint runs concurrently.
const SLOTS: usize = 32;

/// Time without requests that the simulated endpoint asks for, in milliseconds.
const BACKOFF_MS: u64 = 3_000;

/// Time from a request to its answer in the simulation, in milliseconds.
const ANSWER_MS: u64 = 20;

/// Time after a rejection for which requests may still be under way, in milliseconds.
const UNDER_WAY_MS: u64 = 500;

/// Requests that may reach an endpoint from one entry during the rest of its backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// Requests that all entries together send in one millisecond.
const REQUESTS_PER_MS: u64 = 2;

fn at(millis: u64) -> TimePoint {
    TimePoint(10_000_000 + millis * 1_000)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoint(number: u64) -> IncarnationId {
    IncarnationId::new(&format!("plain-{number}"))
}

fn book() -> RouteBook {
    RouteBook::compile(DeploymentPlan {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceSpec {
            name: ServiceName::new("ledger"),
            health_path: "/health".to_owned(),
            max_connections: 100,
            cold: None,
            engine: None,
        }],
        limits: CallerLimits {
            max_head_bytes: 1 << 14,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: Vec::new(),
    })
}

fn view(endpoints: u64) -> FleetView {
    let view = |number| EndpointView {
        id: endpoint(number),
        service: ServiceName::new("ledger"),
        address: format!("10.0.1.{number}:80"),
        zone: ZoneName::new("a"),
        slots: SLOTS,
        cold: None,
    };
    FleetView { endpoints: (1..=endpoints).map(view).collect(), ..FleetView::default() }
}

fn table(endpoints: u64, seed: u64) -> TargetTable {
    let mut table = TargetTable::new(ZoneName::new("a"), seed);
    table.adopt(TimePoint(0), view(endpoints));
    table
}

fn choose(
    table: &mut TargetTable,
    now: TimePoint,
    tried: &[TargetId],
) -> Result<IncarnationId, ChoiceRefusal> {
    let ledger = ServiceName::new("ledger");
    let query = TargetQuery { service: &ledger, model: None, tried, latency: None };
    table.choose(now, &book(), &query).map(|choice| choice.endpoint)
}

/// Guards against a backoff that ends early because a later answer asked for less time.
#[test]
fn a_backoff_lasts_until_its_latest_end() {
    let mut book = HoldBook::default();

    let begins = book.record_backoff(at(0), &endpoint(1), millis(3_000));
    let begins_again = book.record_backoff(at(100), &endpoint(1), millis(500));

    assert!(begins && !begins_again);
    let left = millis(400);
    assert_eq!(book.hold(at(2_600), &endpoint(1)), Some(SendHold::Backoff { left }));
    assert_eq!(book.hold(at(3_000), &endpoint(1)), None);
}

/// Guards against a time so long that its end overflows and the backoff is lost.
#[test]
fn a_backoff_may_last_without_end() {
    let mut book = HoldBook::default();

    book.record_backoff(at(0), &endpoint(1), Duration::MAX);

    let later = at(1_000_000_000);
    assert!(matches!(book.hold(later, &endpoint(1)), Some(SendHold::Backoff { .. })));
}

/// Guards against a restarted endpoint that gets no requests because of its previous incarnation.
#[test]
fn a_hold_ends_with_the_incarnation() {
    let old = IncarnationId::started("plain-1", Some(7));
    let new = IncarnationId::started("plain-1", Some(8));
    let mut book = HoldBook::default();

    book.record_backoff(at(0), &old, millis(3_000));

    assert!(book.hold(at(10), &old).is_some());
    assert_eq!(book.hold(at(10), &new), None);
}

/// Guards against callers that wait, or return too early, while every endpoint is in a backoff.
#[test]
fn requests_are_refused_until_the_first_backoff_ends() {
    let mut table = table(2, 1);
    table.holds_mut().record_backoff(at(0), &endpoint(1), millis(3_000));
    table.holds_mut().record_backoff(at(0), &endpoint(2), millis(2_000));

    let refusal = choose(&mut table, at(500), &[]);
    let refusal_after_try = choose(&mut table, at(500), &[TargetId::Endpoint(endpoint(2))]);
    let choice = choose(&mut table, at(2_000), &[]);

    let wait = millis(1_500);
    assert_eq!(refusal, Err(ChoiceRefusal::Backoff { wait }));
    assert_eq!(refusal_after_try, Err(ChoiceRefusal::Backoff { wait }));
    assert_eq!(choice, Ok(endpoint(2)));
}

/// Guards against callers that wait for the end of a backoff although another endpoint may have
/// room at any moment.
#[test]
fn a_full_endpoint_precedes_one_in_a_backoff() {
    let mut table = table(2, 1);
    let full = LoadSample { running: 1_000, waiting: 0, slots: 32 };
    table.holds_mut().record_backoff(at(0), &endpoint(1), millis(3_000));
    table.sample(at(0), &TargetId::Endpoint(endpoint(2)), full);

    assert_eq!(choose(&mut table, at(10), &[]), Err(ChoiceRefusal::Full));
}

/// Guards against an endpoint that is chosen again because a later view still lists it.
#[test]
fn an_endpoint_that_answered_that_it_is_leaving_is_not_chosen_again() {
    let mut table = table(1, 1);
    let newer = ViewVersion { term: TermNumber(2), number: 1 };

    let first = table.holds_mut().record_leaving(at(0), &endpoint(1));
    let again = table.holds_mut().record_leaving(at(10), &endpoint(1));
    table.holds_mut().set_announced(vec![endpoint(2)]);
    table.adopt(at(20), FleetView { version: newer, ..view(2) });
    let long_after = at(3_600_000);
    table.prune_holds(long_after);

    assert!(first && !again);
    assert!(table.holds().is_leaving(&endpoint(1)));
    assert_eq!(choose(&mut table, long_after, &[]), Err(ChoiceRefusal::NoReplica));
}

/// Guards against holds that pile up for endpoints that are gone.
#[test]
fn holds_of_endpoints_that_are_gone_are_removed() {
    let mut book = HoldBook::default();
    book.record_backoff(at(0), &endpoint(1), Duration::MAX);
    book.record_leaving(at(0), &endpoint(2));
    book.record_backoff(at(0), &endpoint(3), millis(100));

    book.prune(at(5_000), |_| false);
    let kept = book.count(at(5_000));
    book.prune(at(3_600_000), |_| false);

    assert_eq!((kept.backoff, kept.leaving), (1, 1));
    assert!(book.hold(at(3_600_000), &endpoint(1)).is_none());
    assert!(!book.is_leaving(&endpoint(2)));
}

/// Requests that reached one endpoint, each with its time in milliseconds and its entry.
struct ArrivalLog(Vec<(u64, usize)>);

impl ArrivalLog {
    fn between(&self, from: u64, until: u64) -> usize {
        self.0.iter().filter(|(time, _)| (from..until).contains(time)).count()
    }

    /// Largest number of requests of one entry between `from` and `until`.
    fn most_of_one_entry(&self, entries: usize, from: u64, until: u64) -> usize {
        let of_entry = |entry: usize| {
            let counts = |(time, by): &&(u64, usize)| *by == entry && (from..until).contains(time);
            self.0.iter().filter(counts).count()
        };
        (0..entries).map(of_entry).max().unwrap_or(0)
    }
}

/// Lets `entries` entries send requests for ten seconds; the first endpoint rejects those that arrive
/// in the first second. Returns the requests that reach it.
fn arrivals_around_a_backoff(entries: usize) -> ArrivalLog {
    let mut tables: Vec<_> = (0..entries).map(|entry| table(ENDPOINTS, entry as u64)).collect();
    let mut arrivals = Vec::new();
    let mut answers: Vec<(u64, usize, IncarnationId, bool)> = Vec::new();
    for now in 0..10_000 {
        answers.retain(|(due, entry, id, rejected)| {
            if *due > now {
                return true;
            }
            let table = &mut tables[*entry];
            table.end(at(now), &TargetId::Endpoint(id.clone()));
            if *rejected {
                table.holds_mut().record_backoff(at(now), id, millis(BACKOFF_MS));
            }
            false
        });
        for request in 0..REQUESTS_PER_MS {
            let entry = (now * REQUESTS_PER_MS + request) as usize % entries;
            let Ok(id) = choose(&mut tables[entry], at(now), &[]) else { continue };
            tables[entry].begin(at(now), &TargetId::Endpoint(id.clone()));
            let limited = id == endpoint(1);
            if limited {
                arrivals.push((now, entry));
            }
            answers.push((now + ANSWER_MS, entry, id, limited && now < 1_000));
        }
    }
    ArrivalLog(arrivals)
}

/// Guards against entries that send during a backoff, that return all at once after it, or that
/// do not give the endpoint its share again.
#[test]
fn entries_observe_a_backoff_and_return_gradually() {
    for entries in [2, 10, 40] {
        let arrivals = arrivals_around_a_backoff(entries);
        let first = arrivals.0.first().expect("requests reach it at first").0;
        // Each entry is rejected at its own time, up to a second after the first one.
        let (begin, end) = (first + 1_000 + UNDER_WAY_MS, first + ANSWER_MS + BACKOFF_MS);

        let in_backoff = arrivals.most_of_one_entry(entries, begin, end);
        let window = SLOW_START.as_millis() as u64 / 10;
        let usual = REQUESTS_PER_MS * 1_000 / ENDPOINTS;
        let at_once = arrivals.between(end, end + window);
        let later = arrivals.between(end + 2_000, end + 3_000);

        assert!(in_backoff <= MAX_REQUESTS_IN_BACKOFF, "{entries} entries: {in_backoff} requests");
        let most = usual * window / 1_000 / 2;
        assert!(at_once as u64 <= most, "{entries} entries: {at_once} at once, {most} allowed");
        let least = usual * 8 / 10;
        assert!(later as u64 >= least, "{entries} entries: {later} later, {least} expected");
    }
}

/// Sends requests for a second while the first endpoint rejects each at once; returns how many reach it.
/// `learns` tells whether the entry records the rejections.
fn requests_to_a_rejecting_endpoint(learns: bool) -> u64 {
    let mut table = table(ENDPOINTS, 1);
    let mut running: Vec<(u64, IncarnationId)> = Vec::new();
    let mut rejected = 0;
    for now in 0..1_000 {
        running.retain(|(end, id)| {
            if *end <= now {
                table.end(at(now), &TargetId::Endpoint(id.clone()));
            }
            *end > now
        });
        for _ in 0..REQUESTS_PER_MS {
            let id = choose(&mut table, at(now), &[]).expect("an endpoint has room");
            if id == endpoint(1) {
                rejected += 1;
                if learns {
                    table.holds_mut().record_rejection(at(now), &id, None);
                }
                continue;
            }
            table.begin(at(now), &TargetId::Endpoint(id.clone()));
            running.push((now + ANSWER_MS, id));
        }
    }
    rejected
}

/// Guards against an endpoint that attracts requests because it rejects them at once and so looks idle.
#[test]
fn a_rejecting_endpoint_gets_no_more_than_its_share() {
    let usual = REQUESTS_PER_MS * 1_000 / ENDPOINTS;

    let attracted = requests_to_a_rejecting_endpoint(false);
    let passed_over = requests_to_a_rejecting_endpoint(true);

    assert!(attracted > usual, "{attracted} requests show no attraction");
    assert!(passed_over <= usual / 10, "{passed_over} requests, {usual} is its share");
}

/// Guards against callers that are refused although the only endpoint left accepts some requests.
#[test]
fn a_rejecting_endpoint_is_used_when_no_other_has_room() {
    let mut table = table(1, 1);

    table.holds_mut().record_rejection(at(0), &endpoint(1), Some(millis(3_000)));

    assert_eq!(choose(&mut table, at(10), &[]), Ok(endpoint(1)));
}
