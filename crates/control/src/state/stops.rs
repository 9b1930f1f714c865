//! Planned stops that were committed: which endpoints are on their way out.
//!
//! A stop holds until an operator cancels it, across restarts of any process. Whether it is
//! allowed depends on which replicas are up, which is no part of the replicated state; so the
//! control host that checks names the revision of this book that it checked against, and a stop
//! that was committed in between sends it back to check again.

use briartray_model::names::{ChangeId, GroupId, HostName, ProviderName, StopId, ZoneName};
use briartray_model::{SortedTable, plain_value};
use serde::{Deserialize, Serialize};

use super::CommandOutcome;

/// Stops that may be planned at one time.
pub const MAX_STOPS: usize = 1000;

plain_value! {
    /// What a stop takes out of service.
    pub enum StopTarget {
        /// One host.
        Host(HostName),
        /// The hosts that belonged to a group when the stop was planned.
        Group(GroupId, Vec<HostName>),
        /// Every host of an availability zone.
        Zone(ZoneName),
        /// Every host of a provider.
        Provider(ProviderName),
    }

    /// One planned stop.
    pub struct StopPlan {
        /// The operator's id for the change.
        pub change: ChangeId,
        /// What is stopped.
        pub target: StopTarget,
    }
}

/// What decides whether a host is part of a stop.
#[derive(Debug, Clone, Copy)]
pub struct HostPlace<'a> {
    /// The host.
    pub host: &'a HostName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Its provider.
    pub provider: &'a ProviderName,
}

impl StopTarget {
    /// Whether the host at `place` is stopped.
    pub fn covers(&self, place: HostPlace<'_>) -> bool {
        match self {
            Self::Host(host) => host == place.host,
            Self::Group(_, hosts) => hosts.contains(place.host),
            Self::Zone(zone) => zone == place.zone,
            Self::Provider(provider) => provider == place.provider,
        }
    }
}

/// The stop plans aggregate.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StopBook {
    stops: SortedTable<StopId, StopPlan>,
    last_stop: StopId,
    revision: u64,
    /// Groups of planned stops that have begun to leave.
    begun: Vec<GroupId>,
}

impl StopBook {
    /// The stops in order of planning.
    pub fn stops(&self) -> impl Iterator<Item = (StopId, &StopPlan)> {
        self.stops.iter().map(|(stop, plan)| (*stop, plan))
    }

    /// Grows with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the host at `place` is part of a stop.
    pub fn is_leaving(&self, place: HostPlace<'_>) -> bool {
        self.stops.values().any(|plan| plan.target.covers(place))
    }

    /// The stop that was planned by `change`.
    pub fn planned_by(&self, change: ChangeId) -> Option<StopId> {
        self.stops.iter().find(|(_, plan)| plan.change == change).map(|(stop, _)| *stop)
    }

    /// Plans a stop that was checked against `expect`; a resend gets the first outcome again.
    pub fn plan(&mut self, expect: u64, plan: &StopPlan) -> CommandOutcome {
        if let Some(stop) = self.planned_by(plan.change) {
            return CommandOutcome::StopPlanned { stop };
        }
        if expect != self.revision {
            return CommandOutcome::StopRefused {
                reason: "another stop was planned or cancelled meanwhile; plan it again".to_owned(),
            };
        }
        if self.stops.len() >= MAX_STOPS {
            return CommandOutcome::StopRefused {
                reason: format!("{MAX_STOPS} stops are planned; cancel those that are over"),
            };
        }
        self.revision += 1;
        self.last_stop = self.last_stop.next();
        self.stops.insert(self.last_stop, plan.clone());
        CommandOutcome::StopPlanned { stop: self.last_stop }
    }

    /// Whether `group` has begun to leave.
    pub fn has_begun(&self, group: GroupId) -> bool {
        self.begun.contains(&group)
    }

    /// Notes that `group` begins to leave, so that a new leader does not give it work again;
    /// `exists` tells which groups there still are.
    pub fn begin(&mut self, group: GroupId, exists: impl Fn(GroupId) -> bool) -> CommandOutcome {
        self.begun.retain(|known| *known != group && exists(*known));
        if exists(group) {
            self.begun.push(group);
        }
        CommandOutcome::LeaveBegun { group }
    }

    /// Takes a stop back; cancelling twice is no error.
    pub fn cancel(&mut self, stop: StopId) -> CommandOutcome {
        if stop > self.last_stop || stop == StopId::default() {
            return CommandOutcome::StopUnknown { stop };
        }
        if self.stops.remove(&stop).is_some() {
            self.revision += 1;
            // Groups of other stops begin anew.
            self.begun.clear();
        }
        CommandOutcome::StopCancelled { stop }
    }
}
