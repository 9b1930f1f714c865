//! What a control host counts.

use briartray_node::metrics::OutcomeLabel;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters and states of one control host.
#[derive(Debug, Clone, Default)]
pub(super) struct ControlMetrics {
    /// Current term.
    pub(super) term: Gauge,
    /// One while this host leads.
    pub(super) leads: Gauge,
    /// Hosts that may vote.
    pub(super) voters: Gauge,
    /// Last entry known to be committed.
    pub(super) commit: Gauge,
    /// Version of the declaration in force.
    pub(super) plan: Gauge,
    /// Groups that are agreed on, spares that stand by counted in.
    pub(super) groups: Gauge,
    /// Endpoints that are agreed on.
    pub(super) endpoints: Gauge,
    orders: Family<OutcomeLabel, Counter>,
    /// Probes without an answer.
    pub(super) silent_probes: Counter,
}

impl ControlMetrics {
    /// Makes the metrics and adds them to `registry`.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let control = registry.sub_registry_with_prefix("control");
        control.register("term", "Current term", metrics.term.clone());
        control.register("leads", "Whether this host leads", metrics.leads.clone());
        control.register("voters", "Hosts that may vote", metrics.voters.clone());
        control.register("commit", "Last committed entry", metrics.commit.clone());
        control.register("plan_version", "Declaration in force", metrics.plan.clone());
        control.register("groups", "Groups that are agreed on", metrics.groups.clone());
        control.register("endpoints", "Endpoints agreed on", metrics.endpoints.clone());
        control.register("orders", "Orders by what came of them", metrics.orders.clone());
        let help = "Probes without an answer";
        control.register("silent_probes", help, metrics.silent_probes.clone());
        metrics
    }

    /// Counts one order that was answered as `outcome`.
    pub(super) fn ordered(&self, outcome: &'static str) {
        self.orders.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
