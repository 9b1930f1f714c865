//! Admission under overload, loss of capacity and limits.

mod model;

use std::time::Duration;

use assert_matches::assert_matches;
use briartray_model::TimePoint;
use briartray_model::names::{RuleName, ServiceName, TeamName};
use briartray_model::rules::AdmitAction;
use briartray_routing::admission::{
    AdmissionQueue, AdmissionRefusal, AdmissionRequest, AdmissionVerdict, LimitKey, RefusalCause,
    TicketNumber,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use model::{LoadPlan, TeamLoad, run_admitted, run_unlimited};

fn desk() -> ServiceName {
    ServiceName::new("desk")
}

fn queue(slots: u64) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(1000);
    queue.set_capacity(&desk(), slots);
    queue
}

fn offer(
    queue: &mut AdmissionQueue,
    now: TimePoint,
    team: &str,
    action: &AdmitAction,
) -> Result<TicketNumber, AdmissionRefusal> {
    let deadline = now.after(Duration::from_millis(action.deadline_ms.into()));
    let (service, team) = (desk(), TeamName::new(team));
    let request =
        AdmissionRequest { service: &service, team: &team, action, limit: None, deadline };
    queue.offer(now, &request)
}

fn at(millis: u64) -> TimePoint {
    TimePoint(millis * 1000)
}

/// Returns a queue with a single slot, a known service time of one second and a request that
/// occupies the slot.
fn busy_queue() -> (AdmissionQueue, TicketNumber) {
    let mut queue = queue(1);
    let first = offer(&mut queue, at(0), "a", &AdmitAction::default()).expect("a slot is free");
    queue.step(at(0));
    queue.finish(at(1000), first, true);
    let holder = offer(&mut queue, at(1000), "a", &AdmitAction::default()).expect("a slot is free");
    queue.step(at(1000));
    (queue, holder)
}

fn runs(queue: &mut AdmissionQueue, now: TimePoint) -> Vec<TicketNumber> {
    let outputs = queue.step(now).into_iter();
    outputs.filter(|o| o.verdict == AdmissionVerdict::Run).map(|output| output.ticket).collect()
}

#[test]
fn late_request_is_refused_at_once_and_admitted_after_the_retry_time() {
    // The queue is longer than the caller's deadline allows. The request must be refused at once,
    // with a retry time after which there is room for it.
    let (mut queue, mut holder) = busy_queue();
    let action = AdmitAction { deadline_ms: 5000, ..AdmitAction::default() };
    let mut now = at(1000);
    let refusal = loop {
        match offer(&mut queue, now, "a", &action) {
            Ok(_) => {}
            Err(refusal) => break refusal,
        }
    };
    let back = now.after(refusal.retry_after);

    while now < back {
        now = now.after(Duration::from_secs(1));
        queue.finish(now, holder, true);
        holder = runs(&mut queue, now)[0];
    }

    assert_eq!(refusal.cause, RefusalCause::TooLate);
    assert!(refusal.retry_after <= Duration::from_secs(2), "{refusal:?}");
    assert!(offer(&mut queue, now, "a", &action).is_ok());
}

#[test]
fn waiting_requests_are_refused_when_replicas_fail() {
    // All replicas of the service fail while requests wait. The requests must be refused in the
    // next step and not at their deadline two minutes later.
    let (mut queue, _) = busy_queue();
    offer(&mut queue, at(1000), "a", &AdmitAction::default()).expect("the request may wait");
    queue.set_capacity(&desk(), 0);

    let outputs = queue.step(at(1060));

    assert_eq!(outputs.len(), 1);
    assert_matches!(
        outputs[0].verdict,
        AdmissionVerdict::Refuse(refusal) if refusal.cause == RefusalCause::NoReplica
    );
    assert_eq!(queue.waiting(), 0);
}

#[test]
fn waiting_request_that_would_be_late_is_refused_before_its_deadline() {
    // The request was admitted when the service took a second for each request; then the slot is
    // never released.
    let (mut queue, _) = busy_queue();
    let action = AdmitAction { deadline_ms: 2500, ..AdmitAction::default() };
    offer(&mut queue, at(1000), "a", &action).expect("only one request is ahead");

    let refused_at = (1000..4000).step_by(50).find(|millis| !queue.step(at(*millis)).is_empty());

    assert!(
        refused_at.is_some_and(|millis| millis < 3500),
        "deadline 3500 ms, refused at {refused_at:?}"
    );
}

#[test]
fn full_team_queue_refuses_with_time_to_drain() {
    let (mut queue, _) = busy_queue();
    let action = AdmitAction { queue: 4, ..AdmitAction::default() };
    for _ in 0..4 {
        offer(&mut queue, at(1000), "a", &action).expect("the request may wait");
    }

    let refusal = offer(&mut queue, at(1000), "a", &action).expect_err("the queue is full");

    assert_eq!(refusal.cause, RefusalCause::TeamQueueFull);
    assert_eq!(refusal.retry_after, Duration::from_millis(2500));
}

#[test]
fn large_team_cannot_fill_the_entry() {
    // One team opens as many requests as the entry can hold. When another team arrives, the newest
    // request of the first team must be refused at once to make room.
    let mut queue = AdmissionQueue::new(20);
    queue.set_capacity(&desk(), 1);
    for _ in 0..20 {
        offer(&mut queue, at(0), "large", &AdmitAction::default()).expect("the request may wait");
        queue.step(at(0));
    }

    let large = offer(&mut queue, at(1), "large", &AdmitAction::default());
    let small = offer(&mut queue, at(1), "small", &AdmitAction::default());
    let outputs = queue.step(at(1));

    assert_matches!(large, Err(refusal) if refusal.cause == RefusalCause::EntryFull);
    assert!(small.is_ok());
    assert_eq!(outputs.len(), 1);
    assert_eq!(outputs[0].ticket, TicketNumber(20));
    assert_matches!(outputs[0].verdict, AdmissionVerdict::Refuse(_));
}

#[test]
fn requeued_request_keeps_its_place() {
    // All replicas turned out to be full. The requeued request must stay ahead of later ones, and
    // must not be dispatched again at once.
    let mut queue = queue(2);
    let first = offer(&mut queue, at(0), "a", &AdmitAction::default()).expect("a slot is free");
    let second = offer(&mut queue, at(0), "a", &AdmitAction::default()).expect("a slot is free");
    queue.step(at(0));
    let third =
        offer(&mut queue, at(1), "a", &AdmitAction::default()).expect("the request may wait");

    queue.requeue(at(2), first);
    let at_once = runs(&mut queue, at(2));
    queue.finish(at(20), second, true);
    let later = runs(&mut queue, at(20));

    assert_eq!(at_once, []);
    assert_eq!(later, [first, third]);
}

#[test]
fn high_priority_goes_first_and_low_priority_does_not_starve() {
    let high = AdmitAction { priority: 200, ..AdmitAction::default() };
    let low = AdmitAction { priority: 10, ..AdmitAction::default() };
    let mut queue = queue(1);
    let mut served = [0_u32; 2];
    let mut low_tickets = Vec::new();
    for _ in 0..100 {
        offer(&mut queue, at(0), "traders", &high).expect("the request may wait");
        low_tickets.push(offer(&mut queue, at(0), "office", &low).expect("the request may wait"));
    }

    for round in 0..80 {
        let ticket = runs(&mut queue, at(round))[0];
        served[usize::from(low_tickets.contains(&ticket))] += 1;
        queue.finish(at(round), ticket, true);
    }

    assert_eq!(served, [70, 10]);
}

#[test]
fn limits_are_never_exceeded() {
    // Checks random arrivals, completions and pauses against a separate count: no more requests in
    // flight than the limit, and no more starts in any second than the rate and its burst allow.
    let key = LimitKey { rule: RuleName::new("office"), team: TeamName::new("office") };
    let (service, team) = (desk(), TeamName::new("office"));
    let action = AdmitAction { queue: 10_000, ..AdmitAction::default() };
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut queue = AdmissionQueue::new(100_000);
    queue.set_capacity(&service, 1000);
    queue.set_limit(at(0), &key, Some(7), Some(50.0));
    let mut running: Vec<TicketNumber> = Vec::new();
    let mut starts: Vec<u64> = Vec::new();

    for millis in 0..20_000 {
        let now = at(millis);
        if random.random_bool(0.2) {
            let deadline = now.after(Duration::from_secs(3600));
            let limit = Some(&key);
            let request = AdmissionRequest {
                service: &service,
                team: &team,
                action: &action,
                limit,
                deadline,
            };
            queue.offer(now, &request).expect("the request may wait");
        }
        for ticket in runs(&mut queue, now) {
            running.push(ticket);
            starts.push(millis);
        }
        assert!(running.len() <= 7);
        if !running.is_empty() && random.random_bool(0.06) {
            let done = running.swap_remove(random.random_range(0..running.len()));
            queue.finish(now, done, true);
        }
    }

    let busiest = (0..starts.len())
        .map(|first| starts[first..].iter().take_while(|at| **at < starts[first] + 1000).count())
        .max();
    assert!(busiest <= Some(50 + 25 + 1), "{busiest:?} starts in one second");
    assert!(starts.len() > 900, "{} starts in 20 s at 50 per second", starts.len());
}

/// A large team that demands `times` the capacity, and a small team that demands a tenth of it.
fn two_teams(times: f64) -> LoadPlan {
    LoadPlan {
        slots: 20,
        service_ms: 400,
        deadline_ms: 2000,
        seconds: 60,
        teams: vec![
            TeamLoad { name: "large", weight: 1, rate: times * 50.0 },
            TeamLoad { name: "small", weight: 1, rate: 5.0 },
        ],
    }
}

#[test]
fn goodput_does_not_fall_as_load_rises() {
    // Callers send four times the capacity. Without admission control, all requests wait in one
    // queue until their callers have given up, and replicas work on answers that nobody reads.
    let useful: Vec<f64> = [1.0, 1.5, 2.0, 4.0]
        .iter()
        .map(|times| run_admitted(&two_teams(*times), 1).iter().map(|team| team.useful).sum())
        .collect();
    let naive: f64 = run_unlimited(&two_teams(4.0), 1).iter().map(|team| team.useful).sum();

    assert!(useful.iter().all(|rate| *rate >= 45.0), "capacity 50 per second: {useful:?}");
    assert!(naive < 10.0, "{naive}");
}

#[test]
fn small_team_keeps_its_share_beside_a_large_one() {
    let teams = run_admitted(&two_teams(4.0), 2);
    let naive = run_unlimited(&two_teams(4.0), 2);

    assert!(teams[1].useful >= 0.95 * teams[1].offered, "{teams:?}");
    assert!(naive[1].useful <= 0.2 * naive[1].offered, "{naive:?}");
}

#[test]
fn teams_share_slots_by_weight() {
    let mut plan = two_teams(4.0);
    plan.teams[0].weight = 3;
    plan.teams[1].rate = 200.0;

    let teams = run_admitted(&plan, 3);

    let ratio = teams[0].useful / teams[1].useful;
    assert!((2.7..3.3).contains(&ratio), "{teams:?}");
}

/// Exact shares of `amount` by weight, where no team gets more than it demands.
fn exact_shares(teams: &[TeamLoad], amount: f64) -> Vec<f64> {
    let mut shares = vec![0.0; teams.len()];
    let mut open: Vec<usize> = (0..teams.len()).collect();
    let mut left = amount;
    while !open.is_empty() {
        let weights: f64 = open.iter().map(|team| f64::from(teams[*team].weight)).sum();
        let part = |team: usize| left * f64::from(teams[team].weight) / weights;
        let met: Vec<usize> =
            open.iter().copied().filter(|team| teams[*team].rate <= part(*team)).collect();
        if met.is_empty() {
            open.iter().for_each(|team| shares[*team] = part(*team));
            return shares;
        }
        for team in &met {
            shares[*team] = teams[*team].rate;
        }
        left -= met.iter().map(|team| teams[*team].rate).sum::<f64>();
        open.retain(|team| !met.contains(team));
    }
    shares
}

#[test]
fn every_team_gets_nearly_its_exact_share() {
    // Eight teams of random size and weight demand more than the capacity. A team that demands less
    // than its share must get all of its demand; the others split the rest by weight.
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    for seed in 0..5 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let teams: Vec<TeamLoad> = names
            .iter()
            .map(|name| TeamLoad {
                name,
                weight: random.random_range(1..=4),
                rate: random.random_range(4.0..60.0),
            })
            .collect();
        let plan = LoadPlan { slots: 20, service_ms: 200, deadline_ms: 1500, seconds: 60, teams };

        let results = run_admitted(&plan, seed);

        let served: f64 = results.iter().map(|team| team.useful).sum();
        let exact = exact_shares(&plan.teams, served);
        for (result, exact) in results.iter().zip(&exact) {
            let error = (result.useful - exact).abs() / exact;
            assert!(error < 0.15, "seed {seed}: {} per second, expected {exact}", result.useful);
        }
        assert!(served >= 90.0, "capacity 100 per second: {served}");
    }
}

#[test]
fn refusals_come_at_once_or_well_before_the_deadline() {
    let teams = run_admitted(&two_teams(4.0), 4);

    assert!(teams[0].refused_at_once >= 0.9 * teams[0].refused, "{teams:?}");
    assert_eq!(teams[0].late, 0.0, "no admitted request ends late: {teams:?}");
}
