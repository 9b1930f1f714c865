//! Group downtime and stranded accelerators, integrated over time.
//!
//! `FleetRates` holds the groups down and accelerators stranded at one moment; `FleetAccount`
//! integrates these rates. Neither does I/O, so the control role and a replay count alike.
//!
//! An accelerator is stranded while its host is present but belongs to no serving group, or to one
//! beyond the declared number of replicas.

use briartray_model::names::{DomainName, GroupId, HostName, ProviderName, ServiceName};
use briartray_model::rules::{DecisionFacts, PlaceAction, RuleBook, ServiceDeclaration};
use briartray_model::{SortedTable, TimePoint, plain_choice, plain_value};

use crate::planner::{FleetView, GroupView, HostView};

plain_choice! {
    /// Why an accelerator is stranded.
    pub enum StrandedReason {
        /// Its group lacks a member.
        MissingMember,
        /// All members of its group are present, and the group does not serve yet.
        Loading,
        /// It is free although no replica lacks a group or its place has enough free hosts to form
        /// one, or its group is one more than declared.
        SpareHeld,
        /// It is free, a replica has no group, and its place has too few free hosts to form one.
        OddHost,
        /// Its host has announced to leave.
        Leaving,
        /// The service of its host is not declared.
        Unplaceable,
    }
}

impl StrandedReason {
    /// All reasons, in the order of `ServiceAccount::stranded`.
    pub const ALL: [Self; 6] = [
        Self::MissingMember,
        Self::Loading,
        Self::SpareHeld,
        Self::OddHost,
        Self::Leaving,
        Self::Unplaceable,
    ];

    /// Name in metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MissingMember => "missing_member",
            Self::Loading => "loading",
            Self::SpareHeld => "spare_held",
            Self::OddHost => "odd_host",
            Self::Leaving => "leaving",
            Self::Unplaceable => "unplaceable",
        }
    }
}

plain_value! {
    /// Downtime and stranded accelerators of one service: counts at one moment as a rate, or such
    /// counts multiplied by seconds as a sum.
    #[derive(Default)]
    pub struct ServiceAccount {
        /// Declared replicas without a serving group.
        pub groups_down: f64,
        /// Serving groups that cross fabric domains, counted only if the rules allow such groups.
        pub groups_slow: f64,
        /// Stranded accelerators by reason, in the order of `StrandedReason::ALL`.
        pub stranded: [f64; 6],
        /// Lower bound of `groups_down`: replicas for which the present hosts are too few.
        pub bound_down: f64,
        /// Lower bound of stranded accelerators: those beyond what the possible groups use.
        pub bound_stranded: f64,
    }
}

impl ServiceAccount {
    /// Sum of stranded accelerators over all reasons.
    pub fn stranded_total(&self) -> f64 {
        self.stranded.iter().sum()
    }

    /// Cost of downtime, slow groups and stranded accelerators, weighted by `rules`.
    pub fn weighted(&self, rules: &PlaceAction) -> f64 {
        let slow = f64::from(rules.cross_domain_loss_percent) / 100.0 * self.groups_slow;
        rules.downtime_weight * (self.groups_down + slow)
            + rules.stranded_weight * self.stranded_total()
    }

    /// Lower bound of the weighted cost, which no plan can avoid.
    pub fn weighted_bound(&self, rules: &PlaceAction) -> f64 {
        rules.downtime_weight * self.bound_down + rules.stranded_weight * self.bound_stranded
    }

    fn add(&mut self, rates: &Self, seconds: f64) {
        self.groups_down += rates.groups_down * seconds;
        self.groups_slow += rates.groups_slow * seconds;
        self.bound_down += rates.bound_down * seconds;
        self.bound_stranded += rates.bound_stranded * seconds;
        for (sum, rate) in self.stranded.iter_mut().zip(&rates.stranded) {
            *sum += rate * seconds;
        }
    }
}

/// Groups down and accelerators stranded at one moment, by service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetRates {
    services: SortedTable<ServiceName, ServiceAccount>,
}

/// Number of present hosts of one service in one place.
#[derive(Debug, Clone, Copy)]
struct PlaceCount<'a> {
    service: &'a ServiceName,
    provider: &'a ProviderName,
    domain: &'a DomainName,
    hosts: usize,
    free: usize,
    accelerators: f64,
}

impl FleetRates {
    /// Computes the rates of `view` in one pass over its hosts and groups.
    pub fn take(view: &FleetView, book: &RuleBook) -> Self {
        let places = count_places(view);
        let states = group_states(view);
        let mut rates = Self::default();
        for service in &book.document().services {
            let account = service_rates(view, book, service, &places, &states);
            rates.services.insert(service.name.clone(), account);
        }
        let lacking = lacking_services(view, book);
        for host in view.hosts.values().filter(|host| host.present) {
            if let Some(reason) = stranded_reason(&states, &lacking, host, &places) {
                let accelerators = f64::from(host.announcement.accelerators);
                let service = host.announcement.service.clone();
                let account = rates.services.get_or_insert_with(service, Default::default);
                account.stranded[reason as usize] += accelerators;
            }
        }
        rates
    }

    /// The rates of each service.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceAccount)> {
        self.services.iter()
    }
}

/// Rates integrated over time, in seconds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetAccount {
    at: TimePoint,
    services: SortedTable<ServiceName, ServiceAccount>,
}

impl FleetAccount {
    /// Creates an empty account that begins at `now`.
    pub fn begin(now: TimePoint) -> Self {
        Self { at: now, services: SortedTable::default() }
    }

    /// Advances to `now` without counting the time since the last call.
    pub fn skip(&mut self, now: TimePoint) {
        self.at = now;
    }

    /// Advances to `now` and adds `rates` for the time since the last call.
    pub fn advance(&mut self, now: TimePoint, rates: &FleetRates) {
        let seconds = now.since(self.at).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        self.at = now;
        for (service, rate) in rates.services() {
            self.services.get_or_insert_with(service.clone(), Default::default).add(rate, seconds);
        }
    }

    /// The sums of each service.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceAccount)> {
        self.services.iter()
    }

    /// The sums over all services.
    pub fn total(&self) -> ServiceAccount {
        let mut total = ServiceAccount::default();
        self.services.values().for_each(|account| total.add(account, 1.0));
        total
    }

    /// Weighted cost over all services, and its lower bound.
    pub fn weighted(&self, book: &RuleBook) -> (f64, f64) {
        self.services.iter().fold((0.0, 0.0), |(cost, bound), (service, account)| {
            let rules = place_rules(book, service);
            (cost + account.weighted(&rules), bound + account.weighted_bound(&rules))
        })
    }
}

/// The place rules that apply to a service regardless of zone and provider.
pub fn place_rules(book: &RuleBook, service: &ServiceName) -> PlaceAction {
    let facts = DecisionFacts { service: Some(service.as_str()), ..DecisionFacts::default() };
    book.place(&facts).1
}

fn place_of(host: &HostView) -> (&ServiceName, &ProviderName, &DomainName) {
    let announcement = &host.announcement;
    (&announcement.service, &announcement.provider, &announcement.domain)
}

fn count_places(view: &FleetView) -> Vec<PlaceCount<'_>> {
    let mut places: Vec<PlaceCount<'_>> = Vec::new();
    let mut last_place = 0;
    for host in view.hosts.values().filter(|host| host.present) {
        let key = place_of(host);
        let fits = |place: &PlaceCount<'_>| (place.service, place.provider, place.domain) == key;
        // Adjacent hosts mostly share a place, so the place of the previous host is tried first.
        if !places.get(last_place).is_some_and(fits) {
            last_place = find_place(&places, key).unwrap_or_else(|at| {
                let (service, provider, domain) = key;
                let (hosts, free, accelerators) = (0, 0, 0.0);
                let place = PlaceCount { service, provider, domain, hosts, free, accelerators };
                places.insert(at, place);
                at
            });
        }
        places[last_place].hosts += 1;
        places[last_place].accelerators += f64::from(host.announcement.accelerators);
        places[last_place].free += usize::from(host.group.is_none() && !host.announcement.leaving);
    }
    places
}

fn find_place(
    places: &[PlaceCount<'_>],
    key: (&ServiceName, &ProviderName, &DomainName),
) -> Result<usize, usize> {
    places.binary_search_by(|place| (place.service, place.provider, place.domain).cmp(&key))
}

/// State of one group, in a compact form that is searched for every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct GroupState {
    group: GroupId,
    serves: bool,
    complete: bool,
}

fn group_states(view: &FleetView) -> Vec<GroupState> {
    let mut states: Vec<GroupState> = view
        .groups
        .values()
        .map(|group| GroupState { group: group.group, serves: group.whole, complete: true })
        .collect();
    for host in view.hosts.values().filter(|host| !host.present) {
        let Some(group) = host.group.and_then(|group| view.groups.get(&group)) else { continue };
        if let Some(state) = find_state(&mut states, group.group) {
            state.complete = false;
            state.serves &= group.members.first() != Some(&host.announcement.host);
        }
    }
    states
}

fn find_state(states: &mut [GroupState], group: GroupId) -> Option<&mut GroupState> {
    let index = states.binary_search_by_key(&group, |state| state.group).ok()?;
    Some(&mut states[index])
}

fn service_rates(
    view: &FleetView,
    book: &RuleBook,
    service: &ServiceDeclaration,
    places: &[PlaceCount<'_>],
    states: &[GroupState],
) -> ServiceAccount {
    let rules = place_rules(book, &service.name);
    let wanted = service.replicas as usize;
    let serving: Vec<_> = view
        .groups
        .values()
        .zip(states)
        .filter(|(group, state)| state.serves && group.service == service.name)
        .map(|(group, _)| group)
        .collect();
    let slow = if rules.cross_domain {
        serving.iter().filter(|group| crosses_domains(view, group)).count()
    } else {
        0
    };
    let (possible, accelerators, hosts) = possible_groups(service, &rules, places);
    let usable = possible.min(wanted) * service.hosts_per_replica as usize;
    let per_host = if hosts > 0 { accelerators / hosts as f64 } else { 0.0 };
    // Groups beyond the declared number of replicas count as idle.
    let surplus = serving.len().saturating_sub(wanted) * service.hosts_per_replica as usize;
    let mut stranded = [0.0; 6];
    stranded[StrandedReason::SpareHeld as usize] = surplus as f64 * per_host;
    ServiceAccount {
        groups_down: wanted.saturating_sub(serving.len()) as f64,
        groups_slow: slow as f64,
        stranded,
        bound_down: wanted.saturating_sub(possible) as f64,
        bound_stranded: (accelerators - usable as f64 * per_host).max(0.0),
    }
}

/// Number of groups that the present hosts of a service could form, with the accelerators and the
/// number of these hosts.
fn possible_groups(
    service: &ServiceDeclaration,
    rules: &PlaceAction,
    places: &[PlaceCount<'_>],
) -> (usize, f64, usize) {
    let size = (service.hosts_per_replica as usize).max(1);
    let own: Vec<_> = places.iter().filter(|place| *place.service == service.name).collect();
    let sets = |run: &[&PlaceCount<'_>]| run.iter().map(|place| place.hosts).sum::<usize>() / size;
    let possible = if rules.cross_domain {
        own.chunk_by(|a, b| a.provider == b.provider).map(sets).sum()
    } else {
        own.chunks(1).map(sets).sum()
    };
    let accelerators = own.iter().map(|place| place.accelerators).sum();
    (possible, accelerators, own.iter().map(|place| place.hosts).sum())
}

fn crosses_domains(view: &FleetView, group: &GroupView) -> bool {
    let domain = |host: &HostName| view.hosts.get(host).map(|host| &host.announcement.domain);
    let mut domains = group.members.iter().filter_map(domain);
    let first = domains.next();
    domains.any(|domain| Some(domain) != first)
}

/// Declared services with their hosts per replica and whether a replica has no group.
fn lacking_services<'a>(
    view: &FleetView,
    book: &'a RuleBook,
) -> SortedTable<&'a ServiceName, (usize, bool)> {
    let services = book.document().services.iter();
    services
        .map(|service| {
            let groups = view.groups.values().filter(|group| group.service == service.name);
            let lacks = groups.count() < service.replicas as usize;
            (&service.name, (service.hosts_per_replica as usize, lacks))
        })
        .collect()
}

fn stranded_reason(
    states: &[GroupState],
    services: &SortedTable<&ServiceName, (usize, bool)>,
    host: &HostView,
    places: &[PlaceCount<'_>],
) -> Option<StrandedReason> {
    let position = |group| states.binary_search_by_key(&group, |state| state.group).ok();
    if let Some(index) = host.group.and_then(position) {
        return match states[index] {
            GroupState { serves: true, .. } => None,
            GroupState { complete: true, .. } => Some(StrandedReason::Loading),
            _ => Some(StrandedReason::MissingMember),
        };
    }
    if host.announcement.leaving {
        return Some(StrandedReason::Leaving);
    }
    let Some((size, lacks)) = services.get(&&host.announcement.service) else {
        return Some(StrandedReason::Unplaceable);
    };
    let free = find_place(places, place_of(host)).map_or(0, |at| places[at].free);
    let odd = *lacks && free < *size;
    Some(if odd { StrandedReason::OddHost } else { StrandedReason::SpareHeld })
}
