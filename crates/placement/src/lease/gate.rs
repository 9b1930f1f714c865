//! Admission gate at the first host of a group: the lease held from each member, with its expiry.

use std::time::Duration;

use briartray_model::message::GroupAssignment;
use briartray_model::names::{FencingNumber, GroupId, HostName};
use briartray_model::{SortedTable, TimePoint};

use super::DRIFT_MARGIN;

/// The leases that the first host of one group holds from the members.
///
/// The first host admits requests while the gate is whole, which means that all leases are held.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupGate {
    group: GroupId,
    fencing: FencingNumber,
    leases: SortedTable<HostName, Option<TimePoint>>,
}

impl GroupGate {
    /// Creates the gate for `assignment`, with no lease held.
    pub fn new(assignment: &GroupAssignment) -> Self {
        let leases = assignment.members.iter().map(|member| (member.host.clone(), None)).collect();
        Self { group: assignment.group, fencing: assignment.fencing, leases }
    }

    /// Group whose leases are held.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Fencing number of the group's assignment.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Records that `member` granted a lease for `duration` in answer to a request sent at `sent`.
    ///
    /// The lease counts as held until `DRIFT_MARGIN` before its end. Never shortens a lease.
    pub fn record(&mut self, member: &HostName, sent: TimePoint, duration: Duration) {
        let usable_duration = duration.saturating_sub(DRIFT_MARGIN);
        if let Some(lease) = self.leases.get_mut(member) {
            *lease = (*lease).max(Some(sent.after(usable_duration)));
        }
    }

    /// Drops the lease of `member`, which refused to renew it or whose endpoint is not ready.
    pub fn revoke(&mut self, member: &HostName) {
        if let Some(lease) = self.leases.get_mut(member) {
            *lease = None;
        }
    }

    /// Earliest expiry of all leases; `None` if a lease is missing.
    pub fn whole_until(&self) -> Option<TimePoint> {
        let expiries: Option<Vec<TimePoint>> = self.leases.values().copied().collect();
        expiries.and_then(|expiries| expiries.into_iter().min())
    }

    /// Whether the leases of all members are held at `now`.
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
