//! Simulated fleet of a replay: hosts, engines, the group registry and the account.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_model::message::HostAnnouncement;
use briartray_model::names::{ChangeId, DomainName, GroupId, HostName, ServiceName};
use briartray_model::rules::{RuleBook, RuleDocument};
use briartray_model::{SortedTable, TimePoint};

use super::engine::EngineFleet;
use super::registry::ReferenceRegistry;
use super::trace::{TraceEvent, TraceHeader, WeightState};
use crate::accounting::{FleetAccount, FleetRates};
use crate::planner::{FleetView, GroupView, HostView, PlanAction, command_for};

/// Time that a group takes to obtain the leases of all members once they are ready.
const LEASE_SETUP_TIME: Duration = Duration::from_secs(1);

/// How long an absent host that belongs to no group stays in the view.
const ABSENT_HOST_RETENTION: Duration = Duration::from_secs(3600);

/// Time between two removals of absent hosts.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// State of a replay between two events.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplayFleet {
    now: TimePoint,
    state: ControlState,
    book: RuleBook,
    view: FleetView,
    engines: EngineFleet,
    reference: ReferenceRegistry,
    /// Groups whose hosts are all ready, with the time when they become whole.
    activations: SortedTable<GroupId, TimePoint>,
    /// Hosts that return at a later time after an outage of their fabric domain.
    scheduled_returns: Vec<(TimePoint, HostName, WeightState)>,
    rates: FleetRates,
    account: FleetAccount,
    measure_from: TimePoint,
    cleaned_up_at: TimePoint,
    rates_outdated: bool,
    formed: u64,
    replaced: u64,
    dissolved: u64,
    refused: u64,
    last_change_id: u128,
}

impl ReplayFleet {
    /// Creates a fleet without hosts, with the rules of `header`.
    pub fn new(header: &TraceHeader) -> Self {
        let load = header.load_ms as f64 / 1000.0;
        let mut fleet = Self {
            now: TimePoint::default(),
            state: ControlState::default(),
            book: RuleBook::default(),
            view: FleetView::default(),
            engines: EngineFleet::new(load, header.parallel_loads),
            reference: ReferenceRegistry::default(),
            activations: SortedTable::default(),
            scheduled_returns: Vec::new(),
            rates: FleetRates::default(),
            account: FleetAccount::default(),
            measure_from: from_ms(header.measure_from_ms),
            cleaned_up_at: TimePoint::default(),
            rates_outdated: true,
            formed: 0,
            replaced: 0,
            dissolved: 0,
            refused: 0,
            last_change_id: 0,
        };
        fleet.apply_rules(&header.rules);
        fleet
    }

    /// The view that planners decide on.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// The rules in force.
    pub fn book(&self) -> &RuleBook {
        &self.book
    }

    /// Downtime and stranded accelerators so far.
    pub fn account(&self) -> &FleetAccount {
        &self.account
    }

    /// Weighted cost so far, under the rules in force.
    pub fn weighted(&self) -> f64 {
        self.account.weighted(&self.book).0
    }

    /// Current time of the replay.
    pub fn now(&self) -> TimePoint {
        self.now
    }

    /// The reference model of the registry, with the violations that it found.
    pub fn reference(&self) -> &ReferenceRegistry {
        &self.reference
    }

    /// Number of groups formed, replaced and dissolved, and of actions refused, in this order.
    pub fn changes(&self) -> (u64, u64, u64, u64) {
        (self.formed, self.replaced, self.dissolved, self.refused)
    }

    /// Number of groups of `service` that serve now.
    pub fn serving(&self, service: &ServiceName) -> usize {
        self.view.groups.values().filter(|g| g.service == *service && g.whole).count()
    }

    /// When the fleet changes next without an event: a load ends, a group becomes whole or a host
    /// returns. `None` if no such change is due.
    pub fn next_change(&self) -> Option<TimePoint> {
        let load = self.engines.next_load_end().map(|left| {
            // Rounded up, so that the load has ended by the returned time.
            self.now.after(Duration::from_secs_f64(left) + Duration::from_micros(1))
        });
        let activations = self.activations.values().copied().min();
        let scheduled_returns = self.scheduled_returns.iter().map(|(when, _, _)| *when).min();
        [load, activations, scheduled_returns].into_iter().flatten().min()
    }

    /// Advances the time to `when`, which must not be later than the next change.
    ///
    /// Returns whether anything changed, so that planning is due.
    pub fn advance(&mut self, when: TimePoint) -> bool {
        self.account_until(when);
        let ended = self.engines.advance(when.since(self.now).as_secs_f64());
        self.now = when;
        let mut changed = !ended.is_empty();
        for host in ended {
            if let Some(group) = self.view.hosts.get(&host).and_then(|host| host.group) {
                self.update_group(group);
            }
        }
        changed |= self.activate_groups();
        changed |= self.apply_returns();
        self.rates_outdated |= changed;
        changed
    }

    /// Applies an event at the current time; ignores expectations, which do not affect the fleet.
    pub fn apply(&mut self, event: &TraceEvent) {
        self.rates_outdated = true;
        match event {
            TraceEvent::Arrive { .. } => self.arrive(event),
            TraceEvent::Lost { host } => self.lose_host(host),
            TraceEvent::Back { host, weights } => self.restore_host(host, *weights),
            TraceEvent::Leaving { host } => {
                if let Some(host) = self.view.hosts.get_mut(host) {
                    host.announcement.leaving = true;
                }
            }
            TraceEvent::DomainDark { domain } => {
                self.hosts_of(domain).iter().for_each(|host| self.lose_host(host));
            }
            TraceEvent::DomainBack { domain, weights, spread_ms } => {
                self.schedule_returns(domain, *weights, *spread_ms);
            }
            TraceEvent::WeightStore { parallel_loads } => {
                self.engines.set_parallel_loads(*parallel_loads);
            }
            TraceEvent::Rules { rules } => self.apply_rules(rules),
            _ => {}
        }
    }

    /// Executes an action of a planner.
    pub fn execute(&mut self, action: &PlanAction) {
        self.rates_outdated = true;
        if let PlanAction::Prepare { host, rank, size, .. } = action {
            self.prepare(host, (*rank as usize, *size as usize));
            return;
        }
        let Some(command) = command_for(&self.view, &self.book, action) else {
            self.refused += 1;
            return;
        };
        let old = match &command {
            ControlCommand::DissolveGroup { group }
            | ControlCommand::ReplaceGroup { group, .. } => self.view.groups.get(group).cloned(),
            _ => None,
        };
        let outcome = self.state.apply(&command);
        self.reference.check(&command, &outcome, &self.state);
        match &outcome {
            CommandOutcome::GroupFormed { group, .. } => {
                self.replaced += u64::from(old.is_some());
                self.formed += u64::from(old.is_none());
                old.iter().for_each(|old| self.remove_group(old));
                self.add_group(*group);
            }
            CommandOutcome::GroupDissolved { .. } => {
                self.dissolved += 1;
                old.iter().for_each(|old| self.remove_group(old));
            }
            _ => self.refused += 1,
        }
    }

    fn prepare(&mut self, host: &HostName, shard: (usize, usize)) {
        let free = |view: &&HostView| view.present && view.group.is_none();
        if self.view.hosts.get(host).filter(free).is_some() {
            self.engines.request_load(host, shard);
        }
    }

    fn account_until(&mut self, when: TimePoint) {
        if std::mem::take(&mut self.rates_outdated) {
            self.drop_absent_hosts();
            self.rates = FleetRates::take(&self.view, &self.book);
        }
        if when <= self.measure_from {
            self.account = FleetAccount::begin(when);
        } else {
            self.account.advance(when, &self.rates);
        }
    }

    fn drop_absent_hosts(&mut self) {
        let now = self.now;
        if now.since(self.cleaned_up_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_up_at = now;
        self.view.hosts.retain(|_, host| {
            host.present || host.group.is_some() || now.since(host.since) < ABSENT_HOST_RETENTION
        });
    }

    fn arrive(&mut self, event: &TraceEvent) {
        let TraceEvent::Arrive { host, zone, domain, provider, service, accelerators } = event
        else {
            return;
        };
        let announcement = HostAnnouncement {
            host: host.clone(),
            zone: zone.clone(),
            domain: domain.clone(),
            provider: provider.clone(),
            service: service.clone(),
            accelerators: *accelerators,
            link: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            checks_fencing: true,
            incarnation: 1,
            leaving: false,
        };
        let group = self.state.groups.binding(host).group;
        let view = HostView { announcement, present: true, since: self.now, group };
        self.engines.discard_weights(host);
        self.view.hosts.insert(host.clone(), view);
        self.host_changed(host);
    }

    fn lose_host(&mut self, name: &HostName) {
        let now = self.now;
        let Some(host) = self.view.hosts.get_mut(name).filter(|host| host.present) else { return };
        host.present = false;
        host.since = now;
        self.engines.cancel_load(name);
        self.host_changed(name);
    }

    fn restore_host(&mut self, name: &HostName, weights: WeightState) {
        let now = self.now;
        let Some(host) = self.view.hosts.get_mut(name).filter(|host| !host.present) else {
            return;
        };
        host.present = true;
        host.since = now;
        host.announcement.leaving = false;
        if weights == WeightState::Lost {
            host.announcement.incarnation += 1;
            self.engines.discard_weights(name);
        }
        self.host_changed(name);
    }

    fn hosts_of(&self, domain: &DomainName) -> Vec<HostName> {
        let hosts = self.view.hosts.values().map(|host| &host.announcement);
        hosts
            .filter(|announcement| announcement.domain == *domain)
            .map(|announcement| announcement.host.clone())
            .collect()
    }

    fn schedule_returns(&mut self, domain: &DomainName, weights: WeightState, spread_ms: u64) {
        let hosts = self.hosts_of(domain);
        let count = hosts.len().max(1) as u64;
        for (index, host) in hosts.into_iter().enumerate() {
            // The odd multiplier spreads adjacent hosts, so that groups do not return one by one.
            let slot = (index as u64 * 7919) % count;
            let when = self.now.after(Duration::from_millis(1 + spread_ms * slot / count));
            self.scheduled_returns.push((when, host, weights));
        }
    }

    fn apply_returns(&mut self) -> bool {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.scheduled_returns)
            .into_iter()
            .partition(|(when, ..)| *when <= now);
        self.scheduled_returns = later;
        due.iter().for_each(|(_, host, weights)| self.restore_host(host, *weights));
        !due.is_empty()
    }

    fn activate_groups(&mut self) -> bool {
        let (now, groups) = (self.now, &mut self.view.groups);
        let before = self.activations.len();
        self.activations.retain(|group, when| {
            let due = *when <= now;
            if let Some(group) = groups.get_mut(group).filter(|_| due) {
                group.whole = true;
                group.since = now;
            }
            !due
        });
        self.activations.len() != before
    }

    /// Updates the group of `host` after a change of the host; starts its load if it is present.
    fn host_changed(&mut self, host: &HostName) {
        let Some(id) = self.view.hosts.get(host).and_then(|host| host.group) else { return };
        let Some(group) = self.view.groups.get(&id) else { return };
        let present = self.view.hosts.get(host).is_some_and(|host| host.present);
        let rank = group.members.iter().position(|member| member == host);
        if let Some(rank) = rank.filter(|_| present) {
            self.engines.request_load(host, (rank, group.members.len()));
        }
        self.update_group(id);
    }

    /// Updates a group after a change of its hosts: it becomes whole `LEASE_SETUP_TIME` after all
    /// of them are ready, and stops being whole at once if one is not.
    fn update_group(&mut self, id: GroupId) {
        let Some(group) = self.view.groups.get(&id) else { return };
        let size = group.members.len();
        let ready = group.members.iter().enumerate().all(|(rank, host)| {
            self.view.hosts.get(host).is_some_and(|host| host.present)
                && self.engines.is_ready(host, (rank, size))
        });
        let whole = group.whole;
        if !ready {
            self.activations.remove(&id);
            if let Some(group) = self.view.groups.get_mut(&id).filter(|_| whole) {
                group.whole = false;
                group.since = self.now;
            }
        } else if !whole && !self.activations.contains_key(&id) {
            self.activations.insert(id, self.now.after(LEASE_SETUP_TIME));
        }
    }

    fn remove_group(&mut self, old: &GroupView) {
        self.view.groups.remove(&old.group);
        self.activations.remove(&old.group);
        for name in &old.members {
            let current_group = self.state.groups.binding(name).group;
            if let Some(host) = self.view.hosts.get_mut(name) {
                host.group = current_group;
            }
            if current_group.is_none() {
                self.engines.cancel_load(name);
            }
        }
    }

    fn add_group(&mut self, id: GroupId) {
        let Some(registered) = self.state.groups.group(id) else { return };
        let assignment = &registered.assignment;
        let members: Vec<HostName> = assignment.members.iter().map(|m| m.host.clone()).collect();
        let size = members.len();
        for (rank, name) in members.iter().enumerate() {
            if let Some(host) = self.view.hosts.get_mut(name) {
                host.group = Some(id);
                if host.present {
                    self.engines.request_load(name, (rank, size));
                }
            }
        }
        let service = assignment.service.clone();
        let since = self.now;
        let (whole, stale_links) = (false, false);
        let view = GroupView { group: id, service, members, whole, since, stale_links };
        self.view.groups.insert(id, view);
        self.update_group(id);
    }

    fn apply_rules(&mut self, document: &RuleDocument) {
        self.last_change_id += 1;
        let text = serde_json::to_string(document).unwrap_or_default();
        let change = ChangeId(self.last_change_id);
        let command = ControlCommand::ApplyRules { change, expect: None, text };
        let outcome = self.state.apply(&command);
        let current = self.state.rules.current();
        match RuleBook::build(current.revision, &current.text) {
            Ok(book) => self.book = book,
            Err(error) => log::error!(
                "rules of the trace refused, earlier rules stay: {error}; outcome {outcome:?}"
            ),
        }
    }
}

/// Converts milliseconds since the start of a trace to a time point.
pub(super) fn from_ms(at_ms: u64) -> TimePoint {
    TimePoint::default().after(Duration::from_millis(at_ms))
}
