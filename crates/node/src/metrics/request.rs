//! What an entry counts about requests.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// How one request or attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// `answered`, or the stable code of the refusal.
    pub outcome: &'static str,
}

/// Counters of one entry.
#[derive(Debug, Clone, Default)]
pub struct RequestMetrics {
    /// Requests by how they ended.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Answers that belonged to another attempt and were dropped.
    pub crossed: Counter,
    /// Pieces of answers that came a second time and were dropped.
    pub doubled: Counter,
    /// Attempts that were asked after over a new connection.
    pub reconnects: Counter,
    /// Claims of keys by what the ledger answered.
    pub claims: Family<OutcomeLabel, Counter>,
}

impl RequestMetrics {
    /// Makes the metrics and adds them to `registry`.
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

    /// Counts one claim that the ledger answered with `outcome`.
    pub fn claimed(&self, outcome: &'static str) {
        self.claims.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts one request that ended as `outcome`.
    pub fn ended(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
