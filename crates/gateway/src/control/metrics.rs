//! Metrics of a control host.

use std::sync::atomic::AtomicU64;

use briartray_fleet::director::{IdleReason, ServiceSupply, SupplyTimes};
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

/// Label of free hosts of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct IdleLabel {
    service: String,
    reason: &'static str,
}

/// Counter of seconds.
type SecondsCounter = Counter<f64, AtomicU64>;

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
    /// Part of the retry allowance that entries hold or have used, over all services.
    pub(super) retries_committed: Gauge,
    /// Evacuated zones.
    pub(super) evacuated: Gauge,
    /// Quarantined requests.
    pub(super) quarantined: Gauge,
    /// Suspected requests, which may have to be quarantined.
    pub(super) suspects: Gauge,
    /// Quarantined prompt parts.
    pub(super) quarantined_parts: Gauge,
    /// Suspected prompt parts, which may have to be quarantined.
    pub(super) suspected_parts: Gauge,
    /// Groups that the demand keeps busy, in thousandths, on the leader.
    busy_groups: Family<ModelLabel, Gauge>,
    /// Groups that each model is to have, in thousandths, on the leader.
    wanted_groups: Family<ModelLabel, Gauge>,
    /// Groups of each model that serve or form, on the leader.
    placed_groups: Family<ModelLabel, Gauge>,
    /// Free hosts by the reason why they serve no group, on the leader.
    idle_hosts: Family<IdleLabel, Gauge>,
    /// Time for which groups of each model lacked.
    lacking_groups: Family<ModelLabel, SecondsCounter>,
    /// Time for which free hosts served no group, by reason.
    idle_time: Family<IdleLabel, SecondsCounter>,
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
            retries_committed: Gauge::default(),
            evacuated: Gauge::default(),
            quarantined: Gauge::default(),
            suspects: Gauge::default(),
            quarantined_parts: Gauge::default(),
            suspected_parts: Gauge::default(),
            busy_groups: Family::default(),
            wanted_groups: Family::default(),
            placed_groups: Family::default(),
            idle_hosts: Family::default(),
            lacking_groups: Family::default(),
            idle_time: Family::default(),
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
        let help = "Part of the retry allowance that entries hold or have used, over all services";
        control.register("retries_committed", help, metrics.retries_committed.clone());
        let help = "Zones that are evacuated";
        control.register("evacuated_zones", help, metrics.evacuated.clone());
        control.register("quarantined", "Requests in quarantine", metrics.quarantined.clone());
        let help = "Requests that may have to be quarantined";
        control.register("suspects", help, metrics.suspects.clone());
        let help = "Prompt parts in quarantine";
        control.register("quarantined_parts", help, metrics.quarantined_parts.clone());
        let help = "Prompt parts that may have to be quarantined";
        control.register("suspected_parts", help, metrics.suspected_parts.clone());
        let help = "Groups that the demand keeps busy, in thousandths";
        control.register("busy_groups_permille", help, metrics.busy_groups.clone());
        let help = "Groups that a model is to have, in thousandths";
        control.register("wanted_groups_permille", help, metrics.wanted_groups.clone());
        let help = "Groups of a model that serve or form";
        control.register("placed_groups", help, metrics.placed_groups.clone());
        let help = "Free hosts by the reason why they serve no group";
        control.register("idle_hosts", help, metrics.idle_hosts.clone());
        let help = "Time that a model lacked groups, summed over groups";
        control.register("lacking_group_seconds", help, metrics.lacking_groups.clone());
        let help = "Time that free hosts served no group, summed over hosts";
        control.register("idle_host_seconds", help, metrics.idle_time.clone());
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

    /// Sets the groups of each model and the free hosts; without `services`, this host does not
    /// lead.
    pub(super) fn set_supply(&self, services: &SortedTable<ServiceName, ServiceSupply>) {
        self.busy_groups.clear();
        self.wanted_groups.clear();
        self.placed_groups.clear();
        self.idle_hosts.clear();
        for (service, supply) in services.iter() {
            for count in &supply.idle {
                let hosts = i64::try_from(count.hosts).unwrap_or(i64::MAX);
                self.idle_hosts.get_or_create(&idle_label(service, count.reason)).set(hosts);
            }
            for supply in &supply.models {
                let label = || model_label(service, &supply.model);
                let placed = i64::try_from(supply.placed).unwrap_or(i64::MAX);
                self.busy_groups.get_or_create(&label()).set((supply.busy * PERMILLE) as i64);
                self.wanted_groups.get_or_create(&label()).set((supply.wanted * PERMILLE) as i64);
                self.placed_groups.get_or_create(&label()).set(placed);
            }
        }
    }

    /// Counts the time that groups lacked and hosts idled.
    pub(super) fn count_supply_times(&self, services: &[(ServiceName, SupplyTimes)]) {
        for (service, times) in services {
            for (model, time) in times.lacking.iter() {
                let counter = self.lacking_groups.get_or_create(&model_label(service, model));
                counter.inc_by(time.as_secs_f64());
            }
            for (reason, time) in times.idle.iter() {
                let counter = self.idle_time.get_or_create(&idle_label(service, *reason));
                counter.inc_by(time.as_secs_f64());
            }
        }
    }

    /// Counts an order that ended with `outcome`.
    pub(super) fn count_order(&self, outcome: &'static str) {
        self.orders.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}

fn model_label(service: &ServiceName, model: &str) -> ModelLabel {
    ModelLabel { service: service.as_str().to_owned(), model: model.to_owned() }
}

fn idle_label(service: &ServiceName, reason: IdleReason) -> IdleLabel {
    IdleLabel { service: service.as_str().to_owned(), reason: reason.as_str() }
}
