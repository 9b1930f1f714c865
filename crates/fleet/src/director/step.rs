//! The director: what is known, stepped.

use std::time::Duration;

use briartray_model::names::{GroupId, IncarnationId, NodeName, ServiceName, ZoneName};
use briartray_model::{SortedTable, TimePoint};

use super::demand::DemandBook;
use super::group::{GroupRun, GroupScene, GroupStep, next_step};
use super::host_record::HostRecord;
use super::hosts::HostTable;
use super::loads::LoadLimiter;
use super::order_window::OrderWindow;
use super::pulse::PulseBook;
use super::records::inherited_beat;
use super::stray;
use super::{
    EndpointBeat, EndpointOrder, EndpointReport, MarkState, OrderCall, OrderOutcome, ProbeCall,
};
use crate::deployment::DeploymentPlan;
use crate::message::{EntryReport, GroupLoad};
use crate::state::{FleetCommand, FleetState, GroupRecord, MemberIndex};

/// Time a new leader asks the endpoints it inherits before it acts: two probes fit in.
const SURVEY: Duration = Duration::from_millis(700);

/// Time a first leader listens before it forms groups: beats come every 1.2 s, and groups that are
/// formed of the first few hosts to be heard are not those that all of them would make.
const LISTEN_FIRST: Duration = Duration::from_millis(1_300);

/// As above, while further endpoints are still heard for the first time, or asked by a new leader.
const LISTEN_LONGEST: Duration = Duration::from_millis(2_200);

/// Time without a new endpoint after which all of them are taken to be known.
const NEWCOMER_PAUSE: Duration = Duration::from_millis(300);

/// Time between two looks at the demand.
const DEMAND_EVERY: Duration = Duration::from_millis(500);

/// Factor on a load's time after which it counts as failed: loads slow each other down.
pub(super) const LOAD_PATIENCE: u32 = 3;

/// Time without a report after which an entry no longer counts: a dozen reports.
pub const ENTRY_GONE: Duration = Duration::from_secs(3);

/// Number that no group has.
const NO_GROUP: GroupId = GroupId(0);

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
    pub(super) since: TimePoint,
    /// Whether an earlier leader may have left groups whose hosts are yet to be heard.
    pub(super) inherits: bool,
    /// Hosts of each model's groups when the leader took over.
    pub(super) inherited_hosts: SortedTable<(ServiceName, String), usize>,
    /// Whether enough has been heard to act.
    acts: bool,
    pub(super) hosts: HostTable,
    pub(super) pulses: PulseBook,
    pub(super) demand: DemandBook,
    demand_at: TimePoint,
    /// When an endpoint was heard of for the first time, lately.
    newcomer_at: TimePoint,
    pub(super) runs: SortedTable<GroupId, GroupRun>,
    pub(super) loads: LoadLimiter,
    /// Orders that are under way.
    window: OrderWindow,
    /// What decided when something was planned last.
    pub(super) plan_note: String,
    pub(super) serving: bool,
    /// Something was learnt since the planner looked last.
    pub(super) news: bool,
    /// When the planner looks again although nothing was learnt.
    pub(super) look_at: TimePoint,
    /// Commands that are not applied yet; nothing is planned meanwhile.
    open_commands: usize,
    entries: SortedTable<NodeName, TimePoint>,
    /// Endpoints whose record is on its way into the log.
    pub(super) announced: Vec<IncarnationId>,
}

impl FleetDirector {
    /// A director of a leader that begins at `now` with what was agreed before.
    pub fn new(now: TimePoint, state: &FleetState) -> Self {
        let inherits = !state.endpoints().is_empty();
        // Callers may be served already: loads count then, and take their full time.
        let mut director = Self { since: now, inherits, serving: inherits, ..Self::default() };
        for group in state.groups().values().filter(|group| !group.standby) {
            let key = (group.service.clone(), group.model.clone());
            *director.inherited_hosts.get_or_insert_with(key, || 0) += group.members.len();
        }
        for record in state.endpoints().values() {
            director.hosts.inherit(now, inherited_beat(record));
        }
        director
    }

    /// Takes a beat; tells whether it says something new.
    pub fn beat(&mut self, now: TimePoint, beat: EndpointBeat) -> bool {
        let report = |host: &HostRecord| host.beat.report.clone();
        let id = beat.id.clone();
        let known = self.hosts.get(&id).map(report);
        if known.is_none() {
            self.newcomer_at = now;
        }
        let told = self.hosts.beat(now, beat) && known != self.hosts.get(&id).map(report);
        self.news |= told;
        told
    }

    /// Takes the answer to a probe, or that none came; tells whether it says something new.
    pub fn probed(
        &mut self,
        now: TimePoint,
        id: &IncarnationId,
        report: Option<EndpointReport>,
    ) -> bool {
        let told = |hosts: &HostTable| hosts.get(id).map(|host| host.beat.report.clone());
        let known = told(&self.hosts);
        let silent = report.is_none();
        self.hosts.probed(now, id, report);
        let changed = known != told(&self.hosts);
        self.news |= changed || silent;
        changed
    }

    /// Takes note that nobody had time to read the answer to a probe.
    pub fn unread(&mut self, now: TimePoint, id: &IncarnationId) {
        self.hosts.unread(now, id);
    }

    /// Takes what came of an order.
    pub fn ordered(&mut self, now: TimePoint, call: &OrderCall, outcome: OrderOutcome) {
        self.window.end();
        self.news = true;
        if !matches!(outcome, OrderOutcome::Unknown | OrderOutcome::OtherEndpoint) {
            self.hosts.proven(now, &call.id);
        }
        match outcome {
            OrderOutcome::OtherEndpoint => self.hosts.remove(&call.id),
            // What it did, if anything, shows in the next report.
            OrderOutcome::Unknown => {
                self.hosts.give_up_staging(now, &call.id, &call.order);
                for run in self.runs.values_mut() {
                    run.forget_asked(&call.id, &call.order);
                }
                self.hosts.probe_now(now, &call.id);
            }
            OrderOutcome::Holds => self.hosts.probe_now(now, &call.id),
            OrderOutcome::Misfit | OrderOutcome::Fenced => {
                self.hosts.give_up_staging(now, &call.id, &call.order);
            }
            // What it was told to leave it has left by now, and its next beat may be lost on the way.
            OrderOutcome::Begun if matches!(call.order, EndpointOrder::Leave { .. }) => {
                self.hosts.probe_now(now, &call.id);
            }
            OrderOutcome::Begun => {}
        }
    }

    /// Takes what an entry saw.
    pub fn report(&mut self, now: TimePoint, report: &EntryReport, state: &FleetState) {
        self.entries.insert(report.node.clone(), now);
        self.pulses.expect(self.entries.len());
        self.serving |= report.serving;
        for demand in &report.demand {
            self.demand.add(now, demand);
        }
        for silent in self.pulses.take(now, &report.node, &report.pulses) {
            let Some(group) = state.groups().get(&silent) else { continue };
            for host in &group.members {
                self.hosts.probe_suspect(now, &host.id);
            }
        }
    }

    /// What entries other than the reporting one have on the groups, or on a part of many.
    pub fn loads_beside(&self, report: &EntryReport) -> Vec<GroupLoad> {
        self.pulses.loads_beside(&report.node, report.nonce)
    }

    /// Forgets entries that report no more.
    fn forget_entries(&mut self, now: TimePoint) {
        let pulses = &mut self.pulses;
        self.entries.retain(|entry, heard| {
            let stays = now.since(*heard) < ENTRY_GONE;
            if !stays {
                pulses.forget(entry);
            }
            stays
        });
    }

    /// Takes note that the endpoints of `zone` are sent to again.
    pub fn readmit(&mut self, now: TimePoint, zone: &ZoneName) {
        self.hosts.readmit(now, zone);
        self.news = true;
    }

    /// Takes note that a command was applied, or lost.
    pub fn command_done(&mut self) {
        self.open_commands = self.open_commands.saturating_sub(1);
        self.news = true;
    }

    /// The start of an endpoint that is meant by `id`: the one that is known where `id` does not
    /// tell.
    pub fn leaving_start(&self, id: IncarnationId) -> IncarnationId {
        match id.started_at() {
            Some(_) => id,
            None => self.hosts.start_of(id.endpoint()).cloned().unwrap_or(id),
        }
    }

    /// An endpoint is gone for good.
    pub fn gone(&mut self, id: &IncarnationId) {
        self.news = true;
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

    /// Whether every endpoint was heard, as far as that is waited for: until then nothing is planned, and the view
    /// is a part of what is there.
    pub(super) fn is_surveyed(&self, now: TimePoint) -> bool {
        let waited = now.since(self.since);
        match self.inherits {
            true => waited >= LISTEN_LONGEST || self.hosts.is_surveyed(),
            false => self.is_settled(now),
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
        self.forget_entries(now);
        self.ask_reports(now, state, &mut output);
        if self.is_settled(now) {
            if self.inherits && !std::mem::replace(&mut self.acts, true) {
                self.inherit_loads(now);
            }
            self.act(now, state, plan, &mut output);
        }
        self.open_commands += output.commands.len();
        self.window.give(now, output.orders.len());
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
            self.news = true;
        }
        self.note_warm(state);
        let room = self.order_room(now, output);
        output.orders.extend(stray::recall(now, &mut self.hosts, state, room));
        self.step_groups(now, state, plan, output);
        if self.open_commands > 0 || !self.is_surveyed(now) || !self.is_plan_due(now) {
            return;
        }
        for service in &plan.services {
            if let Some(engine) = &service.engine {
                self.plan_groups(now, state, service, engine, output);
            }
        }
    }

    /// The endpoints that are known.
    pub fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    pub(super) fn scene<'a>(
        &'a self,
        now: TimePoint,
        state: &'a FleetState,
        plan: &'a DeploymentPlan,
    ) -> GroupScene<'a> {
        GroupScene::new(now, &self.hosts, &self.pulses, state, plan)
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
        let index = MemberIndex::new(state);
        let due = self.hosts.due_probes(now, |id| index.group_of(id).is_some());
        output.probes.extend(due);
        // To leave a group that never was changes nothing.
        let order = EndpointOrder::Leave { group: NO_GROUP };
        let room = self.order_room(now, output);
        let proofs = self.hosts.due_proofs(now, room).into_iter();
        let ask = |(id, address)| OrderCall { id, address, order: order.clone() };
        output.orders.extend(proofs.map(ask));
    }

    /// Orders that may be given beside those of this step.
    fn order_room(&mut self, now: TimePoint, output: &DirectorOutput) -> usize {
        self.window.room(now).saturating_sub(output.orders.len())
    }

    fn step_groups(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
        output: &mut DirectorOutput,
    ) {
        let mut runs = std::mem::take(&mut self.runs);
        let room = self.order_room(now, output);
        let full = output.orders.len() + room;
        let scene = self.scene(now, state, plan);
        for (group, record) in state.groups().iter() {
            if output.orders.len() >= full {
                break;
            }
            let patience = load_time(plan, record) * LOAD_PATIENCE;
            let run = runs.get_or_insert_with(*group, || GroupRun::new(now, patience));
            match next_step(&scene.sight(*group, record), run) {
                GroupStep::Nothing => {}
                GroupStep::Order(calls) => output.orders.extend(calls),
                GroupStep::End => output.commands.push(FleetCommand::EndGroup(*group)),
            }
        }
        drop(scene);
        self.runs = runs;
    }
}

fn load_time(plan: &DeploymentPlan, record: &GroupRecord) -> Duration {
    let engine = plan.service(&record.service).and_then(|service| service.engine.as_ref());
    let model = engine.and_then(|engine| engine.model(&record.model));
    model.map_or(Duration::ZERO, |model| model.load_time)
}
