//! Metrics of a process about itself.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of one process.
#[derive(Debug, Clone, Default)]
pub struct ProcessMetrics {
    /// Revision of the rules in use.
    pub rules_revision: Gauge,
    /// Remaining time of the rules lease at its last renewal, in milliseconds.
    pub rules_lease_ms: Gauge,
    /// Number of spans dropped because the writer's queue was full.
    pub spans_dropped: Gauge,
}

impl ProcessMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let copy = metrics.clone();
        registry.register("rules_revision", "Revision of the rules", copy.rules_revision);
        registry.register("rules_lease_ms", "Time left of the rules lease", copy.rules_lease_ms);
        registry.register("spans_dropped", "Spans dropped", copy.spans_dropped);
        metrics
    }
}
