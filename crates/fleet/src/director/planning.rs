//! What the planner is shown, and carrying out what it wants.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName};

use super::plan::{FreeHost, GroupPlanner, PlanAction, PlanView};
use super::step::{DirectorOutput, LOAD_PATIENCE};
use super::stray;
use super::{EndpointOrder, FleetDirector, HostRecord, OrderCall};
use crate::deployment::{EngineModel, ModelSpec, ServiceSpec};
use crate::state::{FleetCommand, FleetState};

/// Time after a first start before weights are staged on hosts that are left over.
const GATHER: Duration = Duration::from_millis(3_500);

/// Time for which a host that was heard for the first time keeps the weights it has.
const FRESH: Duration = Duration::from_millis(2_500);

impl FleetDirector {
    pub(super) fn plan_groups(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        service: &ServiceSpec,
        engine: &EngineModel,
        output: &mut DirectorOutput,
    ) {
        let view = self.plan_view(now, state, &service.name, engine);
        match GroupPlanner::new(view).next() {
            Some(PlanAction::Form { group, loads }) if self.may_load(now, engine, loads, 0) => {
                self.loads.begin(now, if self.serving { loads } else { 0 });
                output.commands.push(FleetCommand::FormGroup(group));
            }
            // Hosts that are heard late would else find no partners for a group.
            Some(PlanAction::Stage { .. }) if !self.serving && self.is_gathering(now) => {}
            Some(PlanAction::Stage { host, model }) => {
                let busy = self.hosts.iter().filter(|(_, host)| host.staging.is_some()).count();
                if self.may_load(now, engine, 1, busy) {
                    self.loads.begin(now, 1);
                    self.stage(now, engine, &host, model, output);
                }
            }
            Some(PlanAction::End(group)) => {
                if let Some(run) = self.runs.get_mut(&group) {
                    run.ending = Some(now);
                }
            }
            Some(PlanAction::Form { .. }) | None => {}
        }
    }

    /// Fabric domains that hosts of `service` were heard from.
    fn domains(&self, service: &ServiceName) -> usize {
        let domain = |host: &HostRecord| host.beat.report.domain.clone();
        let mut domains: Vec<DomainName> =
            self.hosts.of_service(service).filter_map(|(_, host)| domain(host)).collect();
        domains.sort();
        domains.dedup();
        domains.len()
    }

    /// Whether hosts may still be heard for the first time after a first start.
    fn is_gathering(&self, now: TimePoint) -> bool {
        !self.inherits && now.since(self.since) < GATHER
    }

    /// Before callers ask for anything, loads are short and do not count against the rate.
    fn may_load(&self, now: TimePoint, engine: &EngineModel, loads: usize, busy: usize) -> bool {
        let free = loads == 0 || !self.serving;
        let room = busy < engine.loads_at_once;
        free || (room && self.loads.may_begin(now, engine.loads_per_second, loads))
    }

    fn stage(
        &mut self,
        now: TimePoint,
        engine: &EngineModel,
        id: &IncarnationId,
        model: String,
        output: &mut DirectorOutput,
    ) {
        let time = engine.model(&model).map_or(Duration::ZERO, |spec| spec.load_time);
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.staging = Some((model.clone(), now.after(time * LOAD_PATIENCE)));
        let (id, address) = (id.clone(), host.beat.address.clone());
        output.orders.push(OrderCall { id, address, order: EndpointOrder::Stage { model } });
    }

    fn plan_view<'a>(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        service: &'a ServiceName,
        engine: &'a EngineModel,
    ) -> PlanView<'a> {
        self.settle_staging(now);
        let group_of = |id: &IncarnationId| {
            state.groups().values().find(|group| group.members.iter().any(|host| host.id == *id))
        };
        let mut free = Vec::new();
        let mut hosts = 0;
        for (id, host) in self.hosts.of_service(service) {
            let usable = !host.is_lost() && !host.beat.leaving && !state.is_leaving(id);
            if !usable {
                continue;
            }
            hosts += 1;
            if stray::is_stray(host, state) {
                continue;
            }
            let group = group_of(id);
            if group.is_some_and(|group| !group.standby) {
                continue;
            }
            let nowhere = DomainName::new("");
            free.push(FreeHost {
                id: id.clone(),
                address: host.beat.address.clone(),
                domain: host.beat.report.domain.clone().unwrap_or(nowhere),
                zone: host.beat.zone.clone(),
                staged: host.beat.report.staged.clone(),
                staging: host.staging.as_ref().map(|(model, _)| model.clone()),
                warm: host.warm.clone(),
                fresh: now.since(host.since) < FRESH,
                standby: group.is_some(),
            });
        }
        let serving_groups = |model: &str| {
            let ends =
                |group: &GroupId| self.runs.get(group).is_some_and(|run| run.ending.is_some());
            state
                .groups()
                .iter()
                .filter(|(group, record)| {
                    !record.standby
                        && record.service == *service
                        && record.model == model
                        && !ends(group)
                })
                .map(|(group, record)| (*group, record.domain.clone()))
                .collect()
        };
        let groups = engine.models.iter().map(|model| serving_groups(&model.name)).collect();
        let busy = |model: &ModelSpec| self.demand.busy(now, service, &model.name);
        let demand = engine.models.iter().map(busy).collect();
        let gathering = self.is_gathering(now).then(|| self.domains(service));
        let serving = self.serving;
        PlanView { service, engine, free, groups, hosts, demand, gathering, serving }
    }

    /// Staging is over once the host reports the weights, or too much time has passed.
    fn settle_staging(&mut self, now: TimePoint) {
        for (_, host) in self.hosts.iter_mut() {
            let over = host
                .staging
                .as_ref()
                .is_some_and(|(model, until)| now >= *until || host.has_staged(model));
            if over {
                host.staging = None;
            }
        }
    }
}
