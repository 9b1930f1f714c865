//! What follows when an attempt has failed.
//!
//! A request that may have run and must not run twice is never sent again, and the caller is not
//! told that it has not run. Everything else may go to another replica while time, attempts and
//! the budget last.

use crate::deployment::RepeatKind;

/// How an attempt ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing of it left this process, or the replica says that it has not run.
    NotRun,
    /// It may have run: the connection died, or no answer came in time.
    MayHaveRun,
    /// The replica ran it and its answer tells of a failure.
    RunFailed,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextMove {
    /// Send it to another replica.
    SendAgain,
    /// Tell the caller that it has not run, and when to come back.
    Refuse,
    /// Tell the caller that the outcome is not known.
    Unknown,
    /// Pass the replica's own failure on.
    PassOn,
}

/// What one request may still do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPlan {
    /// What may be repeated.
    pub kind: RepeatKind,
    /// Replicas that may have run it, the attempt that ended counted in.
    pub runs: u32,
    /// Replicas that may run it.
    pub max_attempts: u32,
    /// Whether there is time and budget for another attempt.
    pub may_try: bool,
}

impl AttemptPlan {
    /// What follows from `end`.
    pub fn next(&self, end: AttemptEnd) -> NextMove {
        let may_have_run = self.runs > 0 || end != AttemptEnd::NotRun;
        let repeatable = self.kind.may_repeat() || !may_have_run;
        if repeatable && self.may_try && self.runs < self.max_attempts.max(1) {
            return NextMove::SendAgain;
        }
        match end {
            AttemptEnd::RunFailed => NextMove::PassOn,
            AttemptEnd::NotRun if !may_have_run => NextMove::Refuse,
            // A repeatable request that has run is not refused as though it had not.
            _ => NextMove::Unknown,
        }
    }
}
