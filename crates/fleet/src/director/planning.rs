//! What the planner is shown, and carrying out what it wants.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName};

use super::plan::{FreeHost, GroupPlanner, PlanAction, PlanView};
use super::step::{DirectorOutput, LOAD_PATIENCE};
use super::stray;
use super::{EndpointOrder, FleetDirector, HostRecord, OrderCall};
use crate::deployment::{EngineModel, ModelSpec, ServiceSpec};
use crate::state::{FleetCommand, FleetState, GroupRecord};

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
        let usable = |id: &IncarnationId, host: &HostRecord| {
            !host.is_lost() && !host.beat.leaving && !state.is_leaving(id)
        };
        let hosts = self.hosts.of_service(service).filter(|(id, host)| usable(id, host)).count();
        let free = self
            .hosts
            .of_service(service)
            .filter(|(id, host)| usable(id, host))
            .filter_map(|(id, host)| free_host(now, state, id, host))
            .collect();
        let models = &engine.models;
        let groups =
            models.iter().map(|model| self.lasting_groups(state, service, &model.name)).collect();
        let busy = |model: &ModelSpec| self.demand.busy(now, service, &model.name);
        let demand = models.iter().map(busy).collect();
        let gathering = self.is_gathering(now).then(|| self.domains(service));
        let serving = self.serving;
        PlanView { service, engine, free, groups, hosts, demand, gathering, serving }
    }

    /// Groups of `model` that serve or form and are not about to end, with their domains.
    fn lasting_groups(
        &self,
        state: &FleetState,
        service: &ServiceName,
        model: &str,
    ) -> Vec<(GroupId, DomainName)> {
        let ends = |group: &GroupId| self.runs.get(group).is_some_and(|run| run.ending.is_some());
        let serves = |record: &GroupRecord| {
            !record.standby && record.service == *service && record.model == model
        };
        let groups = state.groups().iter();
        let lasting = groups.filter(|(group, record)| serves(record) && !ends(group));
        lasting.map(|(group, record)| (*group, record.domain.clone())).collect()
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

/// The host as the planner sees it; `None` while a group that serves, or an ended one, has it.
fn free_host(
    now: TimePoint,
    state: &FleetState,
    id: &IncarnationId,
    host: &HostRecord,
) -> Option<FreeHost> {
    let has = |group: &&GroupRecord| group.members.iter().any(|member| member.id == *id);
    let group = state.groups().values().find(has);
    if stray::is_stray(host, state) || group.is_some_and(|group| !group.standby) {
        return None;
    }
    let nowhere = || DomainName::new("");
    Some(FreeHost {
        id: id.clone(),
        address: host.beat.address.clone(),
        domain: host.beat.report.domain.clone().unwrap_or_else(nowhere),
        zone: host.beat.zone.clone(),
        staged: host.beat.report.staged.clone(),
        staging: host.staging.as_ref().map(|(model, _)| model.clone()),
        warm: host.warm.clone(),
        fresh: now.since(host.since) < FRESH,
        standby: group.is_some(),
    })
}
