//! Input for the planner, and the execution of its actions.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName};

use super::evacuation::is_evacuated;
use super::loads::LoadLimiter;
use super::plan::{GroupPlanner, PlacedGroup, PlanAction, PlanView, PoolHost};
use super::stale_member;
use super::step::{DirectorOutput, LOAD_TIMEOUT_FACTOR};
use super::{EndpointOrder, FleetDirector, HostRecord, MemberState, OrderCall};
use crate::deployment::{EngineModel, ModelSpec, ServiceSpec};
use crate::state::{FleetCommand, FleetState, GroupHost, GroupRecord, MemberIndex};

/// Time after a first start before weights are staged on leftover hosts.
const FIRST_START_TIME: Duration = Duration::from_millis(3_500);

/// Time for which a host must be slow before its group is formed anew without it: by then the
/// reports of all other hosts show whether they are slow too.
const SLOW_CONFIRM_TIME: Duration = Duration::from_millis(1_200);

/// Time for which a newly seen host keeps the weights that it has.
const NEW_HOST_TIME: Duration = Duration::from_millis(2_500);

/// Limit on actions per step. Commands of one step share a disk sync, and the first groups and
/// loads of a fleet have to be ordered before callers send requests.
const MAX_ACTIONS_PER_STEP: usize = 32;

/// Limit on spares that are warmed up per step before callers send requests.
const MAX_WARMUPS_PER_STEP: usize = 32;

/// Limit on loads that start per step before callers send requests.
const MAX_LOADS_PER_STEP: usize = 64;

/// Limit on hosts that the planner examines per step, over all actions. The cost of an action grows
/// with the number of hosts, and a long step delays the leader's log heartbeats, ten a second.
const HOST_BUDGET_PER_STEP: usize = 16_000;

/// Time, per host, before the planner runs again without new information. Only time has passed
/// then, and planning for thousands of hosts takes a good part of the time between two steps.
const REPLAN_INTERVAL_PER_HOST: Duration = Duration::from_micros(150);

impl FleetDirector {
    /// Plans and starts actions, each on the state that the previous ones leave.
    pub(super) fn plan_groups(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        service: &ServiceSpec,
        engine: &EngineModel,
        output: &mut DirectorOutput,
    ) {
        let hosts = self.hosts.of_service(&service.name).count().max(1);
        let mut planner = GroupPlanner::new(self.plan_view(now, state, &service.name, engine));
        let supplies = planner.supplies();
        let idle = planner.idle_counts();
        self.plan_summary = planner.summary(&supplies, &idle);
        self.supply.record(now, &service.name, supplies, idle);
        for _ in 0..(HOST_BUDGET_PER_STEP / hosts).clamp(1, MAX_ACTIONS_PER_STEP) {
            let Some(action) = planner.next() else { return };
            let prepares = action.only_prepares();
            if !self.try_action(now, engine, action, &mut planner, output) {
                return;
            }
            if prepares && !self.serving {
                return self.prepare(now, engine, &mut planner, output);
            }
        }
    }

    /// Warms up spares and stages weights, many at once: nothing else is left to plan, and callers
    /// have not sent requests yet.
    fn prepare(
        &mut self,
        now: TimePoint,
        engine: &EngineModel,
        planner: &mut GroupPlanner<'_>,
        output: &mut DirectorOutput,
    ) {
        for action in planner.early_spares(MAX_WARMUPS_PER_STEP) {
            self.try_action(now, engine, action, planner, output);
        }
        for action in planner.early_loads(MAX_LOADS_PER_STEP) {
            if !self.try_action(now, engine, action, planner, output) {
                return;
            }
        }
    }

    /// Starts `action` and applies it to the planner's view; `false` when it has to wait.
    fn try_action(
        &mut self,
        now: TimePoint,
        engine: &EngineModel,
        action: PlanAction,
        planner: &mut GroupPlanner<'_>,
        output: &mut DirectorOutput,
    ) -> bool {
        let started = self.start_action(now, engine, &action, output);
        if started {
            self.replan_needed = true;
            planner.apply(action);
        }
        started
    }

    /// Whether the planner is to run: there is new information, or its last run is long enough ago.
    pub(super) fn is_plan_due(&mut self, now: TimePoint) -> bool {
        let due = std::mem::take(&mut self.replan_needed) || now >= self.next_plan_at;
        if due {
            let hosts = u32::try_from(self.hosts.iter().count()).unwrap_or(u32::MAX);
            self.next_plan_at = now.after(REPLAN_INTERVAL_PER_HOST * hosts);
        }
        due
    }

    /// Starts `action`; `false` when it has to wait.
    fn start_action(
        &mut self,
        now: TimePoint,
        engine: &EngineModel,
        action: &PlanAction,
        output: &mut DirectorOutput,
    ) -> bool {
        match action {
            PlanAction::Form { group, loads } => {
                // The first groups are formed long before callers send requests.
                if self.serving && !self.may_load(now, engine, *loads) {
                    return false;
                }
                self.loads.record_starts(now, if self.serving { *loads } else { 0 });
                output.commands.push(FleetCommand::FormGroup(group.clone()));
            }
            PlanAction::Stage { host, model } => {
                // Otherwise hosts that are heard from late would find no partners for a group.
                let is_too_early = !self.serving && self.is_first_start(now);
                if is_too_early || !self.may_load(now, engine, 1) {
                    return false;
                }
                self.loads.record_starts(now, 1);
                self.stage(now, engine, host, model.clone(), output);
            }
            PlanAction::End(group) => {
                let Some(tracker) = self.trackers.get_mut(group) else { return false };
                tracker.ending_since = Some(now);
            }
        }
        true
    }

    /// Number of hosts that load weights.
    fn staging_count(&self) -> usize {
        let loads = |host: &HostRecord| host.staging.is_some() && !host.is_lost();
        self.hosts.iter().filter(|(_, host)| loads(host)).count()
    }

    /// Number of fabric domains known for `service`.
    fn domains(&self, service: &ServiceName) -> usize {
        let domain = |host: &HostRecord| host.heartbeat.report.domain.clone();
        let mut domains: Vec<DomainName> =
            self.hosts.of_service(service).filter_map(|(_, host)| domain(host)).collect();
        domains.sort();
        domains.dedup();
        domains.len()
    }

    /// Whether this is a first start on which new hosts may still appear.
    fn is_first_start(&self, now: TimePoint) -> bool {
        !self.took_over && now.since(self.since) < FIRST_START_TIME
    }

    fn may_load(&self, now: TimePoint, engine: &EngineModel, loads: usize) -> bool {
        let may = || self.loads.may_start(now, engine.loads_per_second, loads, self.serving);
        loads == 0 || may()
    }

    /// Counts the loads that an earlier leader ordered. When each leader counted only its own,
    /// three times the allowed number started after two leaders were lost while hosts loaded.
    pub(super) fn inherit_loads(&mut self, now: TimePoint) {
        let loads = |host: &HostRecord| staging_of(host).is_some() && !host.is_lost();
        let count = self.hosts.iter().filter(|(_, host)| loads(host)).count();
        self.loads = LoadLimiter::inherited(now, count);
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
        host.staging = Some((model.clone(), now.after(time * LOAD_TIMEOUT_FACTOR)));
        let (id, address) = (id.clone(), host.heartbeat.address.clone());
        output.orders.push(OrderCall { id, address, order: EndpointOrder::Stage { model } });
    }

    fn plan_view<'a>(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        service: &'a ServiceName,
        engine: &'a EngineModel,
    ) -> PlanView<'a> {
        self.clear_finished_staging(now);
        let index = MemberIndex::new(state);
        let leaving = state.sorted_leaving();
        let usable = |id: &IncarnationId, host: &HostRecord| {
            // Without a domain it is no group host of this service; after a missed probe it most
            // likely broke its group; the weights of an inherited host are unknown until it is
            // heard from.
            host.heartbeat.report.domain.is_some()
                && host.failures == 0
                && !host.inherited
                && !host.heartbeat.leaving
                && leaving.binary_search(&id).is_err()
                && !state.is_evacuated(&host.heartbeat.zone)
                && !index.group_of(id).is_some_and(|group| is_evacuated(&self.hosts, state, group))
        };
        // Sorted by name, like the table.
        let pool: Vec<PoolHost> = self
            .hosts
            .of_service(service)
            .filter(|(id, host)| usable(id, host))
            .map(|(id, host)| pool_host(now, &index, id, host))
            .collect();
        let models = &engine.models;
        let active = |model: &ModelSpec| self.active_groups(state, service, &model.name, &pool);
        let groups: Vec<Vec<PlacedGroup>> = models.iter().map(active).collect();
        let placed = groups.iter().flatten().flat_map(|group| &group.hosts);
        let mut grouped: Vec<&IncarnationId> = placed.map(|host| &host.id).collect();
        grouped.sort_unstable();
        let ungrouped = |host: &&PoolHost| grouped.binary_search(&&host.id).is_err();
        let rest = pool.iter().filter(ungrouped).cloned();
        let (leaving, rest): (Vec<_>, Vec<_>) =
            rest.partition(|host| self.is_stale_member(state, host));
        let serves = |host: &PoolHost| host.standby.is_none() && index.group_of(&host.id).is_some();
        let (closing, free) = rest.into_iter().partition(serves);
        let model_rate = |model: &ModelSpec| self.demand.rate(now, service, &model.name);
        let demand = models.iter().map(model_rate).collect();
        let steady_rate = |model: &ModelSpec| self.demand.steady_rate(now, service, &model.name);
        let steady_demand = models.iter().map(steady_rate).collect();
        let trust = self.demand.trust(now);
        let loading = self.staging_count();
        let first_start_domains = self.is_first_start(now).then(|| self.domains(service));
        let serving = self.serving;
        PlanView {
            service,
            engine,
            free,
            leaving,
            closing,
            groups,
            demand,
            steady_demand,
            trust,
            shares: self.shares(service, engine),
            loading,
            first_start_domains,
            serving,
            overload: self.is_overload_set(service),
        }
    }

    /// Share of each model in the work before the demand is known: by the groups that a leader
    /// inherits, which followed the demand, or else as declared.
    ///
    /// By the declared shares a new leader would end groups of one model in favour of another,
    /// dozens of them in a large fleet; after a complete outage that would happen while all callers
    /// reconnect.
    fn shares(&self, service: &ServiceName, engine: &EngineModel) -> Vec<f64> {
        let inherited_count = |model: &ModelSpec| {
            let key = (service.clone(), model.name.clone());
            self.inherited_hosts.get(&key).map_or(0.0, |hosts| *hosts as f64)
        };
        let inherited: Vec<f64> = engine.models.iter().map(inherited_count).collect();
        if inherited.iter().any(|hosts| *hosts > 0.0) {
            return inherited;
        }
        engine.models.iter().map(|model| model.share).collect()
    }

    /// Whether the host is still in a group that has ended.
    fn is_stale_member(&self, state: &FleetState, host: &PoolHost) -> bool {
        self.hosts.get(&host.id).is_some_and(|host| stale_member::is_stale_member(host, state))
    }

    /// Groups of `model` that serve or form and are not ending, with their hosts in `pool`, which
    /// is sorted by name.
    fn active_groups(
        &self,
        state: &FleetState,
        service: &ServiceName,
        model: &str,
        pool: &[PoolHost],
    ) -> Vec<PlacedGroup> {
        let ends = |group: &GroupId| {
            self.trackers.get(group).is_some_and(|tracker| tracker.ending_since.is_some())
        };
        let serves = |record: &GroupRecord| {
            !record.standby
                && record.service == *service
                && record.model == model
                && !is_evacuated(&self.hosts, state, record)
        };
        let groups = state.groups().iter();
        let active = groups.filter(|(group, record)| serves(record) && !ends(group));
        let position =
            |host: &GroupHost| pool.binary_search_by(|other| other.id.cmp(&host.id)).ok();
        let place = |(group, record): (&GroupId, &GroupRecord)| {
            let mut positions: Vec<usize> = record.members.iter().filter_map(position).collect();
            positions.sort_unstable();
            let hosts = positions.into_iter().map(|position| pool[position].clone()).collect();
            PlacedGroup { group: *group, domain: record.domain.clone(), hosts }
        };
        active.map(place).collect()
    }

    /// Clears staging of hosts that report the weights or have passed the deadline.
    fn clear_finished_staging(&mut self, now: TimePoint) {
        for (_, host) in self.hosts.iter_mut() {
            let is_finished = host
                .staging
                .as_ref()
                .is_some_and(|(model, until)| now >= *until || host.has_staged(model));
            if is_finished {
                host.staging = None;
            }
        }
    }
}

/// The host as the planner sees it.
fn pool_host(
    now: TimePoint,
    index: &MemberIndex<'_>,
    id: &IncarnationId,
    host: &HostRecord,
) -> PoolHost {
    let no_domain = || DomainName::new("");
    PoolHost {
        id: id.clone(),
        address: host.heartbeat.address.clone(),
        domain: host.heartbeat.report.domain.clone().unwrap_or_else(no_domain),
        zone: host.heartbeat.zone.clone(),
        staged: host.heartbeat.report.staged.clone(),
        staging: staging_of(host),
        warm_model: host.warm_model.clone(),
        slow: host.is_slow(),
        confirmed_slow: host.slow_since.is_some_and(|since| now.since(since) >= SLOW_CONFIRM_TIME),
        newly_seen: now.since(host.first_seen) < NEW_HOST_TIME,
        standby: index.group_of(id).filter(|group| group.standby).map(|group| group.model.clone()),
    }
}

/// Model that the host is loading; an empty name when an earlier leader ordered the load.
///
/// Without this, a new leader orders running loads once more: nine in a second.
fn staging_of(host: &HostRecord) -> Option<String> {
    let joins = host
        .heartbeat
        .report
        .mark
        .as_ref()
        .is_some_and(|membership| membership.state == MemberState::Joining);
    let busy = host.heartbeat.report.busy == Some(true);
    let unknown = || (busy && !joins).then(String::new);
    host.staging.as_ref().map(|(model, _)| model.clone()).or_else(unknown)
}
