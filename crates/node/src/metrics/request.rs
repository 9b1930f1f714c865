//! Metrics of an entry about requests.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Label of the outcome of a request, attempt, claim or order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Of a request: `answered`, `replayed` or the stable code of the refusal. Other counters have
    /// values of their own.
    pub outcome: &'static str,
}

/// Request counters of one entry.
#[derive(Debug, Clone, Default)]
pub struct RequestMetrics {
    /// Finished requests by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Answers dropped because they belonged to another attempt.
    pub crossed: Counter,
    /// Chunks of answers dropped as duplicates.
    pub doubled: Counter,
    /// Reconnects of attempts over a new connection.
    pub reconnects: Counter,
    /// Claims of idempotency keys by the reply of the ledger.
    pub claims: Family<OutcomeLabel, Counter>,
}

impl RequestMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register("requests", "Requests by how they ended", metrics.requests.clone());
        registry.register("crossed_answers", "Answers to another attempt", metrics.crossed.clone());
        registry.register("doubled_chunks", "Pieces that came twice", metrics.doubled.clone());
        let help = "Attempts asked after over a new connection";
        registry.register("attempt_reconnects", help, metrics.reconnects.clone());
        registry.register("claims", "Claims by what the ledger answered", metrics.claims.clone());
        metrics
    }

    /// Counts one claim with the ledger's reply `outcome`.
    pub fn record_claim(&self, outcome: &'static str) {
        self.claims.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts one finished request with `outcome`.
    pub fn record_outcome(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
