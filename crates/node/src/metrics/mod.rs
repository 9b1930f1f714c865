//! Metrics of one process, in the Prometheus text format.
//!
//! Each area has its own module with a struct of metrics and a `register` function; the code of the
//! area holds the struct and updates it.

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
    /// Calls `register` with the registry and returns its result.
    pub fn add<T>(&self, register: impl FnOnce(&mut Registry) -> T) -> T {
        register(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("metrics cannot be rendered: {error}; the answer is incomplete");
        }
        text
    }
}
