//! Retry policy: whether an attempt without an answer is followed by another one.

mod budget;
mod policy;

pub use budget::RetryBudget;
pub use policy::{AttemptEffect, AttemptHistory, RetryDecision, StopReason, decide_retry};
