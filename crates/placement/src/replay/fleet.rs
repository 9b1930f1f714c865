//! A fleet stepped through events: hosts, engines, the registry and the account.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_model::message::HostAnnouncement;
use briartray_model::names::{ChangeId, DomainName, GroupId, HostName, ServiceName};
use briartray_model::rules::{RuleBook, RuleDocument};
use briartray_model::{SortedTable, TimePoint};

use super::engine::EngineFleet;
use super::registry::NaiveRegistry;
use super::trace::{TraceEvent, TraceHeader, WeightState};
use crate::accounting::{FleetAccount, FleetRates};
use crate::planner::{FleetView, GroupView, HostView, PlanAction, command_for};

/// Time for the members' leases after a group is formed or its last host is ready.
const LEASE_SETUP: Duration = Duration::from_secs(1);

/// How long a host that went away and belongs to no group is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// How often hosts that went away are looked through.
const FORGET_EVERY: Duration = Duration::from_secs(60);

/// The state of a replay between two events.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplayFleet {
    now: TimePoint,
    state: ControlState,
    book: RuleBook,
    view: FleetView,
    engines: EngineFleet,
    naive: NaiveRegistry,
    /// Groups whose hosts are ready and that serve from then on.
    opening: SortedTable<GroupId, TimePoint>,
    /// Hosts that come back later along with their fabric domain.
    returning: Vec<(TimePoint, HostName, WeightState)>,
    rates: FleetRates,
    account: FleetAccount,
    measure_from: TimePoint,
    forgot_at: TimePoint,
    stale: bool,
    formed: u64,
    replaced: u64,
    dissolved: u64,
    refused: u64,
    changes_id: u128,
}

impl ReplayFleet {
    /// An empty fleet with the rules of `header`.
    pub fn new(header: &TraceHeader) -> Self {
        let load = header.load_ms as f64 / 1000.0;
        let mut fleet = Self {
            now: TimePoint::default(),
            state: ControlState::default(),
            book: RuleBook::default(),
            view: FleetView::default(),
            engines: EngineFleet::new(load, header.parallel_loads),
            naive: NaiveRegistry::default(),
            opening: SortedTable::default(),
            returning: Vec::new(),
            rates: FleetRates::default(),
            account: FleetAccount::default(),
            measure_from: from_ms(header.measure_from_ms),
            forgot_at: TimePoint::default(),
            stale: true,
            formed: 0,
            replaced: 0,
            dissolved: 0,
            refused: 0,
            changes_id: 0,
        };
        fleet.apply_rules(&header.rules);
        fleet
    }

    /// The fleet as a planner sees it.
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

    /// Weighted cost so far.
    pub fn weighted(&self) -> f64 {
        self.account.weighted(&self.book).0
    }

    /// Time reached.
    pub fn now(&self) -> TimePoint {
        self.now
    }

    /// The naive registry with what it found wrong.
    pub fn naive(&self) -> &NaiveRegistry {
        &self.naive
    }

    /// Commands that took effect: groups formed, replaced, dissolved; and commands refused.
    pub fn changes(&self) -> (u64, u64, u64, u64) {
        (self.formed, self.replaced, self.dissolved, self.refused)
    }

    /// Groups of `service` that serve now.
    pub fn serving(&self, service: &ServiceName) -> usize {
        self.view.groups.values().filter(|g| g.service == *service && g.whole).count()
    }

    /// When something happens next by itself: a load ends, a group opens, a host returns.
    pub fn next_change(&self) -> Option<TimePoint> {
        let load = self.engines.next_end().map(|left| {
            // Rounded up, so that the load has ended when its time has come.
            self.now.after(Duration::from_secs_f64(left) + Duration::from_micros(1))
        });
        let opening = self.opening.values().copied().min();
        let returning = self.returning.iter().map(|(when, _, _)| *when).min();
        [load, opening, returning].into_iter().flatten().min()
    }

    /// Lets time pass up to `when`, which is no later than the next change.
    ///
    /// Returns whether anything changed that a planner would want to see.
    pub fn advance(&mut self, when: TimePoint) -> bool {
        self.count_until(when);
        let ended = self.engines.advance(when.since(self.now).as_secs_f64());
        self.now = when;
        let mut changed = !ended.is_empty();
        for host in ended {
            if let Some(group) = self.view.hosts.get(&host).and_then(|host| host.group) {
                self.refresh(group);
            }
        }
        changed |= self.open_groups();
        changed |= self.take_returns();
        self.stale |= changed;
        changed
    }

    /// Takes in an event that happens now; statements are not events of the fleet.
    pub fn apply(&mut self, event: &TraceEvent) {
        self.stale = true;
        match event {
            TraceEvent::Arrive { .. } => self.arrive(event),
            TraceEvent::Lost { host } => self.lose(host),
            TraceEvent::Back { host, weights } => self.bring_back(host, *weights),
            TraceEvent::Leaving { host } => {
                if let Some(host) = self.view.hosts.get_mut(host) {
                    host.announcement.leaving = true;
                }
            }
            TraceEvent::DomainDark { domain } => {
                self.hosts_of(domain).iter().for_each(|host| self.lose(host));
            }
            TraceEvent::DomainBack { domain, weights, spread_ms } => {
                self.schedule_returns(domain, *weights, *spread_ms);
            }
            TraceEvent::WeightStore { parallel_loads } => {
                self.engines.set_parallel(*parallel_loads);
            }
            TraceEvent::Rules { rules } => self.apply_rules(rules),
            _ => {}
        }
    }

    /// Carries out what a planner asks for.
    pub fn execute(&mut self, action: &PlanAction) {
        self.stale = true;
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
        self.naive.check(&command, &outcome, &self.state);
        match &outcome {
            CommandOutcome::GroupFormed { group, .. } => {
                self.replaced += u64::from(old.is_some());
                self.formed += u64::from(old.is_none());
                old.iter().for_each(|old| self.take_down(old));
                self.set_up(*group);
            }
            CommandOutcome::GroupDissolved { .. } => {
                self.dissolved += 1;
                old.iter().for_each(|old| self.take_down(old));
            }
            _ => self.refused += 1,
        }
    }

    fn prepare(&mut self, host: &HostName, shard: (usize, usize)) {
        let free = |view: &&HostView| view.present && view.group.is_none();
        if self.view.hosts.get(host).filter(free).is_some() {
            self.engines.order(host, shard);
        }
    }

    fn count_until(&mut self, when: TimePoint) {
        if std::mem::take(&mut self.stale) {
            self.forget_hosts();
            self.rates = FleetRates::take(&self.view, &self.book);
        }
        if when <= self.measure_from {
            self.account = FleetAccount::begin(when);
        } else {
            self.account.advance(when, &self.rates);
        }
    }

    fn forget_hosts(&mut self) {
        let now = self.now;
        if now.since(self.forgot_at) < FORGET_EVERY {
            return;
        }
        self.forgot_at = now;
        self.view.hosts.retain(|_, host| {
            host.present || host.group.is_some() || now.since(host.since) < FORGET_AFTER
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
        self.engines.forget(host);
        self.view.hosts.insert(host.clone(), view);
        self.follow(host);
    }

    fn lose(&mut self, name: &HostName) {
        let now = self.now;
        let Some(host) = self.view.hosts.get_mut(name).filter(|host| host.present) else { return };
        host.present = false;
        host.since = now;
        self.engines.cancel(name);
        self.follow(name);
    }

    fn bring_back(&mut self, name: &HostName, weights: WeightState) {
        let now = self.now;
        let Some(host) = self.view.hosts.get_mut(name).filter(|host| !host.present) else {
            return;
        };
        host.present = true;
        host.since = now;
        host.announcement.leaving = false;
        if weights == WeightState::Lost {
            host.announcement.incarnation += 1;
            self.engines.forget(name);
        }
        self.follow(name);
    }

    fn hosts_of(&self, domain: &DomainName) -> Vec<HostName> {
        let hosts = self.view.hosts.values().map(|host| &host.announcement);
        hosts.filter(|said| said.domain == *domain).map(|said| said.host.clone()).collect()
    }

    fn schedule_returns(&mut self, domain: &DomainName, weights: WeightState, spread_ms: u64) {
        let hosts = self.hosts_of(domain);
        let count = hosts.len().max(1) as u64;
        for (index, host) in hosts.into_iter().enumerate() {
            // An odd multiplier spreads neighbours, so that groups do not come back in order.
            let slot = (index as u64 * 7919) % count;
            let when = self.now.after(Duration::from_millis(1 + spread_ms * slot / count));
            self.returning.push((when, host, weights));
        }
    }

    fn take_returns(&mut self) -> bool {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.returning).into_iter().partition(|(when, ..)| *when <= now);
        self.returning = later;
        due.iter().for_each(|(_, host, weights)| self.bring_back(host, *weights));
        !due.is_empty()
    }

    fn open_groups(&mut self) -> bool {
        let (now, groups) = (self.now, &mut self.view.groups);
        let before = self.opening.len();
        self.opening.retain(|group, when| {
            let due = *when <= now;
            if let Some(group) = groups.get_mut(group).filter(|_| due) {
                group.whole = true;
                group.since = now;
            }
            !due
        });
        self.opening.len() != before
    }

    /// Lets the group of `host` know that the host changed.
    fn follow(&mut self, host: &HostName) {
        let Some(id) = self.view.hosts.get(host).and_then(|host| host.group) else { return };
        let Some(group) = self.view.groups.get(&id) else { return };
        let present = self.view.hosts.get(host).is_some_and(|host| host.present);
        let rank = group.members.iter().position(|member| member == host);
        if let Some(rank) = rank.filter(|_| present) {
            self.engines.order(host, (rank, group.members.len()));
        }
        self.refresh(id);
    }

    /// Works out whether a group is about to serve or has ceased to.
    fn refresh(&mut self, id: GroupId) {
        let Some(group) = self.view.groups.get(&id) else { return };
        let size = group.members.len();
        let ready = group.members.iter().enumerate().all(|(rank, host)| {
            self.view.hosts.get(host).is_some_and(|host| host.present)
                && self.engines.is_ready(host, (rank, size))
        });
        let whole = group.whole;
        if !ready {
            self.opening.remove(&id);
            if let Some(group) = self.view.groups.get_mut(&id).filter(|_| whole) {
                group.whole = false;
                group.since = self.now;
            }
        } else if !whole && !self.opening.contains_key(&id) {
            self.opening.insert(id, self.now.after(LEASE_SETUP));
        }
    }

    fn take_down(&mut self, old: &GroupView) {
        self.view.groups.remove(&old.group);
        self.opening.remove(&old.group);
        for name in &old.members {
            let binding = self.state.groups.binding(name).group;
            if let Some(host) = self.view.hosts.get_mut(name) {
                host.group = binding;
            }
            if binding.is_none() {
                self.engines.cancel(name);
            }
        }
    }

    fn set_up(&mut self, id: GroupId) {
        let Some(registered) = self.state.groups.group(id) else { return };
        let assignment = &registered.assignment;
        let members: Vec<HostName> = assignment.members.iter().map(|m| m.host.clone()).collect();
        let size = members.len();
        for (rank, name) in members.iter().enumerate() {
            if let Some(host) = self.view.hosts.get_mut(name) {
                host.group = Some(id);
                if host.present {
                    self.engines.order(name, (rank, size));
                }
            }
        }
        let service = assignment.service.clone();
        let since = self.now;
        let (whole, stale_links) = (false, false);
        let view = GroupView { group: id, service, members, whole, since, stale_links };
        self.view.groups.insert(id, view);
        self.refresh(id);
    }

    fn apply_rules(&mut self, document: &RuleDocument) {
        self.changes_id += 1;
        let text = serde_json::to_string(document).unwrap_or_default();
        let change = ChangeId(self.changes_id);
        let command = ControlCommand::ApplyRules { change, expect: None, text };
        let outcome = self.state.apply(&command);
        let current = self.state.rules.current();
        match RuleBook::build(current.revision, &current.text) {
            Ok(book) => self.book = book,
            Err(error) => log::error!("rules of the trace: {error}; outcome {outcome:?}"),
        }
    }
}

/// A time point from milliseconds.
pub(super) fn from_ms(at_ms: u64) -> TimePoint {
    TimePoint::default().after(Duration::from_millis(at_ms))
}
