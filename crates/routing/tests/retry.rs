//! Which attempts are repeated, and how many.

use std::time::Duration;

use assert_matches::assert_matches;
use briartray_model::TimePoint;
use briartray_model::rules::RetryAction;
use briartray_routing::retry::{
    AttemptEffect, AttemptHistory, RetryBudget, RetryDecision, StopReason, decide_retry,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DEADLINE: TimePoint = TimePoint(10_000_000);

fn history(attempts: u32) -> AttemptHistory {
    AttemptHistory { attempts, full_refusals: 0, repeatable: true, delivered: false }
}

fn decide(effect: AttemptEffect, history: &AttemptHistory, now: TimePoint) -> RetryDecision {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let action = RetryAction::default();
    let mut budget = RetryBudget::default();
    decide_retry(now, DEADLINE, effect, history, &action, &mut budget, &mut random)
}

#[test]
fn unknown_attempt_is_never_repeated_when_that_could_show() {
    // An answer broke off. The call may have booked a lot, or its caller may have read half a
    // draft; running it again would book twice or change the draft under the reader's eyes.
    let mut booked = history(1);
    booked.repeatable = false;
    let mut read = history(1);
    read.delivered = true;

    let decisions =
        [&booked, &read].map(|history| decide(AttemptEffect::Unknown, history, TimePoint(0)));

    assert_eq!(decisions, [RetryDecision::Stop(StopReason::Unsafe); 2]);
}

#[test]
fn attempt_that_did_not_run_is_repeated_also_when_calls_may_not_be() {
    let mut booked = history(1);
    booked.repeatable = false;

    let decision = decide(AttemptEffect::NotRun, &booked, TimePoint(0));

    assert_matches!(decision, RetryDecision::Retry(_));
}

#[test]
fn unseen_repeatable_attempt_is_repeated_with_short_wait() {
    let decision = decide(AttemptEffect::Unknown, &history(1), TimePoint(0));

    assert_matches!(decision, RetryDecision::Retry(wait) if wait <= Duration::from_millis(5));
}

#[test]
fn attempts_and_deadline_end_retries() {
    let exhausted = decide(AttemptEffect::NotRun, &history(3), TimePoint(0));
    let late = decide(AttemptEffect::NotRun, &history(1), TimePoint(DEADLINE.0 - 1000));

    assert_eq!(exhausted, RetryDecision::Stop(StopReason::Attempts));
    assert_eq!(late, RetryDecision::Stop(StopReason::Deadline));
}

#[test]
fn bounces_cost_no_budget_and_lead_back_to_the_queue() {
    let mut full = history(0);

    let decisions: Vec<RetryDecision> = (1..=3)
        .map(|full_refusals| {
            full.full_refusals = full_refusals;
            decide(AttemptEffect::ReplicaFull, &full, TimePoint(0))
        })
        .collect();

    assert_eq!(decisions[..2], [RetryDecision::Retry(Duration::ZERO); 2]);
    assert_eq!(decisions[2], RetryDecision::Requeue);
}

#[test]
fn outage_of_all_replicas_does_not_multiply_load() {
    // Every replica fails every attempt. With three attempts a request, replicas that try to come
    // back would meet three times their load; the budget holds it near one and a fifth.
    let action = RetryAction::default();
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut budget = RetryBudget::default();
    let requests = 10_000;
    let mut attempts = 0;

    for _ in 0..requests {
        budget.deposit(action.budget_percent);
        let mut history = history(0);
        loop {
            attempts += 1;
            history.attempts += 1;
            let effect = AttemptEffect::NotRun;
            let now = TimePoint(0);
            let decision =
                decide_retry(now, DEADLINE, effect, &history, &action, &mut budget, &mut random);
            if !matches!(decision, RetryDecision::Retry(_)) {
                break;
            }
        }
    }

    assert!(attempts <= requests * 12 / 10 + 10, "{attempts} attempts for {requests} requests");
    assert!(attempts >= requests * 119 / 100, "the budget is used: {attempts}");
}
