//! Services to which the section `control.overload` applies.
//!
//! The scope is computed once for each deployment plan. It decides for all parts of the control role
//! alike: without the section, or for a service whose full groups are on time, they decide as if the
//! parts did not exist.

use briartray_fleet::deployment::{DeploymentPlan, RouteBook};
use briartray_fleet::director::FleetDirector;
use briartray_model::names::ServiceName;

use crate::settings::{ControlOverload, ControlRole};

/// Services whose full groups miss the targets of their routes, if the settings have the section.
#[derive(Debug, Clone, Default)]
pub(super) struct OverloadScope {
    /// The section; `None` without it.
    overload: Option<ControlOverload>,
    /// Latency-bound services of the current deployment plan, sorted.
    services: Vec<ServiceName>,
}

impl OverloadScope {
    /// An empty scope for the settings of `role`.
    pub(super) fn new(role: &ControlRole) -> Self {
        Self { overload: role.overload.clone(), services: Vec::new() }
    }

    /// Computes the services for a new deployment plan, which must have passed its check.
    pub(super) fn set_plan(&mut self, plan: &DeploymentPlan) {
        self.services.clear();
        let Some(overload) = &self.overload else { return };
        let book = RouteBook::compile(plan.clone());
        let names = plan.services.iter().map(|service| &service.name);
        let bound = names.filter(|name| book.is_latency_bound(name, overload.late_percent));
        self.services.extend(bound.cloned());
        self.services.sort_unstable();
    }

    /// Tells `director` which of its parts apply to which services.
    pub(super) fn apply(&self, director: &mut FleetDirector) {
        let services_if = |enabled: fn(&ControlOverload) -> bool| -> &[ServiceName] {
            if self.overload.as_ref().is_some_and(enabled) { &self.services } else { &[] }
        };
        director.set_shared_services(services_if(|overload| overload.demand_shares).to_vec());
        director.set_overload(services_if(|overload| overload.idle_hosts));
    }
}
