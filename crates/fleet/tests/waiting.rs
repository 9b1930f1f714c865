//! Tests of the admission queue of an entry, and of the rate of ends that it relies on.
//!
//! Loads are replayed against one entry's part of a model: `SLOTS` slots that a request holds for
//! `HOLD_MS`. The naive baseline refuses at once when no slot is free.

use std::time::Duration;

use briartray_fleet::entry::{
    CheckCause, CompletionRate, RefusedWait, TurnOutcome, WaitBounds, WaitQueue, WaitRefusal,
    WaitRequest, WaitTicket,
};
use briartray_model::TimePoint;
use briartray_model::names::{ServiceName, TeamName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MODEL: &str = "large";
/// Slots and time of a request in the replays: 30 requests end per second.
const SLOTS: usize = 60;
const HOLD_MS: u64 = 2_000;
const CAPACITY_PER_SECOND: f64 = 30.0;
/// 30 percent of a target of 500 ms.
const MAX_WAIT_MS: u64 = 150;
const BOUNDS: WaitBounds = WaitBounds { requests: 64, body_bytes: 4_096 * 1_024 };
/// Group time of a usual request and of one with a prompt of 5,800 tokens, in milliseconds.
const USUAL_MS: f64 = 70.0;
const LARGE_MS: f64 = 200.0;

fn service() -> ServiceName {
    ServiceName::new("chat")
}

fn at_ms(millis: u64) -> TimePoint {
    TimePoint(millis * 1_000)
}

/// A rate of `per_second` ends of the model in the second before `at_ms(1_000)`.
fn rate_of(per_second: u64) -> CompletionRate {
    let mut rate = CompletionRate::default();
    for end in 0..per_second {
        rate.record(at_ms(1 + end * 999 / per_second), &service(), MODEL);
    }
    rate
}

/// A request in a test.
#[derive(Debug, Clone, Copy)]
struct Offer {
    at: u64,
    team: u32,
    priority: u8,
    returned: bool,
    group_ms: f64,
    bytes: usize,
}

const OFFER: Offer =
    Offer { at: 1_000, team: 0, priority: 1, returned: false, group_ms: USUAL_MS, bytes: 6_000 };

fn offer_to(
    queue: &mut WaitQueue,
    rate: &CompletionRate,
    offer: &Offer,
    tried: Option<TurnOutcome>,
) -> Result<WaitTicket, WaitRefusal> {
    let team = TeamName::new(&format!("team-{}", offer.team));
    let request = WaitRequest {
        service: &service(),
        model: MODEL,
        priority: offer.priority,
        returned: offer.returned,
        team: Some(&team),
        group_ms: offer.group_ms,
        body_bytes: offer.bytes,
        max_wait: Duration::from_millis(MAX_WAIT_MS),
        tried,
    };
    queue.offer(at_ms(offer.at), rate, &request)
}

/// A queue in which `offers` wait, with a rate that reaches all of them.
fn queue_with(offers: &[Offer]) -> (WaitQueue, Vec<WaitTicket>) {
    let (mut queue, rate) = (WaitQueue::new(BOUNDS), rate_of(900));
    let offered = offers.iter().map(|offer| offer_to(&mut queue, &rate, offer, None).unwrap());
    let tickets = offered.collect();
    (queue, tickets)
}

/// Sends everything that waits; returns the tickets in the order of their turns.
fn drain_order(queue: &mut WaitQueue) -> Vec<WaitTicket> {
    let mut order = Vec::new();
    while !queue.is_empty() {
        queue.begin_check(CheckCause::Loads);
        while let Some(ticket) = queue.next_turn() {
            queue.settle(ticket, TurnOutcome::Sent);
            order.push(ticket);
        }
    }
    order
}

/// How a request of a replay ended, and after which wait in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    Sent(u64),
    Refused(u64, WaitRefusal),
}

/// Poisson arrivals at `load` of the capacity at each millisecond; team 0 makes `heavy` of them.
fn arrivals(seed: u64, until: u64, heavy: f64, load: impl Fn(u64) -> f64) -> Vec<Offer> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut offers = Vec::new();
    for at in 0..until {
        if random.random_range(0.0..1.0) < load(at) * CAPACITY_PER_SECOND / 1_000.0 {
            let of_others = random.random_range(1..24);
            let team = if random.random_range(0.0..1.0) < heavy { 0 } else { of_others };
            let group_ms = if random.random_range(0..20) == 0 { LARGE_MS } else { USUAL_MS };
            offers.push(Offer { at, team, group_ms, ..OFFER });
        }
    }
    offers
}

/// The present decision: a request that finds no free slot is refused at once.
fn replay_naive(offers: &[Offer]) -> Vec<Outcome> {
    let mut ends: Vec<u64> = Vec::new();
    let decide = |offer: &Offer| {
        ends.retain(|end| *end > offer.at);
        if ends.len() >= SLOTS {
            return Outcome::Refused(0, WaitRefusal::QueueFull);
        }
        ends.push(offer.at + HOLD_MS);
        Outcome::Sent(0)
    };
    offers.iter().map(decide).collect()
}

/// The same slots behind the queue, checked as the gateway does.
fn replay_queue(offers: &[Offer]) -> Vec<Outcome> {
    let (mut queue, mut rate) = (WaitQueue::new(BOUNDS), CompletionRate::default());
    let mut ends: Vec<u64> = Vec::new();
    let mut tickets: Vec<(WaitTicket, usize)> = Vec::new();
    let mut outcomes: Vec<Option<Outcome>> = vec![None; offers.len()];
    let mut arrived = 0;
    for now in 0..=offers.last().unwrap().at + MAX_WAIT_MS + 10 {
        let before = ends.len();
        ends.retain(|end| *end > now);
        for _ in ends.len()..before {
            rate.record(at_ms(now), &service(), MODEL);
        }
        if ends.len() < before || now % 10 == 0 {
            queue.expire(at_ms(now), &rate);
            let freed = ends.len() < before;
            queue.begin_check(if freed { CheckCause::Loads } else { CheckCause::Tick });
        }
        while let Some(offer) = offers.get(arrived).filter(|offer| offer.at == now) {
            let joins = queue.must_join(&service(), MODEL, offer.priority, offer.returned);
            if !joins && ends.len() < SLOTS {
                ends.push(now + HOLD_MS);
                outcomes[arrived] = Some(Outcome::Sent(0));
            } else {
                let tried = (!joins).then_some(TurnOutcome::NoSlot);
                match offer_to(&mut queue, &rate, offer, tried) {
                    Ok(ticket) => tickets.push((ticket, arrived)),
                    Err(refusal) => outcomes[arrived] = Some(Outcome::Refused(0, refusal)),
                }
            }
            arrived += 1;
        }
        let mut end = |ticket: WaitTicket, outcome: &dyn Fn(u64) -> Outcome| {
            let index = tickets.iter().find(|(known, _)| *known == ticket).unwrap().1;
            let waited = now - offers[index].at;
            assert_eq!(outcomes[index].replace(outcome(waited)), None, "two outcomes");
        };
        while let Some(ticket) = queue.next_turn() {
            let free = ends.len() < SLOTS;
            queue.settle(ticket, if free { TurnOutcome::Sent } else { TurnOutcome::NoSlot });
            if free {
                ends.push(now + HOLD_MS);
                end(ticket, &Outcome::Sent);
            }
        }
        for refused in queue.take_refused() {
            end(refused.ticket, &|waited| Outcome::Refused(waited, refused.refusal));
        }
    }
    outcomes.into_iter().map(|outcome| outcome.expect("an outcome")).collect()
}

/// Fraction of the requests for which `select` holds that were sent.
fn sent_fraction(offers: &[Offer], outcomes: &[Outcome], select: impl Fn(&Offer) -> bool) -> f64 {
    let selected = offers.iter().zip(outcomes).filter(|(offer, _)| select(offer));
    let (sent, all) = selected.fold((0, 0), |(sent, all), (_, outcome)| {
        (sent + usize::from(matches!(outcome, Outcome::Sent(_))), all + 1)
    });
    sent as f64 / all as f64
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
    assert_eq!(rate.per_second(at_ms(3_900), &service(), MODEL), 0.0);
}

/// Load: a burst of 1.7 for 14 s. Guards against refusing requests although a slot frees up soon,
/// and against waits beyond the limit.
#[test]
fn burst_serves_more_than_refusing_at_once() {
    let load = |at| if (6_000..20_000).contains(&at) { 1.7 * 0.9 } else { 0.9 };
    let (mut queued_sum, mut naive_sum) = (0.0, 0.0);
    for seed in 1..=5 {
        let offers = arrivals(seed, 26_000, 0.0, load);
        let queued = replay_queue(&offers);
        queued_sum += sent_fraction(&offers, &queued, |_| true) / 5.0;
        naive_sum += sent_fraction(&offers, &replay_naive(&offers), |_| true) / 5.0;
        for outcome in &queued {
            let (Outcome::Sent(waited) | Outcome::Refused(waited, _)) = *outcome;
            assert!(waited <= MAX_WAIT_MS + 10, "{outcome:?}");
        }
    }
    println!("sent: queue {queued_sum:.3}, refusing at once {naive_sum:.3}");
    assert!(queued_sum > naive_sum, "queue {queued_sum:.3}, naive {naive_sum:.3}");
}

/// Load: one of 24 teams makes a third of all requests, at 1.5 of the capacity. Guards against a
/// team that takes the slots of the others.
#[test]
fn team_with_a_third_of_all_requests_does_not_crowd_out_the_others() {
    let offers = arrivals(7, 30_000, 1.0 / 3.0, |_| 1.5);
    let (queued, naive) = (replay_queue(&offers), replay_naive(&offers));
    let is_heavy = |offer: &Offer| offer.team == 0;
    let heavy = sent_fraction(&offers, &queued, is_heavy);
    let others = sent_fraction(&offers, &queued, |offer| !is_heavy(offer));
    let others_naive = sent_fraction(&offers, &naive, |offer| !is_heavy(offer));
    println!("sent: heavy {heavy:.3}, others {others:.3}, others at once {others_naive:.3}");
    assert!(others > others_naive + 0.05, "others {others:.3}, naive {others_naive:.3}");
    assert!(heavy < others, "heavy {heavy:.3}, others {others:.3}");
    assert!(heavy > 0.2, "heavy {heavy:.3}");
}

/// Guards against a low priority that starves while requests of a higher one keep coming.
#[test]
fn every_eighth_dispatch_ignores_priority() {
    let high = Offer { priority: 0, ..OFFER };
    let low = Offer { priority: 2, team: 1, ..OFFER };
    let (mut queue, tickets) = queue_with(&[vec![high; 20], vec![low; 2]].concat());
    let order = drain_order(&mut queue);
    let place = |ticket| order.iter().position(|other| *other == ticket);
    assert_eq!(place(tickets[20]), Some(7));
    assert_eq!(place(tickets[21]), Some(15));
    assert_eq!(place(tickets[0]), Some(0));
}

/// Guards against an overload that sustains itself: slots that go to callers who are late already,
/// while new ones are refused and return late in turn.
#[test]
fn new_callers_precede_returned_ones_of_their_priority() {
    let returned = Offer { returned: true, team: 1, ..OFFER };
    let higher = Offer { priority: 0, returned: true, team: 2, ..OFFER };
    let (mut queue, tickets) = queue_with(&[returned, OFFER, higher]);
    assert_eq!(drain_order(&mut queue), [tickets[2], tickets[1], tickets[0]]);
}

/// Guards against newcomers that take the slot that a waiting request would get.
#[test]
fn newcomers_join_behind_waiting_requests_of_their_rank() {
    let (queue, _) = queue_with(&[OFFER]);
    assert!(queue.must_join(&service(), MODEL, 1, false));
    assert!(queue.must_join(&service(), MODEL, 2, true));
    assert!(queue.must_join(&service(), MODEL, 1, true));
    assert!(!queue.must_join(&service(), MODEL, 0, true));
    assert!(!queue.must_join(&service(), "small", 1, false));
    let (queue, _) = queue_with(&[Offer { returned: true, ..OFFER }]);
    assert!(queue.must_join(&service(), MODEL, 1, true));
    assert!(!queue.must_join(&service(), MODEL, 1, false));
}

/// Guards against a full queue that refuses a high rank for a low one, or the same rank for a
/// newer request.
#[test]
fn full_queue_displaces_the_lowest_rank_only() {
    let bounds = WaitBounds { requests: 2, ..BOUNDS };
    let (mut queue, rate) = (WaitQueue::new(bounds), rate_of(900));
    let low = Offer { priority: 2, ..OFFER };
    offer_to(&mut queue, &rate, &OFFER, None).unwrap();
    let lowest = offer_to(&mut queue, &rate, &low, None).unwrap();
    assert_eq!(offer_to(&mut queue, &rate, &low, None), Err(WaitRefusal::QueueFull));
    assert!(offer_to(&mut queue, &rate, &Offer { team: 1, ..OFFER }, None).is_ok());
    let displaced = RefusedWait { ticket: lowest, refusal: WaitRefusal::Displaced };
    assert_eq!(queue.take_refused(), [displaced]);
    assert_eq!(displaced.refusal.code(), "queue_full");
    assert!(!queue.cancel(lowest));
}

/// Guards against large bodies that exceed the memory of an entry, and against displacing requests
/// for one that does not fit anyway.
#[test]
fn bodies_are_bounded_in_sum() {
    let bounds = WaitBounds { body_bytes: 10_000, ..BOUNDS };
    let (mut queue, rate) = (WaitQueue::new(bounds), rate_of(900));
    let low = Offer { priority: 2, ..OFFER };
    offer_to(&mut queue, &rate, &low, None).unwrap();
    assert_eq!(offer_to(&mut queue, &rate, &low, None), Err(WaitRefusal::QueueFull));
    let huge = Offer { bytes: 10_001, ..OFFER };
    assert_eq!(offer_to(&mut queue, &rate, &huge, None), Err(WaitRefusal::QueueFull));
    assert_eq!((queue.len(), queue.body_bytes()), (1, 6_000));
    assert!(offer_to(&mut queue, &rate, &OFFER, None).is_ok());
    assert_eq!((queue.len(), queue.body_bytes()), (1, 6_000));
}

/// Failure: a caller disconnects on its turn. Guards against a queue that waits for it forever.
#[test]
fn caller_that_leaves_passes_its_turn_on() {
    let (mut queue, tickets) = queue_with(&[OFFER; 2]);
    assert_eq!(queue.next_turn(), Some(tickets[0]));
    assert_eq!(queue.next_turn(), None);
    assert!(queue.cancel(tickets[0]));
    assert!(!queue.cancel(tickets[0]));
    assert_eq!(queue.next_turn(), Some(tickets[1]));
    queue.settle(tickets[0], TurnOutcome::Sent);
    assert_eq!((queue.len(), queue.body_bytes()), (1, 6_000));
}

/// Failure: the last group of a model is lost. Guards against requests that wait for nothing.
#[test]
fn loss_of_the_last_group_refuses_the_requests_for_its_model() {
    let (mut queue, tickets) = queue_with(&[OFFER; 3]);
    queue.refuse_unserved(|_, _| true);
    assert!(queue.take_refused().is_empty());
    queue.refuse_unserved(|_, model| model != MODEL);
    let lost =
        |ticket: &WaitTicket| RefusedWait { ticket: *ticket, refusal: WaitRefusal::NoReplica };
    assert_eq!(queue.take_refused(), tickets.iter().map(lost).collect::<Vec<_>>());
    assert!(queue.is_empty() && queue.take_refused().is_empty());
}

/// Guards against waits that end in a refusal: 10 slots per second free up 1.5 within the limit.
#[test]
fn request_that_the_rate_does_not_reach_is_refused_at_once() {
    let (mut queue, rate) = (WaitQueue::new(BOUNDS), rate_of(10));
    let idle = CompletionRate::default();
    assert_eq!(offer_to(&mut queue, &idle, &OFFER, None), Err(WaitRefusal::TooLate));
    assert!(offer_to(&mut queue, &rate, &OFFER, None).is_ok());
    assert!(offer_to(&mut queue, &rate, &OFFER, None).is_ok());
    assert_eq!(offer_to(&mut queue, &rate, &OFFER, None), Err(WaitRefusal::TooLate));
    let higher = Offer { priority: 0, ..OFFER };
    assert!(offer_to(&mut queue, &rate, &higher, None).is_ok());
}

/// Guards against waits up to the limit for slots that no longer free up in time, and against a
/// first request that is given up before its limit.
#[test]
fn waiting_requests_are_refused_once_they_cannot_be_reached() {
    let (mut queue, tickets) = queue_with(&[OFFER; 3]);
    let rate = rate_of(10);
    queue.expire(at_ms(1_100), &rate);
    let told: Vec<WaitTicket> = queue.take_refused().iter().map(|end| end.ticket).collect();
    assert_eq!(told, tickets[1..]);
    queue.expire(at_ms(1_149), &CompletionRate::default());
    assert_eq!(queue.len(), 1);
    queue.expire(at_ms(1_150), &CompletionRate::default());
    assert!(queue.is_empty());
}

/// Guards against choices repeated without a change of capacity, and against a large prompt that
/// blocks smaller ones.
#[test]
fn failed_turns_keep_the_place_and_bound_the_choices() {
    let (mut queue, tickets) = queue_with(&[OFFER; 3]);
    assert_eq!(queue.next_turn(), Some(tickets[0]));
    queue.settle(tickets[0], TurnOutcome::Late);
    assert_eq!(queue.next_turn(), Some(tickets[1]));
    queue.settle(tickets[1], TurnOutcome::NoSlot);
    assert_eq!(queue.next_turn(), None);
    queue.begin_check(CheckCause::Tick);
    assert_eq!(queue.next_turn(), None);
    let service = ServiceName::new("chat");
    queue.begin_check(CheckCause::Ended { service: &service, model: "small" });
    assert_eq!(queue.next_turn(), None);
    queue.begin_check(CheckCause::Ended { service: &service, model: MODEL });
    assert_eq!(queue.next_turn(), Some(tickets[0]));
    let (mut long, _) = queue_with(&[OFFER; 40]);
    let mut turns = 0;
    while let Some(ticket) = long.next_turn() {
        long.settle(ticket, TurnOutcome::Late);
        turns += 1;
    }
    assert_eq!(turns, 8);
}

/// Guards against lost and doubled outcomes, and against bounds that are exceeded, in any order of
/// events.
#[test]
fn every_ticket_of_a_random_run_ends_once() {
    let bounds = WaitBounds { requests: 12, body_bytes: 60_000 };
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut queue, mut rate) = (WaitQueue::new(bounds), CompletionRate::default());
        let (mut open, mut offered, mut ended) = (Vec::new(), 0, 0);
        for at in 0..5_000 {
            let mut done = Vec::new();
            match random.random_range(0..8) {
                0..=3 => {
                    let offer = Offer {
                        at,
                        team: random.random_range(0..24),
                        priority: random.random_range(0..3),
                        returned: random.random_range(0..4) == 0,
                        group_ms: random.random_range(10.0..LARGE_MS),
                        bytes: random.random_range(100..12_000),
                    };
                    if let Ok(ticket) = offer_to(&mut queue, &rate, &offer, None) {
                        open.push(ticket);
                        offered += 1;
                    }
                }
                4 if !open.is_empty() => {
                    let ticket = open[random.random_range(0..open.len())];
                    done.extend(queue.cancel(ticket).then_some(ticket));
                }
                5 => queue.expire(at_ms(at), &rate),
                6 if random.random_range(0..40) == 0 => queue.refuse_unserved(|_, _| false),
                _ => {
                    rate.record(at_ms(at), &service(), MODEL);
                    queue.begin_check(CheckCause::Loads);
                    if let Some(ticket) = queue.next_turn() {
                        if random.random_range(0..3) > 0 {
                            queue.settle(ticket, TurnOutcome::Sent);
                            done.push(ticket);
                        } else {
                            queue.settle(ticket, TurnOutcome::NoSlot);
                        }
                    }
                }
            }
            done.extend(queue.take_refused().iter().map(|refused| refused.ticket));
            for ticket in done {
                let index = open.iter().position(|known| *known == ticket).expect("one outcome");
                open.remove(index);
                ended += 1;
            }
            assert!(queue.len() <= bounds.requests && queue.body_bytes() <= bounds.body_bytes);
            assert_eq!(queue.len(), open.len(), "seed {seed}, {at} ms");
        }
        assert!(offered > 500 && offered == ended + open.len(), "{offered} {ended}");
    }
}

/// Guards against new callers that get no turns, and end as too late, because a returned caller
/// found no slot: it may use fewer of them.
#[test]
fn a_returned_caller_without_a_slot_does_not_stop_new_ones() {
    let returned = Offer { returned: true, ..OFFER };
    let (mut queue, rate) = (WaitQueue::new(BOUNDS), rate_of(900));
    offer_to(&mut queue, &rate, &returned, Some(TurnOutcome::NoSlot)).unwrap();

    let new = offer_to(&mut queue, &rate, &OFFER, None).unwrap();

    assert_eq!(queue.next_turn(), Some(new));
    queue.settle(new, TurnOutcome::NoSlot);
    queue.begin_check(CheckCause::Tick);
    assert_eq!(queue.next_turn(), None, "what is full for new callers is full for all");
}

/// Guards against newcomers that are refused without a choice, behind a large prompt that waits
/// because it would be late although groups have free slots.
#[test]
fn a_request_that_would_be_late_holds_up_no_newcomer() {
    let (mut queue, rate) = (WaitQueue::new(BOUNDS), rate_of(5));
    let large = Offer { group_ms: LARGE_MS, ..OFFER };

    offer_to(&mut queue, &rate, &large, Some(TurnOutcome::Late)).unwrap();

    assert!(!queue.must_join(&service(), MODEL, 1, false));
    assert_eq!(offer_to(&mut queue, &rate, &OFFER, None), Err(WaitRefusal::TooLate));
}
