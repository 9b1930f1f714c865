//! The ways to choose that are compared, as one entry runs them.

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

/// Requests over the mean, in percent, up to which a holder known from cache events is preferred.
const EVENT_BOUND_PERCENT: u32 = 125;

/// Prefixes whose holders an entry remembers from cache events.
const MAX_KNOWN: usize = 4096;

/// Which way to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PolicyKind {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
    Zones,
    FleetRing,
    Ring,
    Events,
}

impl PolicyKind {
    pub(super) const ALL: [Self; 8] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::Zones,
        Self::FleetRing,
        Self::Ring,
        Self::Events,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported",
            Self::TwoChoices => "ours, two choices",
            Self::Zones => "ours, and own zone",
            Self::FleetRing => "ours, ring over zones",
            Self::Ring => "ours, as wired",
            Self::Events => "ours, and cache events",
        }
    }

    /// Whether cache events are told to entries.
    pub(super) fn wants_events(self) -> bool {
        self == Self::Events
    }

    fn route(self) -> RouteAction {
        RouteAction {
            same_zone_first: !matches!(self, Self::TwoChoices | Self::FleetRing),
            prefix_affinity: matches!(self, Self::FleetRing | Self::Ring | Self::Events),
            ..RouteAction::default()
        }
    }
}

/// The choice of one entry.
#[derive(Debug)]
pub(super) enum EntryPolicy {
    Naive(NaiveChoice),
    Ours { table: Box<ReplicaTable>, route: RouteAction, holders: Option<HolderTable> },
}

impl EntryPolicy {
    /// The choice of entry `number`; `shared` holds the table of its zone.
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
            _ => Self::Ours {
                table: Box::new(shared.clone()),
                route: kind.route(),
                holders: kind.wants_events().then(HolderTable::default),
            },
        }
    }

    /// The replica for a request; `None` when it must wait.
    pub(super) fn choose(
        &mut self,
        now: TimePoint,
        prefix: u32,
        random: &mut ChaCha8Rng,
    ) -> Option<usize> {
        match self {
            Self::Naive(choice) => Some(choice.choose(random)),
            Self::Ours { table, route, holders } => {
                let digest = PrefixDigest(xxh3_64(&prefix.to_le_bytes()));
                if let Some(holder) = holders.as_ref().and_then(|known| known.holder(prefix, table))
                    && table.claim(now, GroupId(holder as u64), EVENT_BOUND_PERCENT)
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

    /// Counts a request off.
    pub(super) fn release(
        &mut self,
        now: TimePoint,
        replica: usize,
        report: &LoadReport,
        random: &mut ChaCha8Rng,
    ) {
        match self {
            Self::Naive(choice) => choice.report(replica, report.in_flight),
            Self::Ours { table, .. } => {
                let group = GroupId(replica as u64);
                table.release(now, group, AttemptResult::Answered, Some(report), random);
            }
        }
    }

    /// Takes a cache event in.
    pub(super) fn learn(&mut self, prefix: u32, replica: usize, stored: bool) {
        if let Self::Ours { holders: Some(holders), .. } = self {
            holders.learn(prefix, replica, stored);
        }
    }
}

/// Holders of prefixes by cache events, which come late and with gaps.
#[derive(Debug, Default)]
pub(super) struct HolderTable {
    holders: briartray_model::SortedTable<u32, Vec<usize>>,
}

impl HolderTable {
    fn learn(&mut self, prefix: u32, replica: usize, stored: bool) {
        if !self.holders.contains_key(&prefix) && self.holders.len() >= MAX_KNOWN {
            return;
        }
        let known = self.holders.get_or_insert_with(prefix, Vec::new);
        known.retain(|other| *other != replica);
        if stored {
            known.push(replica);
        }
    }

    /// The holder with the fewest requests of this entry.
    fn holder(&self, prefix: u32, table: &ReplicaTable) -> Option<usize> {
        let known = self.holders.get(&prefix)?;
        known.iter().copied().min_by_key(|replica| table.own_load(GroupId(*replica as u64)))
    }
}

/// The table of an entry in zone `zone`.
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
