//! The director: what is known, stepped.

use std::time::Duration;

use briartray_model::names::{DomainName, GroupId, IncarnationId, NodeName, ServiceName};
use briartray_model::{SortedTable, TimePoint};

use super::group::{GroupRun, GroupScene, GroupStep, next_step};
use super::hosts::HostTable;
use super::loads::LoadLimiter;
use super::plan::{FreeHost, GroupPlanner, PlanAction, PlanView};
use super::pulse::PulseBook;
use super::{EndpointBeat, EndpointOrder, EndpointReport, OrderCall, OrderOutcome};
use crate::deployment::{DeploymentPlan, EngineModel, ServiceSpec};
use crate::message::{EndpointView, EntryReport, FleetView, GroupView, ViewVersion};
use crate::state::{FleetCommand, FleetState, GroupRecord};

/// Time a new leader listens before it acts on what it does not hear: beats come every 1.2 s,
/// and an endpoint that failed to reach the old leader tries others first.
const LISTEN_FIRST: Duration = Duration::from_millis(2_200);

/// Factor on a load's time after which it counts as failed: loads slow each other down.
const LOAD_PATIENCE: u32 = 3;

/// A report to be asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeCall {
    /// The endpoint.
    pub id: IncarnationId,
    /// Where it listens.
    pub address: String,
}

/// What follows from a step.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DirectorOutput {
    /// Orders to send.
    pub orders: Vec<OrderCall>,
    /// Reports to ask for.
    pub probes: Vec<ProbeCall>,
    /// Commands for the log.
    pub commands: Vec<FleetCommand>,
}

/// What a leader knows of the endpoints, and what it does about them.
#[derive(Debug, Clone, Default)]
pub struct FleetDirector {
    since: TimePoint,
    /// Whether an earlier leader may have left groups whose hosts are yet to be heard.
    inherits: bool,
    hosts: HostTable,
    pulses: PulseBook,
    runs: SortedTable<GroupId, GroupRun>,
    loads: LoadLimiter,
    serving: bool,
    /// Commands that are not applied yet; nothing is planned meanwhile.
    open_commands: usize,
    entries: SortedTable<NodeName, TimePoint>,
}

impl FleetDirector {
    /// A director of a leader that begins at `now`; `first` on the first start of a deployment.
    pub fn new(now: TimePoint, first: bool) -> Self {
        let loads = if first { LoadLimiter::default() } else { LoadLimiter::used_up(now, 1.0) };
        Self { since: now, inherits: !first, loads, ..Self::default() }
    }

    /// Takes a beat; `false` when it is older than what is known.
    pub fn beat(&mut self, now: TimePoint, beat: EndpointBeat) -> bool {
        let known = self.hosts.get(&beat.id).is_some();
        if !known {
            self.supersede(&beat);
        }
        self.hosts.beat(now, beat)
    }

    /// Takes the answer to a probe, or that none came.
    pub fn probed(&mut self, now: TimePoint, id: &IncarnationId, report: Option<EndpointReport>) {
        self.hosts.probed(now, id, report);
    }

    /// Takes what came of an order.
    pub fn ordered(&mut self, now: TimePoint, call: &OrderCall, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::OtherEndpoint => self.hosts.remove(&call.id),
            // What it did, if anything, shows in the next report.
            OrderOutcome::Unknown | OrderOutcome::Holds => self.hosts.probe_now(now, &call.id),
            OrderOutcome::Begun | OrderOutcome::Misfit | OrderOutcome::Fenced => {}
        }
    }

    /// Takes what an entry saw.
    pub fn report(&mut self, now: TimePoint, report: &EntryReport, state: &FleetState) {
        self.entries.insert(report.node.clone(), now);
        self.serving |= report.serving;
        for pulse in &report.pulses {
            let silent = self.pulses.take(now, pulse);
            let Some(group) = state.groups().get(&pulse.group).filter(|_| silent) else { continue };
            for host in &group.members {
                self.hosts.probe_now(now, &host.id);
            }
        }
    }

    /// Takes note that a command was applied, or lost.
    pub fn command_done(&mut self) {
        self.open_commands = self.open_commands.saturating_sub(1);
    }

    /// An endpoint is gone for good.
    pub fn gone(&mut self, id: &IncarnationId) {
        self.hosts.remove(id);
    }

    /// Whether enough was heard to act on what was not.
    pub fn is_settled(&self, now: TimePoint) -> bool {
        !self.inherits || now.since(self.since) >= LISTEN_FIRST
    }

    /// Everything that is due.
    pub fn step(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
    ) -> DirectorOutput {
        let mut output = DirectorOutput::default();
        self.hosts.prune(now);
        self.runs.retain(|group, _| state.groups().contains_key(group));
        self.pulses.retain(|group| state.groups().contains_key(&group));
        self.ask_reports(now, state, &mut output);
        if !self.is_settled(now) {
            return output;
        }
        self.step_groups(now, state, plan, &mut output);
        if self.open_commands == 0 {
            for service in &plan.services {
                if let Some(engine) = &service.engine {
                    self.plan_groups(now, state, service, engine, &mut output);
                }
            }
        }
        self.open_commands += output.commands.len();
        output
    }

    /// What entries may send to.
    pub fn view(
        &self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
        version: ViewVersion,
    ) -> FleetView {
        let scene = self.scene(now, state);
        let mut view = FleetView { version, ..FleetView::default() };
        for service in plan.services.iter().filter(|service| service.engine.is_none()) {
            view.endpoints.extend(self.endpoints_of(service, state));
        }
        for (group, record) in state.groups().iter() {
            let Some(head) = record.members.first() else { continue };
            view.groups.push(GroupView {
                group: *group,
                service: record.service.clone(),
                model: record.model.clone(),
                head: head.id.clone(),
                address: head.address.clone(),
                zone: record.zone.clone(),
                open: scene.is_open(*group, record),
            });
        }
        view
    }

    /// The endpoints that are known.
    pub fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    fn endpoints_of<'a>(
        &'a self,
        service: &'a ServiceSpec,
        state: &'a FleetState,
    ) -> impl Iterator<Item = EndpointView> + 'a {
        self.hosts
            .of_service(&service.name)
            .filter(|(id, host)| !host.beat.leaving && !state.is_leaving(id))
            .map(|(id, host)| EndpointView {
                id: id.clone(),
                service: host.beat.service.clone(),
                address: host.beat.address.clone(),
                zone: host.beat.zone.clone(),
                slots: host.beat.slots,
            })
    }

    /// Whoever was at the address of a new endpoint before is most likely gone.
    ///
    /// A beat of the earlier one may still arrive late; it counts as lost until it beats again.
    fn supersede(&mut self, beat: &EndpointBeat) {
        let earlier: Vec<IncarnationId> = self
            .hosts
            .iter()
            .filter(|(id, host)| host.beat.address == beat.address && **id != beat.id)
            .map(|(id, _)| id.clone())
            .collect();
        for id in earlier {
            self.hosts.mark_lost(&id);
        }
    }

    fn scene<'a>(&'a self, now: TimePoint, state: &'a FleetState) -> GroupScene<'a> {
        GroupScene { now, hosts: &self.hosts, pulses: &self.pulses, state }
    }

    fn ask_reports(&mut self, now: TimePoint, state: &FleetState, output: &mut DirectorOutput) {
        let grouped = |id: &IncarnationId| {
            state.groups().values().any(|group| group.members.iter().any(|host| host.id == *id))
        };
        let due = self.hosts.due_probes(now, grouped);
        output.probes.extend(due.into_iter().map(|(id, address)| ProbeCall { id, address }));
    }

    fn step_groups(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
        output: &mut DirectorOutput,
    ) {
        let mut runs = std::mem::take(&mut self.runs);
        for (group, record) in state.groups().iter() {
            let patience = load_time(plan, record) * LOAD_PATIENCE;
            let run = runs.get_or_insert_with(*group, || GroupRun::new(now, patience));
            match next_step(&self.scene(now, state), *group, record, run) {
                GroupStep::Nothing => {}
                GroupStep::Order(calls) => output.orders.extend(calls),
                GroupStep::End => output.commands.push(FleetCommand::EndGroup(*group)),
            }
        }
        self.runs = runs;
    }

    fn plan_groups(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        service: &ServiceSpec,
        engine: &EngineModel,
        output: &mut DirectorOutput,
    ) {
        let view = self.plan_view(now, state, &service.name, engine);
        match GroupPlanner::new(view).next() {
            Some(PlanAction::Form { group, loads }) => {
                if self.may_load(now, engine, loads, 0) {
                    self.loads.begin(now, if self.serving { loads } else { 0 });
                    output.commands.push(FleetCommand::FormGroup(group));
                }
            }
            Some(PlanAction::Stage { host, model }) => {
                let busy = self.hosts.iter().filter(|(_, host)| host.staging.is_some()).count();
                if self.may_load(now, engine, 1, busy) {
                    self.loads.begin(now, 1);
                    self.stage(now, engine, &host, model, output);
                }
            }
            None => {}
        }
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
        let taken = |id: &IncarnationId| {
            state.groups().values().any(|group| group.members.iter().any(|host| host.id == *id))
        };
        let mut free = Vec::new();
        let mut hosts = 0;
        for (id, host) in self.hosts.of_service(service) {
            let usable = !host.is_lost() && !host.beat.leaving && !state.is_leaving(id);
            if !usable {
                continue;
            }
            hosts += 1;
            if taken(id) {
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
            });
        }
        let serving_groups = |model: &str| {
            let ends =
                |group: &GroupId| self.runs.get(group).is_some_and(|run| run.ending.is_some());
            state
                .groups()
                .iter()
                .filter(|(group, record)| {
                    record.service == *service && record.model == model && !ends(group)
                })
                .count()
        };
        let groups = engine.models.iter().map(|model| serving_groups(&model.name)).collect();
        PlanView { service, engine, free, groups, hosts, demand: None, serving: self.serving }
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

fn load_time(plan: &DeploymentPlan, record: &GroupRecord) -> Duration {
    let engine = plan.service(&record.service).and_then(|service| service.engine.as_ref());
    let model = engine.and_then(|engine| engine.model(&record.model));
    model.map_or(Duration::ZERO, |model| model.load_time)
}
