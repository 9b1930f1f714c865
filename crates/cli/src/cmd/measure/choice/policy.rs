//! The compared policies for choosing a replica, as run by one entry.

use std::net::SocketAddr;

use briartray_model::TimePoint;
use briartray_model::message::{GroupRecord, LoadReport, RoutingSnapshot};
use briartray_model::names::{
    DomainName, FencingNumber, GroupId, HostName, ProviderName, ServiceName, ZoneName,
};
use briartray_model::rules::RouteAction;
use briartray_routing::choice::naive::{NaiveChoice, NaivePolicy};
use briartray_routing::choice::{
    AttemptResult, ChoiceOutcome, ChoiceRequest, PrefixDigest, ReplicaTable,
};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::model::ModelPlan;

/// Load up to which a holder known from cache events is preferred, in percent of the mean load.
const CACHE_HOLDER_LOAD_BOUND_PERCENT: u32 = 125;

/// Most prefixes whose holders an entry remembers from cache events.
const MAX_KNOWN_PREFIXES: usize = 4096;

/// A policy for choosing a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PolicyKind {
    Random,
    RoundRobin,
    /// The replica with the lowest reported load.
    LeastReported,
    /// Two random choices over all zones.
    TwoChoices,
    /// Two random choices, own zone first.
    TwoChoicesInZone,
    /// Prefix affinity over all zones.
    RingOverZones,
    /// Prefix affinity, own zone first.
    RingInZone,
    /// Prefix affinity, own zone first, but a replica known from cache events is preferred.
    RingWithCacheEvents,
}

impl PolicyKind {
    pub(super) const ALL: [Self; 8] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::TwoChoicesInZone,
        Self::RingOverZones,
        Self::RingInZone,
        Self::RingWithCacheEvents,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported",
            Self::TwoChoices => "ours, two choices",
            Self::TwoChoicesInZone => "ours, and own zone",
            Self::RingOverZones => "ours, ring over zones",
            Self::RingInZone => "ours, as wired",
            Self::RingWithCacheEvents => "ours, and cache events",
        }
    }

    /// Whether entries receive cache events.
    pub(super) fn uses_cache_events(self) -> bool {
        self == Self::RingWithCacheEvents
    }

    fn route(self) -> RouteAction {
        RouteAction {
            same_zone_first: !matches!(self, Self::TwoChoices | Self::RingOverZones),
            prefix_affinity: matches!(
                self,
                Self::RingOverZones | Self::RingInZone | Self::RingWithCacheEvents
            ),
            ..RouteAction::default()
        }
    }
}

/// The policy of one entry, with its state.
#[derive(Debug)]
pub(super) enum EntryPolicy {
    /// A baseline policy.
    Naive(NaiveChoice),
    /// The replica table of a real entry, with holders known from cache events if it uses them.
    Table { table: Box<ReplicaTable>, route: RouteAction, holders: Option<HolderTable> },
}

impl EntryPolicy {
    /// The policy of entry `number`; `shared` is the table of its zone, which is copied.
    pub(super) fn new(
        kind: PolicyKind,
        plan: &ModelPlan,
        number: usize,
        shared: &ReplicaTable,
    ) -> Self {
        let naive = |policy| Self::Naive(NaiveChoice::new(policy, plan.replicas, number * 7));
        match kind {
            PolicyKind::Random => naive(NaivePolicy::Random),
            PolicyKind::RoundRobin => naive(NaivePolicy::RoundRobin),
            PolicyKind::LeastReported => naive(NaivePolicy::LeastReported),
            _ => Self::Table {
                table: Box::new(shared.clone()),
                route: kind.route(),
                holders: kind.uses_cache_events().then(HolderTable::default),
            },
        }
    }

    /// Chooses the replica for a request; `None` when the request must wait.
    pub(super) fn choose(
        &mut self,
        now: TimePoint,
        prefix: u32,
        random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        match self {
            Self::Naive(choice) => Some(choice.choose(random)),
            Self::Table { table, route, holders } => {
                let digest = PrefixDigest(xxh3_64(&prefix.to_le_bytes()));
                if let Some(holder) =
                    holders.as_ref().and_then(|known| known.least_loaded_holder(prefix, table))
                    && table.claim(now, GroupId(holder as u64), CACHE_HOLDER_LOAD_BOUND_PERCENT)
                {
                    return Some(holder);
                }
                let prefix = Some(digest);
                let request = ChoiceRequest { service: "desk", route, prefix, excluded: &[] };
                match table.choose(now, &request, random) {
                    ChoiceOutcome::Chosen(record) => usize::try_from(record.group.0).ok(),
                    _ => None,
                }
            }
        }
    }

    /// Records the end of a request and the load that the replica reported.
    pub(super) fn release(
        &mut self,
        now: TimePoint,
        replica: usize,
        report: &LoadReport,
        random: &mut ChaCha8Rng,
    ) {
        match self {
            Self::Naive(choice) => choice.report(replica, report.in_flight),
            Self::Table { table, .. } => {
                let group = GroupId(replica as u64);
                table.release(now, group, AttemptResult::Answered, Some(report), random);
            }
        }
    }

    /// Applies a cache event.
    pub(super) fn apply_cache_event(&mut self, prefix: u32, replica: usize, stored: bool) {
        if let Self::Table { holders: Some(holders), .. } = self {
            holders.apply_cache_event(prefix, replica, stored);
        }
    }
}

/// Replicas that hold each prefix, by cache events, which are delayed and sometimes lost.
#[derive(Debug, Default)]
pub(super) struct HolderTable {
    holders: briartray_model::SortedTable<u32, Vec<usize>>,
}

impl HolderTable {
    fn apply_cache_event(&mut self, prefix: u32, replica: usize, stored: bool) {
        if !self.holders.contains_key(&prefix) && self.holders.len() >= MAX_KNOWN_PREFIXES {
            return;
        }
        let known = self.holders.get_or_insert_with(prefix, Vec::new);
        known.retain(|other| *other != replica);
        if stored {
            known.push(replica);
        }
    }

    /// The holder with the fewest open requests of this entry.
    fn least_loaded_holder(&self, prefix: u32, table: &ReplicaTable) -> Option<usize> {
        let known = self.holders.get(&prefix)?;
        known.iter().copied().min_by_key(|replica| table.own_load(GroupId(*replica as u64)))
    }
}

/// The replica table of an entry in zone `zone`.
pub(super) fn make_table(plan: &ModelPlan, zone: usize) -> ReplicaTable {
    let groups = (0..plan.replicas).map(|number| GroupRecord {
        group: GroupId(number as u64),
        fencing: FencingNumber(1),
        service: ServiceName::new("desk"),
        zone: zone_name(plan.zone_of(number)),
        domain: DomainName::new("rack"),
        provider: ProviderName::new("provider"),
        first: HostName::new("host"),
        link: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        whole: true,
        capacity: u32::try_from(plan.batch).unwrap_or(u32::MAX),
    });
    let snapshot =
        RoutingSnapshot { version: 1, groups: groups.collect(), ..RoutingSnapshot::default() };
    let mut table = ReplicaTable::new(&zone_name(zone));
    table.adopt(&snapshot);
    table
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{zone}"))
}
