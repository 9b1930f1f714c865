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
}

impl RequestMetrics {
    /// Makes the metrics and adds them to `registry`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register("requests", "Requests by how they ended", metrics.requests.clone());
        registry.register("crossed_answers", "Answers to another attempt", metrics.crossed.clone());
        metrics
    }

    /// Counts one request that ended as `outcome`.
    pub fn ended(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
