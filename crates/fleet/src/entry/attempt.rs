//! What follows a failed attempt.
//!
//! A request that may have run and must not run twice is never sent again, and the caller is not
//! notified that it did not run. Any other request may go to another replica while time, attempts
//! and the retry budget allow.

use crate::deployment::RepeatKind;

/// How an attempt ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing was sent, or the replica states that the request did not run.
    NotRun,
    /// The request may have run: the connection broke, or no answer arrived in time.
    MayHaveRun,
    /// The replica ran the request and answered with a failure.
    RunFailed,
}

/// Next step for a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another replica.
    RetryElsewhere,
    /// Tell the caller that the request did not run, and when to retry.
    Refuse,
    /// Tell the caller that the outcome is unknown.
    Unknown,
    /// Return the failure answer of the replica to the caller.
    ForwardFailure,
}

/// State of one request between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryState {
    /// Whether the request may be repeated.
    pub kind: RepeatKind,
    /// Number of replicas that may have run it, including the attempt that just ended.
    pub runs: u32,
    /// Maximum number of replicas that may run it.
    pub max_attempts: u32,
    /// Whether time and retry budget allow another attempt.
    pub may_try: bool,
}

impl RetryState {
    /// Returns the next step after an attempt that ended with `end`.
    pub fn next(&self, end: AttemptEnd) -> NextStep {
        let may_have_run = self.runs > 0 || end != AttemptEnd::NotRun;
        let repeatable = self.kind.may_repeat() || !may_have_run;
        if repeatable && self.may_try && self.runs < self.max_attempts.max(1) {
            return NextStep::RetryElsewhere;
        }
        match end {
            AttemptEnd::RunFailed => NextStep::ForwardFailure,
            AttemptEnd::NotRun if !may_have_run => NextStep::Refuse,
            // A repeatable request that may have run is not reported as one that did not run.
            _ => NextStep::Unknown,
        }
    }

    /// Whether the request may run at a second replica while a run is in progress, which `runs` does
    /// not count.
    pub fn may_run_beside(&self) -> bool {
        self.kind.may_repeat() && self.may_try && self.runs + 1 < self.max_attempts
    }
}
