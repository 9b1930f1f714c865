//! Group downtime and stranded accelerators as a leader sees them.

use std::sync::atomic::AtomicU64;

use briartray_placement::accounting::{FleetRates, StrandedReason};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Its name.
    pub service: String,
}

/// One service and why accelerators are stranded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StrandedLabel {
    /// Its name.
    pub service: String,
    /// The reason.
    pub reason: &'static str,
}

type SecondsCounter = Counter<f64, AtomicU64>;
type AmountGauge = Gauge<f64, AtomicU64>;

/// What a control host counts about groups; it stands still while another host leads.
#[derive(Debug, Clone, Default)]
pub struct GroupMetrics {
    down: Family<ServiceLabel, AmountGauge>,
    down_seconds: Family<ServiceLabel, SecondsCounter>,
    stranded: Family<StrandedLabel, AmountGauge>,
    stranded_seconds: Family<StrandedLabel, SecondsCounter>,
}

impl GroupMetrics {
    /// Makes the metrics and adds them to `registry`.
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

    /// Counts `seconds` during which `rates` held.
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

    /// Shows what holds now.
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
