//! Terms of the retry budget.

use briartray_routing::retry::AllowanceTerms;

/// Budget that all entries share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryTerms {
    /// Fraction of a service's requests that may be retried.
    pub ratio: f64,
    /// Additional retries, and the window over which requests and retries are counted.
    pub allowance: AllowanceTerms,
}
