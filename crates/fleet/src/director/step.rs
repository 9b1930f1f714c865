//! The director's state, inputs and step.

use std::time::Duration;

use briartray_model::names::{GroupId, IncarnationId, NodeName, ServiceName, ZoneName};
use briartray_model::{SortedTable, TimePoint};

use super::demand::DemandBook;
use super::demand_share::ShareTracker;
use super::group::{GroupContext, GroupStep, GroupTracker, next_step};
use super::group_activity::ActivityTracker;
use super::host_record::HostRecord;
use super::hosts::HostTable;
use super::loads::LoadLimiter;
use super::order_window::OrderWindow;
use super::records::inherited_heartbeat;
use super::stale_member;
use super::supply_meter::{SupplyMeter, SupplyTimes};
use super::{
    EndpointHeartbeat, EndpointOrder, EndpointReport, MemberState, OrderCall, OrderOutcome,
    ProbeCall,
};
use crate::deployment::DeploymentPlan;
use crate::message::{EntryReport, GroupLoad};
use crate::state::{FleetCommand, FleetState, GroupRecord, MemberIndex};

/// Time for which a new leader probes inherited endpoints before it acts; long enough for two
/// probes.
const TAKEOVER_WAIT: Duration = Duration::from_millis(700);

/// Time for which a first leader waits for endpoints before it forms groups. Heartbeats come every
/// 1.2 s, and the first few hosts to be heard from would form other groups than all hosts.
const MIN_DISCOVERY_TIME: Duration = Duration::from_millis(1_300);

/// Longest time for discovery, while new endpoints still appear or inherited ones are probed.
const MAX_DISCOVERY_TIME: Duration = Duration::from_millis(2_200);

/// Time without a new endpoint after which all of them count as known.
const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(300);

/// Time between two updates of the demand.
const DEMAND_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Multiple of a model's load time after which a load counts as failed: loads slow each other down.
pub(super) const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// Time without a report after which an entry no longer counts; a dozen reports fit in.
pub const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Id that no group has.
const NO_GROUP: GroupId = GroupId(0);

/// Result of a step.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DirectorOutput {
    /// Orders to send.
    pub orders: Vec<OrderCall>,
    /// Probes to send.
    pub probes: Vec<ProbeCall>,
    /// Commands for the log.
    pub commands: Vec<FleetCommand>,
}

/// Decides for the leader which groups form and end and which weights are staged.
#[derive(Debug, Clone, Default)]
pub struct FleetDirector {
    pub(super) since: TimePoint,
    /// Whether the log had endpoints at the start: an earlier leader may have left groups whose
    /// hosts have not been heard from yet.
    pub(super) took_over: bool,
    /// Number of hosts in the groups of each model when the leader took over.
    pub(super) inherited_hosts: SortedTable<(ServiceName, String), usize>,
    /// Whether a leader that took over has begun to act on groups.
    has_acted: bool,
    pub(super) hosts: HostTable,
    pub(super) activity: ActivityTracker,
    pub(super) demand: DemandBook,
    pub(super) shares: ShareTracker,
    next_demand_update: TimePoint,
    /// When the last new endpoint appeared.
    last_new_endpoint: TimePoint,
    pub(super) trackers: SortedTable<GroupId, GroupTracker>,
    pub(super) loads: LoadLimiter,
    /// Orders in flight.
    order_window: OrderWindow,
    /// Inputs of the last plan as one line for the log.
    pub(super) plan_summary: String,
    /// What models lack and why hosts idle.
    pub(super) supply: SupplyMeter,
    pub(super) serving: bool,
    /// Whether there is new information since the last plan.
    pub(super) replan_needed: bool,
    /// When the planner runs again without new information.
    pub(super) next_plan_at: TimePoint,
    /// Commands that are not applied yet; nothing is planned meanwhile.
    pending_commands: usize,
    entries: SortedTable<NodeName, TimePoint>,
    /// Services whose idle hosts are to serve models that are short of groups, sorted.
    overload: Vec<ServiceName>,
    /// Endpoints whose record is in a pending command or in the log.
    pub(super) announced: Vec<IncarnationId>,
}

impl FleetDirector {
    /// Creates the director of a leader that starts at `now` with the agreed state.
    pub fn new(now: TimePoint, state: &FleetState) -> Self {
        let took_over = !state.endpoints().is_empty();
        // Callers may already be served: loads then count and take their full time.
        let mut director = Self { since: now, took_over, serving: took_over, ..Self::default() };
        for group in state.groups().values().filter(|group| !group.standby) {
            let key = (group.service.clone(), group.model.clone());
            *director.inherited_hosts.get_or_insert_with(key, || 0) += group.members.len();
        }
        for record in state.endpoints().values() {
            director.hosts.inherit(now, inherited_heartbeat(record));
        }
        director
    }

    /// Records a heartbeat and returns whether the known report changed.
    pub fn heartbeat(&mut self, now: TimePoint, heartbeat: EndpointHeartbeat) -> bool {
        let report = |host: &HostRecord| host.heartbeat.report.clone();
        let id = heartbeat.id.clone();
        let known = self.hosts.get(&id).map(report);
        if known.is_none() {
            self.last_new_endpoint = now;
        }
        let changed =
            self.hosts.heartbeat(now, heartbeat) && known != self.hosts.get(&id).map(report);
        self.replan_needed |= changed;
        changed
    }

    /// Records the answer to a probe, or `None` for a failure, and returns whether the known report
    /// changed.
    pub fn probed(
        &mut self,
        now: TimePoint,
        id: &IncarnationId,
        report: Option<EndpointReport>,
    ) -> bool {
        let known_report =
            |hosts: &HostTable| hosts.get(id).map(|host| host.heartbeat.report.clone());
        let known = known_report(&self.hosts);
        let silent = report.is_none();
        self.hosts.probed(now, id, report);
        let changed = known != known_report(&self.hosts);
        self.replan_needed |= changed || silent;
        changed
    }

    /// Records that an endpoint refused the connection of a probe.
    pub fn probe_refused(&mut self, now: TimePoint, id: &IncarnationId) {
        self.hosts.probe_refused(now, id);
        self.replan_needed = true;
    }

    /// Records that an endpoint rejected a probe and accepts none for `wait`.
    pub fn probe_rejected(&mut self, now: TimePoint, id: &IncarnationId, wait: Duration) {
        self.hosts.probe_rejected(now, id, wait);
    }

    /// Records that there was no time to read the answer to a probe.
    pub fn probe_unread(&mut self, now: TimePoint, id: &IncarnationId) {
        self.hosts.probe_unread(now, id);
    }

    /// Records the outcome of an order.
    pub fn ordered(&mut self, now: TimePoint, call: &OrderCall, outcome: OrderOutcome) {
        self.order_window.record_finished();
        self.replan_needed = true;
        if !matches!(outcome, OrderOutcome::Unknown | OrderOutcome::OtherEndpoint) {
            self.hosts.confirm_identity(now, &call.id);
        }
        match outcome {
            OrderOutcome::OtherEndpoint => self.hosts.remove(&call.id),
            // The next report shows the effect of the order, if it had any.
            OrderOutcome::Unknown => {
                self.hosts.retry_staging_soon(now, &call.id, &call.order);
                for tracker in self.trackers.values_mut() {
                    tracker.forget_order(&call.id, &call.order);
                }
                self.hosts.probe_now(now, &call.id);
            }
            OrderOutcome::Holds => self.hosts.probe_now(now, &call.id),
            OrderOutcome::Misfit | OrderOutcome::Fenced => {
                self.hosts.retry_staging_soon(now, &call.id, &call.order);
            }
            // The endpoint has left its group by now, and its next heartbeat may be lost.
            OrderOutcome::Begun if matches!(call.order, EndpointOrder::Leave { .. }) => {
                self.hosts.probe_now(now, &call.id);
            }
            OrderOutcome::Begun => {}
        }
    }

    /// Records a report of an entry.
    pub fn report(&mut self, now: TimePoint, report: &EntryReport, state: &FleetState) {
        self.entries.insert(report.node.clone(), now);
        self.activity.set_entry_count(self.entries.len());
        self.serving |= report.serving;
        for demand in &report.demand {
            self.demand.add(now, demand);
        }
        self.shares.take(now, &report.node, &report.demand);
        for silent in self.activity.take(now, &report.node, &report.pulses) {
            let Some(group) = state.groups().get(&silent) else { continue };
            for host in &group.members {
                self.hosts.probe_suspect(now, &host.id);
            }
        }
    }

    /// Running requests of the other entries, for all groups or for one page of many.
    pub fn loads_of_others(&self, report: &EntryReport) -> Vec<GroupLoad> {
        self.activity.loads_of_others(&report.node, report.nonce)
    }

    /// Removes entries that no longer report.
    fn expire_entries(&mut self, now: TimePoint) {
        let (activity, shares) = (&mut self.activity, &mut self.shares);
        self.entries.retain(|entry, last_report| {
            let is_current = now.since(*last_report) < ENTRY_TIMEOUT;
            if !is_current {
                activity.forget(entry);
                shares.forget(entry);
            }
            is_current
        });
    }

    /// Sets the services, sorted, whose idle hosts are to serve models that are short of groups:
    /// those with full groups that miss the targets of callers.
    pub fn set_overload(&mut self, services: &[ServiceName]) {
        if self.overload != services {
            self.overload = services.to_vec();
            self.replan_needed = true;
        }
    }

    /// Whether idle hosts of `service` are to serve models that are short of groups.
    pub(super) fn is_overload_set(&self, service: &ServiceName) -> bool {
        self.overload.binary_search(service).is_ok()
    }

    /// Records that requests go to the endpoints of `zone` again.
    pub fn readmit(&mut self, now: TimePoint, zone: &ZoneName) {
        self.hosts.readmit(now, zone);
        self.replan_needed = true;
    }

    /// Records that a command was applied or lost.
    pub fn command_done(&mut self) {
        self.pending_commands = self.pending_commands.saturating_sub(1);
        self.replan_needed = true;
    }

    /// Incarnation meant by `id`: the known one where `id` does not contain a start time.
    pub fn resolve_incarnation(&self, id: IncarnationId) -> IncarnationId {
        match id.started_at() {
            Some(_) => id,
            None => self.hosts.incarnation_of(id.endpoint()).cloned().unwrap_or(id),
        }
    }

    /// Removes an endpoint that has ended and will not return.
    pub fn endpoint_gone(&mut self, id: &IncarnationId) {
        self.replan_needed = true;
        self.hosts.remove(id);
    }

    /// Whether enough time has passed to treat endpoints without a sign of life as missing.
    pub fn may_act(&self, now: TimePoint) -> bool {
        let waited = now.since(self.since);
        match self.took_over {
            true => waited >= TAKEOVER_WAIT || self.hosts.is_discovery_complete(),
            false => {
                let quiet = now.since(self.last_new_endpoint) >= DISCOVERY_QUIET_TIME;
                (waited >= MIN_DISCOVERY_TIME && quiet) || waited >= MAX_DISCOVERY_TIME
            }
        }
    }

    /// Whether all endpoints are known as far as discovery waits for them. Until then nothing is
    /// planned, and the view is partial.
    pub(super) fn is_discovery_complete(&self, now: TimePoint) -> bool {
        let waited = now.since(self.since);
        match self.took_over {
            true => waited >= MAX_DISCOVERY_TIME || self.hosts.is_discovery_complete(),
            false => self.may_act(now),
        }
    }

    /// Returns all orders, probes and commands that are due.
    pub fn step(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
    ) -> DirectorOutput {
        let mut output = DirectorOutput::default();
        self.sync_records(now, state, &mut output);
        self.trackers.retain(|group, _| state.groups().contains_key(group));
        self.activity.retain(|group| state.groups().contains_key(&group));
        self.expire_entries(now);
        self.add_probes(now, state, &mut output);
        if self.may_act(now) {
            if self.took_over && !std::mem::replace(&mut self.has_acted, true) {
                self.inherit_loads(now);
            }
            self.act(now, state, plan, &mut output);
        }
        self.pending_commands += output.commands.len();
        self.order_window.record_sent(now, output.orders.len());
        output
    }

    /// Steps the groups, and plans further actions while no command is pending.
    fn act(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
        output: &mut DirectorOutput,
    ) {
        if now >= self.next_demand_update {
            self.demand.update_rates(now);
            self.activity.expire_unread(now);
            self.next_demand_update = now.after(DEMAND_UPDATE_INTERVAL);
            self.replan_needed = true;
        }
        self.record_warm_models(state);
        let capacity = self.order_capacity(now, output);
        output.orders.extend(stale_member::release_orders(now, &mut self.hosts, state, capacity));
        self.step_groups(now, state, plan, output);
        if self.pending_commands > 0 || !self.is_discovery_complete(now) || !self.is_plan_due(now) {
            return;
        }
        self.supply.retain(|name| plan.service(name).is_some_and(|spec| spec.engine.is_some()));
        for service in &plan.services {
            if let Some(engine) = &service.engine {
                self.plan_groups(now, state, service, engine, output);
            }
        }
    }

    /// What models lack and why hosts idle, as of the last plan.
    pub fn supply(&self) -> &SupplyMeter {
        &self.supply
    }

    /// Time that groups lacked and hosts idled since the last call, by service.
    pub fn take_supply_times(&mut self, now: TimePoint) -> Vec<(ServiceName, SupplyTimes)> {
        self.supply.take_times(now)
    }

    /// All known endpoints.
    pub fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    pub(super) fn context<'a>(
        &'a self,
        now: TimePoint,
        state: &'a FleetState,
        plan: &'a DeploymentPlan,
    ) -> GroupContext<'a> {
        GroupContext::new(now, &self.hosts, &self.activity, state, plan)
    }

    /// Records the model with which each host can join a group at once.
    fn record_warm_models(&mut self, state: &FleetState) {
        for (_, host) in self.hosts.iter_mut() {
            let Some(membership) = &host.heartbeat.report.mark else { continue };
            let warm = matches!(membership.state, MemberState::Ready | MemberState::Open);
            if let Some(record) = state.groups().get(&membership.group).filter(|_| warm)
                && host.warm_model.as_deref() != Some(&record.model)
            {
                host.warm_model = Some(record.model.clone());
            }
        }
    }

    fn add_probes(&mut self, now: TimePoint, state: &FleetState, output: &mut DirectorOutput) {
        let index = MemberIndex::new(state);
        let due = self.hosts.due_probes(now, |id| index.group_of(id).is_some());
        output.probes.extend(due);
        // Leaving a group that never existed has no effect.
        let order = EndpointOrder::Leave { group: NO_GROUP };
        let capacity = self.order_capacity(now, output);
        let checks = self.hosts.due_identity_checks(now, capacity).into_iter();
        let identity_order = |(id, address)| OrderCall { id, address, order: order.clone() };
        output.orders.extend(checks.map(identity_order));
    }

    /// Number of orders that may be sent in addition to those of this step.
    fn order_capacity(&mut self, now: TimePoint, output: &DirectorOutput) -> usize {
        self.order_window.capacity(now).saturating_sub(output.orders.len())
    }

    fn step_groups(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        plan: &DeploymentPlan,
        output: &mut DirectorOutput,
    ) {
        let mut trackers = std::mem::take(&mut self.trackers);
        let capacity = self.order_capacity(now, output);
        let max_orders = output.orders.len() + capacity;
        let context = self.context(now, state, plan);
        for (group, record) in state.groups().iter() {
            if output.orders.len() >= max_orders {
                break;
            }
            let load_timeout = load_time(plan, record) * LOAD_TIMEOUT_FACTOR;
            let tracker =
                trackers.get_or_insert_with(*group, || GroupTracker::new(now, load_timeout));
            match next_step(&context.status(*group, record), tracker) {
                GroupStep::Nothing => {}
                GroupStep::Order(calls) => output.orders.extend(calls),
                GroupStep::End => output.commands.push(FleetCommand::EndGroup(*group)),
            }
        }
        drop(context);
        self.trackers = trackers;
    }
}

fn load_time(plan: &DeploymentPlan, record: &GroupRecord) -> Duration {
    let engine = plan.service(&record.service).and_then(|service| service.engine.as_ref());
    let model = engine.and_then(|engine| engine.model(&record.model));
    model.map_or(Duration::ZERO, |model| model.load_time)
}
