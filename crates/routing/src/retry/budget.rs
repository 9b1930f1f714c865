//! A bound on retries as a fraction of traffic.

/// Retries that are allowed before any traffic has paid for them.
const RESERVE: f64 = 10.0;

/// Retries that quiet times can save up.
const MAX_SAVED: f64 = 100.0;

/// Retries that first attempts have paid for.
///
/// Without a bound an outage turns every request into several attempts, and replicas that come
/// back are met by a multiple of the usual load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: RESERVE }
    }
}

impl RetryBudget {
    /// Counts one first attempt, which pays for `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u32) {
        let cap = MAX_SAVED.max(self.saved);
        self.saved = (self.saved + f64::from(percent) / 100.0).min(cap);
    }

    /// Pays for one retry; `false` when nothing is left.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
