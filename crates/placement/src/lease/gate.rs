//! The first host's side: which members' leases are held, and until when.

use std::time::Duration;

use briartray_model::message::GroupAssignment;
use briartray_model::names::{FencingNumber, GroupId, HostName};
use briartray_model::{SortedTable, TimePoint};

use super::DRIFT_MARGIN;

/// Leases of one group, as its first host holds them.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupGate {
    group: GroupId,
    fencing: FencingNumber,
    leases: SortedTable<HostName, Option<TimePoint>>,
}

impl GroupGate {
    /// A gate for `assignment` with no lease held.
    pub fn new(assignment: &GroupAssignment) -> Self {
        let leases = assignment.members.iter().map(|member| (member.host.clone(), None)).collect();
        Self { group: assignment.group, fencing: assignment.fencing, leases }
    }

    /// The group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Its fencing number.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Records a lease of `member` that was asked for at `sent` and granted for `duration`.
    pub fn record(&mut self, member: &HostName, sent: TimePoint, duration: Duration) {
        let usable = duration.saturating_sub(DRIFT_MARGIN);
        if let Some(lease) = self.leases.get_mut(member) {
            *lease = (*lease).max(Some(sent.after(usable)));
        }
    }

    /// Drops the lease of `member`: it refused, or its endpoint is down.
    pub fn revoke(&mut self, member: &HostName) {
        if let Some(lease) = self.leases.get_mut(member) {
            *lease = None;
        }
    }

    /// The moment until which every lease is held; `None` when one is missing.
    pub fn whole_until(&self) -> Option<TimePoint> {
        let ends: Option<Vec<TimePoint>> = self.leases.values().copied().collect();
        ends.and_then(|ends| ends.into_iter().min())
    }

    /// Whether every member's lease is held at `now`.
    pub fn is_whole(&self, now: TimePoint) -> bool {
        self.whole_until().is_some_and(|until| now < until)
    }

    /// Members whose lease is not held at `now`.
    pub fn missing(&self, now: TimePoint) -> Vec<HostName> {
        self.leases
            .iter()
            .filter(|(_, lease)| lease.is_none_or(|until| now >= until))
            .map(|(host, _)| host.clone())
            .collect()
    }
}
