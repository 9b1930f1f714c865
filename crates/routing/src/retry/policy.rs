//! The decision itself.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::rules::RetryAction;
use rand::RngExt;

use super::RetryBudget;

/// Longest wait before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Time that must be left behind the wait for a retry to make sense.
const MIN_LEFT: Duration = Duration::from_millis(5);

/// What is known about an attempt that gave no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEffect {
    /// It was not run and never will be, because the replica had no room.
    ReplicaFull,
    /// It was not run and never will be.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What has happened to a request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Attempts made, bounces not counted.
    pub attempts: u32,
    /// Bounces off full replicas.
    pub full_refusals: u32,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Whether the caller has seen any part of an answer.
    pub delivered: bool,
}

/// Why there is no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// It may have run, and running it twice might do harm or show.
    Unsafe,
    /// As many attempts were made as the rule allows.
    Attempts,
    /// Retries have used up their share of traffic.
    Budget,
    /// No time is left.
    Deadline,
    /// It was at several crashes: another replica would most likely crash as well.
    Suspect,
}

/// Whether there is a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another replica is asked after this wait.
    Retry(Duration),
    /// The request goes back to its queue: replicas are full.
    Requeue,
    /// It is over.
    Stop(StopReason),
}

/// Bounces off full replicas before a request waits in the queue again.
const MAX_BOUNCES: u32 = 3;

/// Decides on a further attempt after one that ended with `effect`.
///
/// A bounce costs the replica nothing, so it draws on no budget; after a few of them the fleet is
/// taken to be full. All other retries draw on `budget`.
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
    if left < MIN_LEFT {
        return RetryDecision::Stop(StopReason::Deadline);
    }
    if effect == AttemptEffect::ReplicaFull {
        let again = history.full_refusals < MAX_BOUNCES;
        return if again { RetryDecision::Retry(Duration::ZERO) } else { RetryDecision::Requeue };
    }
    if history.attempts >= action.attempts.max(1) {
        return RetryDecision::Stop(StopReason::Attempts);
    }
    let wait = backoff(history.attempts, action, random);
    if left < wait + MIN_LEFT {
        return RetryDecision::Stop(StopReason::Deadline);
    }
    if !budget.withdraw() {
        return RetryDecision::Stop(StopReason::Budget);
    }
    RetryDecision::Retry(wait)
}

/// The wait doubles with each attempt; half of it is random, so that many entries that met the
/// same failure do not come back at the same moment.
fn backoff<R: RngExt>(attempts: u32, action: &RetryAction, random: &mut R) -> Duration {
    let base = Duration::from_millis(u64::from(action.backoff_ms));
    let doubled = base.saturating_mul(1 << attempts.saturating_sub(1).min(10));
    let share: f64 = random.random();
    doubled.min(MAX_BACKOFF).mul_f64(0.5 + 0.5 * share)
}
