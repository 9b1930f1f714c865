//! The director: what is known, stepped.

use std::time::Duration;

use briartray_model::names::{DomainName, GroupId, IncarnationId, NodeName, ServiceName};
use briartray_model::{SortedTable, TimePoint};

use super::demand::DemandBook;
use super::group::{GroupRun, GroupScene, GroupStep, next_step};
use super::hosts::HostTable;
use super::loads::LoadLimiter;
use super::plan::{FreeHost, GroupPlanner, PlanAction, PlanView};
use super::pulse::PulseBook;
use super::stray;
use super::{
    EndpointBeat, EndpointOrder, EndpointReport, HostRecord, MarkState, OrderCall, OrderOutcome,
};
use crate::deployment::{DeploymentPlan, EngineModel, ModelSpec, ServiceSpec};
use crate::message::{EndpointView, EntryReport, FleetView, GroupView, ViewVersion};
use crate::state::{EndpointRecord, FleetCommand, FleetState, GroupRecord};

/// Time a new leader asks the endpoints it inherits before it acts: two probes fit in.
const SURVEY: Duration = Duration::from_millis(700);

/// Time a first leader listens before it forms groups: beats come every 1.2 s, and groups that are
/// formed of the first few hosts to be heard are not those that all of them would make.
const LISTEN_FIRST: Duration = Duration::from_millis(1_300);

/// As above, while further endpoints are still heard for the first time.
const LISTEN_LONGEST: Duration = Duration::from_millis(2_200);

/// Time after a first start before weights are staged on hosts that are left over.
const GATHER: Duration = Duration::from_millis(3_500);

/// Time without a new endpoint after which all of them are taken to be known.
const NEWCOMER_PAUSE: Duration = Duration::from_millis(300);

/// Time for which a host that was heard for the first time keeps the weights it has.
const FRESH: Duration = Duration::from_millis(2_500);

/// Time between two looks at the demand.
const DEMAND_EVERY: Duration = Duration::from_millis(500);

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
    demand: DemandBook,
    demand_at: TimePoint,
    /// When an endpoint was heard of for the first time, lately.
    newcomer_at: TimePoint,
    runs: SortedTable<GroupId, GroupRun>,
    loads: LoadLimiter,
    serving: bool,
    /// Commands that are not applied yet; nothing is planned meanwhile.
    open_commands: usize,
    entries: SortedTable<NodeName, TimePoint>,
    /// Endpoints whose record is on its way into the log.
    announced: Vec<IncarnationId>,
}

impl FleetDirector {
    /// A director of a leader that begins at `now` with what was agreed before.
    pub fn new(now: TimePoint, state: &FleetState) -> Self {
        let inherits = !state.endpoints().is_empty();
        let loads = if inherits { LoadLimiter::used_up(now, 1.0) } else { LoadLimiter::default() };
        let mut director = Self { since: now, inherits, loads, ..Self::default() };
        for record in state.endpoints().values() {
            director.hosts.inherit(now, inherited_beat(record));
        }
        director
    }

    /// Takes a beat; tells whether it says something new.
    pub fn beat(&mut self, now: TimePoint, beat: EndpointBeat) -> bool {
        let known = self.hosts.get(&beat.id).map(|host| host.beat.report.clone());
        if known.is_none() {
            self.supersede(&beat);
            self.newcomer_at = now;
        }
        let news = known.as_ref() != Some(&beat.report);
        self.hosts.beat(now, beat) && news
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
            OrderOutcome::Unknown => {
                for run in self.runs.values_mut() {
                    run.forget_asked(&call.id, &call.order);
                }
                self.hosts.probe_now(now, &call.id);
            }
            OrderOutcome::Holds => self.hosts.probe_now(now, &call.id),
            OrderOutcome::Begun | OrderOutcome::Misfit | OrderOutcome::Fenced => {}
        }
    }

    /// Takes what an entry saw.
    pub fn report(&mut self, now: TimePoint, report: &EntryReport, state: &FleetState) {
        self.entries.insert(report.node.clone(), now);
        self.serving |= report.serving;
        for demand in &report.demand {
            self.demand.add(now, demand);
        }
        for pulse in &report.pulses {
            let silent = self.pulses.take(now, &report.node, pulse);
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
        let waited = now.since(self.since);
        match self.inherits {
            true => waited >= SURVEY || self.hosts.is_surveyed(),
            false => {
                let quiet = now.since(self.newcomer_at) >= NEWCOMER_PAUSE;
                (waited >= LISTEN_FIRST && quiet) || waited >= LISTEN_LONGEST
            }
        }
    }

    /// Everything that is due.
    pub fn step(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
    ) -> DirectorOutput {
        let mut output = DirectorOutput::default();
        self.keep_records(now, state, &mut output);
        self.runs.retain(|group, _| state.groups().contains_key(group));
        self.pulses.retain(|group| state.groups().contains_key(&group));
        self.ask_reports(now, state, &mut output);
        if self.is_settled(now) {
            self.act(now, state, plan, &mut output);
        }
        self.open_commands += output.commands.len();
        output
    }

    /// Steps the groups, and plans further ones while no command is under way.
    fn act(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
        output: &mut DirectorOutput,
    ) {
        if now >= self.demand_at {
            self.demand.roll(now);
            self.demand_at = now.after(DEMAND_EVERY);
        }
        self.note_warm(state);
        output.orders.extend(stray::recall(now, &mut self.hosts, state));
        self.step_groups(now, state, plan, output);
        if self.open_commands > 0 {
            return;
        }
        for service in &plan.services {
            if let Some(engine) = &service.engine {
                self.plan_groups(now, state, service, engine, output);
            }
        }
    }

    /// What entries may send to.
    pub fn view(
        &self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
        version: ViewVersion,
    ) -> FleetView {
        let scene = self.scene(now, state, plan);
        let mut view = FleetView { version, ..FleetView::default() };
        for service in plan.services.iter().filter(|service| service.engine.is_none()) {
            view.endpoints.extend(self.endpoints_of(service, state));
        }
        for (group, record) in state.groups().iter().filter(|(_, record)| !record.standby) {
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

    /// Hosts that are in no group, by domain and by the weights they have, in a few words.
    pub fn spare_summary(&self, state: &FleetState) -> String {
        let mut kinds: Vec<String> = Vec::new();
        for (id, host) in self.hosts.iter() {
            let Some(domain) = &host.beat.report.domain else { continue };
            let grouped = state
                .groups()
                .values()
                .any(|group| !group.standby && group.members.iter().any(|member| member.id == *id));
            if grouped || host.is_lost() || host.beat.leaving || state.is_leaving(id) {
                continue;
            }
            let staged = host.beat.report.staged.join("+");
            let loading = host.staging.as_ref().map_or("", |(model, _)| model);
            kinds.push(format!("{domain}:{staged}>{loading}"));
        }
        kinds.sort();
        let asked = self.demand.summary();
        let counts =
            kinds.chunk_by(|a, b| a == b).map(|same| format!("{} {}", same[0], same.len()));
        format!("{}; busy {asked}", counts.collect::<Vec<_>>().join(", "))
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

    fn scene<'a>(
        &'a self,
        now: TimePoint,
        state: &'a FleetState,
        plan: &'a DeploymentPlan,
    ) -> GroupScene<'a> {
        GroupScene { now, hosts: &self.hosts, pulses: &self.pulses, state, plan }
    }

    /// Brings the agreed list of endpoints up to date with what was heard.
    fn keep_records(&mut self, now: TimePoint, state: &FleetState, output: &mut DirectorOutput) {
        self.hosts.prune(now);
        for (id, host) in self.hosts.iter() {
            let known = state.endpoints().get(id);
            if known.is_none() && !host.is_lost() && !self.announced.contains(id) {
                self.announced.push(id.clone());
                output.commands.push(FleetCommand::Announce(record_of(host)));
            }
        }
        for id in state.endpoints().keys().filter(|id| self.hosts.get(id).is_none()) {
            self.announced.retain(|known| known != id);
            output.commands.push(FleetCommand::Forget(id.clone()));
        }
    }

    /// Notes which model each host can join a group of at once.
    fn note_warm(&mut self, state: &FleetState) {
        for (_, host) in self.hosts.iter_mut() {
            let Some(mark) = &host.beat.report.mark else { continue };
            let warm = matches!(mark.state, MarkState::Ready | MarkState::Open);
            if let Some(record) = state.groups().get(&mark.group).filter(|_| warm)
                && host.warm.as_deref() != Some(&record.model)
            {
                host.warm = Some(record.model.clone());
            }
        }
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
            match next_step(&self.scene(now, state, plan), *group, record, run) {
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

/// What is agreed on of an endpoint.
fn record_of(host: &HostRecord) -> EndpointRecord {
    let beat = &host.beat;
    EndpointRecord {
        id: beat.id.clone(),
        service: beat.service.clone(),
        address: beat.address.clone(),
        zone: beat.zone.clone(),
        domain: beat.report.domain.clone(),
        slots: beat.slots,
    }
}

/// The beat that an earlier leader would have had; any real one is newer.
fn inherited_beat(record: &EndpointRecord) -> EndpointBeat {
    EndpointBeat {
        id: record.id.clone(),
        service: record.service.clone(),
        address: record.address.clone(),
        zone: record.zone.clone(),
        slots: record.slots,
        leaving: false,
        sequence: 0,
        report: EndpointReport { domain: record.domain.clone(), ..EndpointReport::default() },
    }
}

fn load_time(plan: &DeploymentPlan, record: &GroupRecord) -> Duration {
    let engine = plan.service(&record.service).and_then(|service| service.engine.as_ref());
    let model = engine.and_then(|engine| engine.model(&record.model));
    model.map_or(Duration::ZERO, |model| model.load_time)
}
