//! Metrics of one process, in the Prometheus text format.
//!
//! Each area has a file of its own with a struct of its metrics and a `register` function; the
//! struct is kept where the area counts.

mod admission;
mod agreement;
mod groups;
mod process;
mod request;

pub use admission::AdmissionMetrics;
pub use agreement::AgreementMetrics;
pub use groups::{GroupMetrics, ServiceLabel, StrandedLabel};
pub use process::ProcessMetrics;
pub use request::{OutcomeLabel, RequestMetrics};

use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Content type of the rendered metrics.
pub const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The registry of one process, shared by its roles.
#[derive(Debug, Clone)]
pub struct MetricsHub {
    registry: Arc<Mutex<Registry>>,
}

impl Default for MetricsHub {
    fn default() -> Self {
        let registry = Registry::with_prefix("briartray");
        Self { registry: Arc::new(Mutex::new(registry)) }
    }
}

impl MetricsHub {
    /// Lets `register` add an area's metrics.
    pub fn add<T>(&self, register: impl FnOnce(&mut Registry) -> T) -> T {
        register(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Every metric as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("metrics cannot be written: {error}");
        }
        text
    }
}
