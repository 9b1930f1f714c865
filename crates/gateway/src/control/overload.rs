//! Services to which the section `control.overload` applies.
//!
//! The scope is computed once for each deployment plan. It decides for all parts of the control role
//! alike: without the section, or for a service whose full groups are on time, they decide as if the
//! parts did not exist.

use briartray_fleet::deployment::{DeploymentPlan, RouteBook};
use briartray_model::names::ServiceName;

use crate::settings::ControlRole;

/// Services whose full groups miss the targets of their routes, if the settings have the section.
#[derive(Debug, Clone, Default)]
pub(super) struct OverloadScope {
    /// Late first events of a full group, in a hundred, above which a service is in the scope; `None`
    /// without the section.
    late_percent: Option<f64>,
    /// Latency-bound services of the current deployment plan, sorted.
    services: Vec<ServiceName>,
}

impl OverloadScope {
    /// An empty scope for the settings of `role`.
    pub(super) fn new(role: &ControlRole) -> Self {
        let late_percent = role.overload.as_ref().map(|overload| overload.late_percent);
        Self { late_percent, services: Vec::new() }
    }

    /// Computes the services for a new deployment plan, which must have passed its check.
    pub(super) fn set_plan(&mut self, plan: &DeploymentPlan) {
        self.services.clear();
        let Some(late_percent) = self.late_percent else { return };
        let book = RouteBook::compile(plan.clone());
        let names = plan.services.iter().map(|service| &service.name);
        let bound = names.filter(|name| book.is_latency_bound(name, late_percent));
        self.services.extend(bound.cloned());
        self.services.sort_unstable();
    }

    /// The services in the scope, sorted.
    pub(super) fn services(&self) -> &[ServiceName] {
        &self.services
    }
}
