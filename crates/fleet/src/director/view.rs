//! The view of endpoints and groups that entries receive.

use briartray_model::TimePoint;

use super::FleetDirector;
use super::evacuation::is_evacuated;
use crate::deployment::{DeploymentPlan, ServiceSpec};
use crate::limit::EndpointRate;
use crate::message::{EndpointView, FleetView, GroupView, ViewVersion};
use crate::state::{FleetState, GroupRecord, MemberIndex};

impl FleetDirector {
    /// Endpoints and groups to which entries may send requests.
    pub fn view(
        &self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
        version: ViewVersion,
    ) -> FleetView {
        let context = self.context(now, state, plan);
        let partial = !self.is_discovery_complete(now);
        let mut view = FleetView { version, partial, ..FleetView::default() };
        for service in plan.services.iter().filter(|service| service.engine.is_none()) {
            view.endpoints.extend(self.endpoints_of(now, service, state));
        }
        view.endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        for (group, record) in state.groups().iter().filter(|(_, record)| !record.standby) {
            let Some(head) = record.members.first() else { continue };
            view.groups.push(GroupView {
                group: *group,
                service: record.service.clone(),
                model: record.model.clone(),
                head: head.id.clone(),
                address: head.address.clone(),
                zone: record.zone.clone(),
                open: context.status(*group, record).is_open()
                    && !is_evacuated(&self.hosts, state, record),
                cold: self.head_cold_rate(now, record, plan),
            });
        }
        view
    }

    /// Spare hosts by domain and weights, with the demand and the last plan, as one line for the
    /// log.
    pub fn spare_summary(&self, state: &FleetState) -> String {
        let mut descriptions: Vec<String> = Vec::new();
        let index = MemberIndex::new(state);
        for (id, host) in self.hosts.iter() {
            let Some(domain) = &host.heartbeat.report.domain else { continue };
            let grouped = index.group_of(id).is_some_and(|group| !group.standby);
            if grouped || host.is_lost() || host.heartbeat.leaving || state.is_leaving(id) {
                continue;
            }
            let staged = host.heartbeat.report.staged.join("+");
            let loading = host.staging.as_ref().map_or("", |(model, _)| model);
            descriptions.push(format!("{domain}:{staged}>{loading}"));
        }
        descriptions.sort();
        let demand = self.demand.summary();
        let counts =
            descriptions.chunk_by(|a, b| a == b).map(|same| format!("{} {}", same[0], same.len()));
        format!("{}; busy {demand}; {}", counts.collect::<Vec<_>>().join(", "), self.plan_summary)
    }

    /// Rate that the head of a group accepts while it is cold.
    fn head_cold_rate(
        &self,
        now: TimePoint,
        record: &GroupRecord,
        plan: &DeploymentPlan,
    ) -> Option<EndpointRate> {
        let terms = plan.service(&record.service)?.cold;
        self.hosts.get(&record.members.first()?.id)?.cold_rate(now, terms)
    }

    /// Endpoints of `service` that take requests.
    fn endpoints_of<'a>(
        &'a self,
        now: TimePoint,
        service: &'a ServiceSpec,
        state: &'a FleetState,
    ) -> impl Iterator<Item = EndpointView> + 'a {
        self.hosts
            .of_service(&service.name)
            .filter(|(id, host)| !host.heartbeat.leaving && !state.is_leaving(id))
            .filter(|(_, host)| !state.is_evacuated(&host.heartbeat.zone))
            .map(move |(id, host)| EndpointView {
                id: id.clone(),
                service: host.heartbeat.service.clone(),
                address: host.heartbeat.address.clone(),
                zone: host.heartbeat.zone.clone(),
                slots: host.heartbeat.slots,
                cold: host.cold_rate(now, service.cold),
            })
    }
}
