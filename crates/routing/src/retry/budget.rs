//! Limit on retries as a fraction of traffic.

/// Retries that are allowed before any traffic.
const INITIAL_BALANCE: f64 = 10.0;

/// Maximum number of retries that can accumulate.
const MAX_BALANCE: f64 = 100.0;

/// Token bucket for retries, filled by first attempts.
///
/// Without a limit, an outage would turn every request into several attempts, and recovering
/// replicas would receive a multiple of their usual load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which adds `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u32) {
        let cap = MAX_BALANCE.max(self.balance);
        self.balance = (self.balance + f64::from(percent) / 100.0).min(cap);
    }

    /// Takes one retry; returns `false` if none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
