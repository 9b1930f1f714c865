//! Retry policy: whether an attempt without an answer is followed by another one.

mod allocator;
mod allowance;
mod budget;
mod policy;
mod terms;

pub use allocator::{AllowanceAllocator, MAX_REPORTED_SERVICES};
pub use allowance::AllowanceShare;
pub use budget::{CALL_ALLOWANCE, RetryBudget};
pub use policy::{AttemptEffect, AttemptHistory, RetryDecision, StopReason, decide_retry};
pub use terms::{AllowanceTerms, CREDIT_BUCKETS};
