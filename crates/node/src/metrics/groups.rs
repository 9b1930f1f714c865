//! Metrics of group downtime and stranded accelerators, kept by the leader.

use std::sync::atomic::AtomicU64;

use briartray_placement::accounting::{FleetRates, StrandedReason};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// Label of stranded accelerators.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StrandedLabel {
    /// Name of the service.
    pub service: String,
    /// Why the accelerators are stranded.
    pub reason: &'static str,
}

type SecondsCounter = Counter<f64, AtomicU64>;
type AmountGauge = Gauge<f64, AtomicU64>;

/// Metrics of a control host about groups; not updated while another host leads.
#[derive(Debug, Clone, Default)]
pub struct GroupMetrics {
    down: Family<ServiceLabel, AmountGauge>,
    down_seconds: Family<ServiceLabel, SecondsCounter>,
    stranded: Family<StrandedLabel, AmountGauge>,
    stranded_seconds: Family<StrandedLabel, SecondsCounter>,
}

impl GroupMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register("groups_down", "Wanted groups that do not serve", metrics.down.clone());
        registry.register(
            "group_down_seconds",
            "Seconds of wanted groups not serving",
            metrics.down_seconds.clone(),
        );
        registry.register(
            "stranded_accelerators",
            "Accelerators outside any whole group",
            metrics.stranded.clone(),
        );
        registry.register(
            "stranded_accelerator_seconds",
            "Seconds of accelerators outside any whole group",
            metrics.stranded_seconds.clone(),
        );
        metrics
    }

    /// Adds `seconds` at the given `rates` to the counters.
    pub fn count(&self, rates: &FleetRates, seconds: f64) {
        for (name, account) in rates.services() {
            let service = name.as_str().to_owned();
            let label = ServiceLabel { service: service.clone() };
            self.down_seconds.get_or_create(&label).inc_by(account.groups_down * seconds);
            for (reason, amount) in StrandedReason::ALL.iter().zip(account.stranded) {
                let reason = reason.as_str();
                let label = StrandedLabel { service: service.clone(), reason };
                self.stranded_seconds.get_or_create(&label).inc_by(amount * seconds);
            }
        }
    }

    /// Sets the gauges to the current `rates`.
    pub fn show(&self, rates: &FleetRates) {
        for (name, account) in rates.services() {
            let service = name.as_str().to_owned();
            let label = ServiceLabel { service: service.clone() };
            self.down.get_or_create(&label).set(account.groups_down);
            for (reason, amount) in StrandedReason::ALL.iter().zip(account.stranded) {
                let reason = reason.as_str();
                let label = StrandedLabel { service: service.clone(), reason };
                self.stranded.get_or_create(&label).set(amount);
            }
        }
    }
}
