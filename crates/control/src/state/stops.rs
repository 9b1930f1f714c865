//! Committed planned stops, which determine the endpoints that must leave.
//!
//! A stop remains planned across restarts until an operator cancels it. Whether it is allowed
//! depends on which replicas are up, which is not part of the replicated state. The control host
//! that checks a stop therefore names the revision of this book that it checked against; if another
//! stop was committed since, the command is refused and must be checked again.

use briartray_model::names::{ChangeId, GroupId, HostName, ProviderName, StopId, ZoneName};
use briartray_model::{SortedTable, plain_value};
use serde::{Deserialize, Serialize};

use super::CommandOutcome;

/// Maximum number of planned stops.
pub const MAX_STOPS: usize = 1000;

plain_value! {
    /// Hosts that a stop takes out of service.
    pub enum StopTarget {
        /// A single host.
        Host(HostName),
        /// The hosts that belonged to a group when the stop was planned.
        Group(GroupId, Vec<HostName>),
        /// All hosts of an availability zone.
        Zone(ZoneName),
        /// All hosts of a provider.
        Provider(ProviderName),
    }

    /// A planned stop.
    pub struct StopPlan {
        /// Id of the change, chosen by the operator.
        pub change: ChangeId,
        /// Hosts that are stopped.
        pub target: StopTarget,
    }
}

/// Properties of a host that determine whether a stop covers it.
#[derive(Debug, Clone, Copy)]
pub struct HostPlace<'a> {
    /// Name of the host.
    pub host: &'a HostName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Its provider.
    pub provider: &'a ProviderName,
}

impl StopTarget {
    /// Whether the stop covers the host at `place`.
    pub fn covers(&self, place: HostPlace<'_>) -> bool {
        match self {
            Self::Host(host) => host == place.host,
            Self::Group(_, hosts) => hosts.contains(place.host),
            Self::Zone(zone) => zone == place.zone,
            Self::Provider(provider) => provider == place.provider,
        }
    }
}

/// All planned stops.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StopBook {
    stops: SortedTable<StopId, StopPlan>,
    last_stop: StopId,
    revision: u64,
    /// Groups of planned stops that have started to leave.
    begun: Vec<GroupId>,
}

impl StopBook {
    /// Planned stops in order of planning.
    pub fn stops(&self) -> impl Iterator<Item = (StopId, &StopPlan)> {
        self.stops.iter().map(|(stop, plan)| (*stop, plan))
    }

    /// Revision of the book; increases when a stop is planned or cancelled.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a planned stop covers the host at `place`.
    pub fn is_leaving(&self, place: HostPlace<'_>) -> bool {
        self.stops.values().any(|plan| plan.target.covers(place))
    }

    /// The stop that was planned by `change`.
    pub fn planned_by(&self, change: ChangeId) -> Option<StopId> {
        self.stops.iter().find(|(_, plan)| plan.change == change).map(|(stop, _)| *stop)
    }

    /// Plans a stop that was checked against revision `expect`; a resend gets its original outcome.
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

    /// Whether `group` has started to leave.
    pub fn has_begun(&self, group: GroupId) -> bool {
        self.begun.contains(&group)
    }

    /// Records that `group` starts to leave, so that a new leader does not assign work to it again.
    /// Groups for which `exists` returns `false` are dropped from the record.
    pub fn begin(&mut self, group: GroupId, exists: impl Fn(GroupId) -> bool) -> CommandOutcome {
        self.begun.retain(|known| *known != group && exists(*known));
        if exists(group) {
            self.begun.push(group);
        }
        CommandOutcome::LeaveBegun { group }
    }

    /// Cancels a stop; cancelling it again is not an error.
    pub fn cancel(&mut self, stop: StopId) -> CommandOutcome {
        if stop > self.last_stop || stop == StopId::default() {
            return CommandOutcome::StopUnknown { stop };
        }
        if self.stops.remove(&stop).is_some() {
            self.revision += 1;
            // Groups covered by the remaining stops are recorded again when they leave.
            self.begun.clear();
        }
        CommandOutcome::StopCancelled { stop }
    }
}
