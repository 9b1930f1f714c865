//! Whether an attempt that gave no answer is followed by another one.

mod budget;
mod policy;

pub use budget::RetryBudget;
pub use policy::{AttemptEffect, AttemptHistory, RetryDecision, StopReason, decide_retry};
