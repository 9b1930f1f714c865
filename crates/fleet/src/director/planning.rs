//! What the planner is shown, and carrying out what it wants.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName};

use super::evacuation::is_evacuated;
use super::loads::LoadLimiter;
use super::plan::{GroupPlanner, PlacedGroup, PlanAction, PlanView, PoolHost};
use super::step::{DirectorOutput, LOAD_PATIENCE};
use super::stray;
use super::{EndpointOrder, FleetDirector, HostRecord, MarkState, OrderCall};
use crate::deployment::{EngineModel, ModelSpec, ServiceSpec};
use crate::state::{FleetCommand, FleetState, GroupHost, GroupRecord, MemberIndex};

/// Time after a first start before weights are staged on hosts that are left over.
const GATHER: Duration = Duration::from_millis(3_500);

/// Time for which a host is slow before its group is formed anew without it: by then the reports of
/// all others have told whether they are slow as well.
const SLOW_FOR: Duration = Duration::from_millis(1_200);

/// Time for which a host that was heard for the first time keeps the weights it has.
const FRESH: Duration = Duration::from_millis(2_500);

/// Actions planned in one step at the most: commands of one step share a sync of the disks, and a
/// fleet's first groups and loads have to be ordered before callers come.
const PLANS_PER_STEP: usize = 32;

/// Spares that are warmed up in one step at the most, before callers come.
const SPARES_PER_STEP: usize = 32;

/// Loads that begin in one step at the most, before callers come.
const STAGES_PER_STEP: usize = 64;

/// Hosts that the planner looks at in one step, over all its actions. An action costs the more the more
/// hosts there are, and a step that takes long holds up heartbeats, of which a leader sends ten a second.
const HOSTS_PER_STEP: usize = 16_000;

/// Wait for each host before the planner looks again although nothing was learnt: only time has passed,
/// and a look at thousands of hosts takes a good part of the time between two steps.
const LOOK_AGAIN: Duration = Duration::from_micros(150);

impl FleetDirector {
    /// Plans some actions, each on what the ones before it leave.
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
        self.plan_note = planner.summary();
        for _ in 0..(HOSTS_PER_STEP / hosts).clamp(1, PLANS_PER_STEP) {
            let Some(action) = planner.next() else { return };
            let prepares = action.only_prepares();
            if !self.begin_planned(now, engine, action, &mut planner, output) {
                return;
            }
            if prepares && !self.serving {
                return self.prepare(now, engine, &mut planner, output);
            }
        }
    }

    /// Warms up spares and stages weights, many at once: nothing else is left to plan, and callers have not
    /// come yet.
    fn prepare(
        &mut self,
        now: TimePoint,
        engine: &EngineModel,
        planner: &mut GroupPlanner<'_>,
        output: &mut DirectorOutput,
    ) {
        for action in planner.early_spares(SPARES_PER_STEP) {
            self.begin_planned(now, engine, action, planner, output);
        }
        for action in planner.early_loads(STAGES_PER_STEP) {
            if !self.begin_planned(now, engine, action, planner, output) {
                return;
            }
        }
    }

    /// Begins `action` and brings the planner's view up to date with it; `false` when it has to wait.
    fn begin_planned(
        &mut self,
        now: TimePoint,
        engine: &EngineModel,
        action: PlanAction,
        planner: &mut GroupPlanner<'_>,
        output: &mut DirectorOutput,
    ) -> bool {
        let begun = self.begin_action(now, engine, &action, output);
        if begun {
            self.news = true;
            planner.carry_out(action);
        }
        begun
    }

    /// Whether the planner is to look: something was learnt, or it has not looked for a while.
    pub(super) fn is_plan_due(&mut self, now: TimePoint) -> bool {
        let due = std::mem::take(&mut self.news) || now >= self.look_at;
        if due {
            let hosts = u32::try_from(self.hosts.iter().count()).unwrap_or(u32::MAX);
            self.look_at = now.after(LOOK_AGAIN * hosts);
        }
        due
    }

    /// Begins what the planner wants; `false` when it has to wait.
    fn begin_action(
        &mut self,
        now: TimePoint,
        engine: &EngineModel,
        action: &PlanAction,
        output: &mut DirectorOutput,
    ) -> bool {
        match action {
            PlanAction::Form { group, loads } => {
                // The first groups are formed long before callers come.
                if self.serving && !self.may_load(now, engine, *loads) {
                    return false;
                }
                self.loads.begin(now, if self.serving { *loads } else { 0 });
                output.commands.push(FleetCommand::FormGroup(group.clone()));
            }
            PlanAction::Stage { host, model } => {
                // Hosts that are heard late would else find no partners for a group.
                let gathers = !self.serving && self.is_gathering(now);
                if gathers || !self.may_load(now, engine, 1) {
                    return false;
                }
                self.loads.begin(now, 1);
                self.stage(now, engine, host, model.clone(), output);
            }
            PlanAction::End(group) => {
                let Some(run) = self.runs.get_mut(group) else { return false };
                run.ending = Some(now);
            }
        }
        true
    }

    /// Hosts that load weights.
    fn staging_now(&self) -> usize {
        let loads = |host: &HostRecord| host.staging.is_some() && !host.is_lost();
        self.hosts.iter().filter(|(_, host)| loads(host)).count()
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

    fn may_load(&self, now: TimePoint, engine: &EngineModel, loads: usize) -> bool {
        let may = || self.loads.may_begin(now, engine.loads_per_second, loads, self.serving);
        loads == 0 || may()
    }

    /// Takes the loads that an earlier leader has ordered into account: a store of its own for each leader
    /// began three times as many as it may where two leaders were lost while hosts loaded.
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
        let index = MemberIndex::new(state);
        let leaving = state.leaving_by_name();
        let usable = |id: &IncarnationId, host: &HostRecord| {
            // One that tells no domain is no host of this service, whoever announced it; one that has
            // just missed a probe is most likely the reason for its group's end; what one keeps that was
            // not heard yet is not known.
            host.beat.report.domain.is_some()
                && host.failures == 0
                && !host.inherited
                && !host.beat.leaving
                && leaving.binary_search(&id).is_err()
                && !state.is_evacuated(&host.beat.zone)
                && !index.group_of(id).is_some_and(|group| is_evacuated(&self.hosts, state, group))
        };
        // In the order of their names, as the table is.
        let pool: Vec<PoolHost> = self
            .hosts
            .of_service(service)
            .filter(|(id, host)| usable(id, host))
            .map(|(id, host)| pool_host(now, &index, id, host))
            .collect();
        let models = &engine.models;
        let lasting = |model: &ModelSpec| self.lasting_groups(state, service, &model.name, &pool);
        let groups: Vec<Vec<PlacedGroup>> = models.iter().map(lasting).collect();
        let placed = groups.iter().flatten().flat_map(|group| &group.hosts);
        let mut grouped: Vec<&IncarnationId> = placed.map(|host| &host.id).collect();
        grouped.sort_unstable();
        let ungrouped = |host: &&PoolHost| grouped.binary_search(&&host.id).is_err();
        let rest = pool.iter().filter(ungrouped).cloned();
        let (leaving, rest): (Vec<_>, Vec<_>) = rest.partition(|host| self.is_stray(state, host));
        let serves = |host: &PoolHost| host.standby.is_none() && index.group_of(&host.id).is_some();
        let (closing, free) = rest.into_iter().partition(serves);
        let asked = |model: &ModelSpec| self.demand.of(now, service, &model.name);
        let demand = models.iter().map(asked).collect();
        let trust = self.demand.trust(now);
        let loading = self.staging_now();
        let gathering = self.is_gathering(now).then(|| self.domains(service));
        let serving = self.serving;
        PlanView {
            service,
            engine,
            free,
            leaving,
            closing,
            groups,
            demand,
            trust,
            shares: self.shares(service, engine),
            loading,
            gathering,
            serving,
        }
    }

    /// Shares of the models in the work before the demand is known: those of the groups that a leader
    /// inherits, which followed the demand, or else the declared ones.
    ///
    /// A leader that went by the declared shares would end groups of one model for another, dozens of them in
    /// a large fleet, and after a stop of everything at the moment when everybody comes back.
    fn shares(&self, service: &ServiceName, engine: &EngineModel) -> Vec<f64> {
        let held = |model: &ModelSpec| {
            let key = (service.clone(), model.name.clone());
            self.inherited_hosts.get(&key).map_or(0.0, |hosts| *hosts as f64)
        };
        let inherited: Vec<f64> = engine.models.iter().map(held).collect();
        if inherited.iter().any(|hosts| *hosts > 0.0) {
            return inherited;
        }
        engine.models.iter().map(|model| model.share).collect()
    }

    /// Whether the host is still in a group that has ended.
    fn is_stray(&self, state: &FleetState, host: &PoolHost) -> bool {
        self.hosts.get(&host.id).is_some_and(|host| stray::is_stray(host, state))
    }

    /// Groups of `model` that serve or form and are not about to end, with their hosts in `pool`,
    /// which is sorted by name.
    fn lasting_groups(
        &self,
        state: &FleetState,
        service: &ServiceName,
        model: &str,
        pool: &[PoolHost],
    ) -> Vec<PlacedGroup> {
        let ends = |group: &GroupId| self.runs.get(group).is_some_and(|run| run.ending.is_some());
        let serves = |record: &GroupRecord| {
            !record.standby
                && record.service == *service
                && record.model == model
                && !is_evacuated(&self.hosts, state, record)
        };
        let groups = state.groups().iter();
        let lasting = groups.filter(|(group, record)| serves(record) && !ends(group));
        let position =
            |host: &GroupHost| pool.binary_search_by(|other| other.id.cmp(&host.id)).ok();
        let place = |(group, record): (&GroupId, &GroupRecord)| {
            let mut positions: Vec<usize> = record.members.iter().filter_map(position).collect();
            positions.sort_unstable();
            let hosts = positions.into_iter().map(|position| pool[position].clone()).collect();
            PlacedGroup { group: *group, domain: record.domain.clone(), hosts }
        };
        lasting.map(place).collect()
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

/// The host as the planner sees it.
fn pool_host(
    now: TimePoint,
    index: &MemberIndex<'_>,
    id: &IncarnationId,
    host: &HostRecord,
) -> PoolHost {
    let nowhere = || DomainName::new("");
    PoolHost {
        id: id.clone(),
        address: host.beat.address.clone(),
        domain: host.beat.report.domain.clone().unwrap_or_else(nowhere),
        zone: host.beat.zone.clone(),
        staged: host.beat.report.staged.clone(),
        staging: staging_of(host),
        warm: host.warm.clone(),
        slow: host.is_slow(),
        lasting_slow: host.slow_since.is_some_and(|since| now.since(since) >= SLOW_FOR),
        fresh: now.since(host.since) < FRESH,
        standby: index.group_of(id).filter(|group| group.standby).map(|group| group.model.clone()),
    }
}

/// The model that the host is loading; an empty name where an earlier leader has ordered it.
///
/// Without this a new leader orders the loads under way once more: nine in a second.
fn staging_of(host: &HostRecord) -> Option<String> {
    let joins = host.beat.report.mark.as_ref().is_some_and(|mark| mark.state == MarkState::Joining);
    let busy = host.beat.report.busy == Some(true);
    let unknown = || (busy && !joins).then(String::new);
    host.staging.as_ref().map(|(model, _)| model.clone()).or_else(unknown)
}
