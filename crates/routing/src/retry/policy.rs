//! Retry decision for one attempt.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::rules::RetryAction;
use rand::RngExt;

use super::RetryBudget;

/// Maximum delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Minimum time that must remain after the delay for a retry to make sense.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// What is known about an attempt without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEffect {
    /// The attempt was not run and never will be, because the replica was full.
    ReplicaFull,
    /// The attempt was not run and never will be.
    NotRun,
    /// The attempt may have run.
    Unknown,
}

/// History of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of attempts, without refusals by full replicas.
    pub attempts: u32,
    /// Number of refusals by full replicas.
    pub full_refusals: u32,
    /// Whether the request may safely run twice.
    pub repeatable: bool,
    /// Whether the caller has received any part of an answer.
    pub delivered: bool,
}

/// Why there is no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The attempt may have run, and a second run could do harm or be visible to the caller.
    Unsafe,
    /// The rule allows no more attempts.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// Too little time is left before the deadline.
    Deadline,
    /// The request ran during several crashes: the next replica would probably crash too.
    Suspect,
}

/// Whether there is a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another replica after this delay.
    Retry(Duration),
    /// Return the request to its queue because the replicas are full.
    Requeue,
    /// Make no further attempt.
    Stop(StopReason),
}

/// Refusals by full replicas after which the request returns to the queue.
const MAX_FULL_REFUSALS: u32 = 3;

/// Decides whether an attempt that ended with `effect` is followed by another one.
///
/// A refusal by a full replica costs that replica nothing and is not charged to `budget`. After
/// several such refusals, all replicas are assumed to be full. All other retries are charged to
/// `budget`.
pub fn decide_retry<R: RngExt>(
    now: TimePoint,
    deadline: TimePoint,
    effect: AttemptEffect,
    history: &AttemptHistory,
    action: &RetryAction,
    budget: &mut RetryBudget,
    random: &mut R,
) -> RetryDecision {
    if effect == AttemptEffect::Unknown && (history.delivered || !history.repeatable) {
        return RetryDecision::Stop(StopReason::Unsafe);
    }
    let left = deadline.since(now);
    if left < MIN_TIME_LEFT {
        return RetryDecision::Stop(StopReason::Deadline);
    }
    if effect == AttemptEffect::ReplicaFull {
        let below_limit = history.full_refusals < MAX_FULL_REFUSALS;
        return if below_limit {
            RetryDecision::Retry(Duration::ZERO)
        } else {
            RetryDecision::Requeue
        };
    }
    if history.attempts >= action.attempts.max(1) {
        return RetryDecision::Stop(StopReason::Attempts);
    }
    let wait = backoff(history.attempts, action, random);
    if left < wait + MIN_TIME_LEFT {
        return RetryDecision::Stop(StopReason::Deadline);
    }
    if !budget.withdraw(now) {
        return RetryDecision::Stop(StopReason::Budget);
    }
    RetryDecision::Retry(wait)
}

/// Exponential backoff. Half of the delay is random, so that entries that saw the same failure do
/// not all retry at the same moment.
fn backoff<R: RngExt>(attempts: u32, action: &RetryAction, random: &mut R) -> Duration {
    let base = Duration::from_millis(u64::from(action.backoff_ms));
    let doubled = base.saturating_mul(1 << attempts.saturating_sub(1).min(10));
    let share: f64 = random.random();
    doubled.min(MAX_BACKOFF).mul_f64(0.5 + 0.5 * share)
}
