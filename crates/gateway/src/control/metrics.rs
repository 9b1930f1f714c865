//! Metrics of a control host.

use briartray_fleet::director::ModelSupply;
use briartray_model::SortedTable;
use briartray_model::names::ServiceName;
use briartray_node::metrics::{AgreementMetrics, OutcomeLabel};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Factor on numbers of groups that need not be whole.
const PERMILLE: f64 = 1_000.0;

/// Label of one model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ModelLabel {
    service: String,
    model: String,
}

/// Metrics of one control host.
#[derive(Debug, Clone)]
pub(super) struct ControlMetrics {
    /// State of the replicated log.
    pub(super) agreement: AgreementMetrics,
    /// 1 while this host leads, otherwise 0.
    pub(super) leads: Gauge,
    /// Number of voters.
    pub(super) voters: Gauge,
    /// Version of the deployment plan in force.
    pub(super) plan: Gauge,
    /// Committed groups, including standby spares.
    pub(super) groups: Gauge,
    /// Committed endpoints.
    pub(super) endpoints: Gauge,
    /// Endpoints with a rate limit.
    pub(super) limited: Gauge,
    /// Evacuated zones.
    pub(super) evacuated: Gauge,
    /// Quarantined requests.
    pub(super) quarantined: Gauge,
    /// Suspected requests, which may have to be quarantined.
    pub(super) suspects: Gauge,
    /// Groups that the demand keeps busy, in thousandths, on the leader.
    busy_groups: Family<ModelLabel, Gauge>,
    /// Groups that each model is to have, in thousandths, on the leader.
    wanted_groups: Family<ModelLabel, Gauge>,
    /// Groups of each model that serve or form, on the leader.
    placed_groups: Family<ModelLabel, Gauge>,
    orders: Family<OutcomeLabel, Counter>,
    /// Probes without a response.
    pub(super) silent_probes: Counter,
    /// Probes whose response this host had no time to read.
    pub(super) unread_probes: Counter,
    /// Heartbeats relayed to the leader.
    pub(super) relayed_heartbeats: Counter,
    /// Probe answers relayed to the leader.
    pub(super) relayed_answers: Counter,
}

impl ControlMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            agreement: AgreementMetrics::register(registry),
            leads: Gauge::default(),
            voters: Gauge::default(),
            plan: Gauge::default(),
            groups: Gauge::default(),
            endpoints: Gauge::default(),
            limited: Gauge::default(),
            evacuated: Gauge::default(),
            quarantined: Gauge::default(),
            suspects: Gauge::default(),
            busy_groups: Family::default(),
            wanted_groups: Family::default(),
            placed_groups: Family::default(),
            orders: Family::default(),
            silent_probes: Counter::default(),
            unread_probes: Counter::default(),
            relayed_heartbeats: Counter::default(),
            relayed_answers: Counter::default(),
        };
        let control = registry.sub_registry_with_prefix("control");
        control.register("leads", "Whether this host leads", metrics.leads.clone());
        control.register("voters", "Hosts that may vote", metrics.voters.clone());
        control.register("plan_version", "Declaration in force", metrics.plan.clone());
        control.register("groups", "Groups that are agreed on", metrics.groups.clone());
        control.register("endpoints", "Endpoints agreed on", metrics.endpoints.clone());
        let help = "Endpoints that name a limit";
        control.register("limited_endpoints", help, metrics.limited.clone());
        let help = "Zones that are evacuated";
        control.register("evacuated_zones", help, metrics.evacuated.clone());
        control.register("quarantined", "Requests in quarantine", metrics.quarantined.clone());
        let help = "Requests that may have to be quarantined";
        control.register("suspects", help, metrics.suspects.clone());
        let help = "Groups that the demand keeps busy, in thousandths";
        control.register("busy_groups_permille", help, metrics.busy_groups.clone());
        let help = "Groups that a model is to have, in thousandths";
        control.register("wanted_groups_permille", help, metrics.wanted_groups.clone());
        let help = "Groups of a model that serve or form";
        control.register("placed_groups", help, metrics.placed_groups.clone());
        control.register("orders", "Orders by what came of them", metrics.orders.clone());
        let help = "Probes without an answer";
        control.register("silent_probes", help, metrics.silent_probes.clone());
        let help = "Probes whose answer this host had no time to read";
        control.register("unread_probes", help, metrics.unread_probes.clone());
        let help = "Beats passed on to the leader";
        control.register("relayed_beats", help, metrics.relayed_heartbeats.clone());
        let help = "Answers to probes passed on to the leader";
        control.register("relayed_answers", help, metrics.relayed_answers.clone());
        metrics
    }

    /// Sets the groups of each model to `supplies`; without any, this host does not lead.
    pub(super) fn set_supplies(&self, supplies: &SortedTable<ServiceName, Vec<ModelSupply>>) {
        self.busy_groups.clear();
        self.wanted_groups.clear();
        self.placed_groups.clear();
        for (service, models) in supplies.iter() {
            for supply in models {
                let label = || ModelLabel {
                    service: service.as_str().to_owned(),
                    model: supply.model.clone(),
                };
                let placed = i64::try_from(supply.placed).unwrap_or(i64::MAX);
                self.busy_groups.get_or_create(&label()).set((supply.busy * PERMILLE) as i64);
                self.wanted_groups.get_or_create(&label()).set((supply.wanted * PERMILLE) as i64);
                self.placed_groups.get_or_create(&label()).set(placed);
            }
        }
    }

    /// Counts an order that ended with `outcome`.
    pub(super) fn count_order(&self, outcome: &'static str) {
        self.orders.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
