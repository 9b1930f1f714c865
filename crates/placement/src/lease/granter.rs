//! Lease granter at a member: promises one group at a time to stay in it.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{FencingNumber, GroupId};

use super::LEASE_DURATION;

/// Answer of a member to a request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseDecision {
    /// The lease is granted for this duration from now.
    Granted(Duration),
    /// The lease is refused; carries the highest fencing number that the member has seen.
    Refused(FencingNumber),
}

/// State of a member that grants leases to the first host of at most one group at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGranter {
    assigned: Option<(GroupId, FencingNumber)>,
    highest_fencing: FencingNumber,
    promised: Option<(GroupId, FencingNumber, TimePoint)>,
    refuse_until: TimePoint,
}

impl LeaseGranter {
    /// Creates the state of an agent that started at `now` and knows of no earlier lease.
    ///
    /// The agent may have granted a lease just before it restarted, and granting another at once
    /// could put the host into two groups. All requests are refused until such a lease has expired.
    pub fn new(now: TimePoint) -> Self {
        Self {
            assigned: None,
            highest_fencing: FencingNumber::default(),
            promised: None,
            refuse_until: now.after(LEASE_DURATION),
        }
    }

    /// Applies an assignment from control; returns `false` and ignores it if its fencing number is
    /// lower than the highest one seen.
    pub fn assign(&mut self, group: GroupId, fencing: FencingNumber) -> bool {
        if fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = fencing;
        self.assigned = Some((group, fencing));
        true
    }

    /// Applies a notice from control that the host belongs to no group; returns `false` and ignores
    /// it if its fencing number is lower than the highest one seen.
    pub fn unassign(&mut self, fencing: FencingNumber) -> bool {
        if fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = fencing;
        self.assigned = None;
        true
    }

    /// Highest fencing number seen.
    pub fn highest_fencing(&self) -> FencingNumber {
        self.highest_fencing
    }

    /// Answers a request for a lease from the first host of `group`.
    ///
    /// Grants it if the host is assigned to `group` with `fencing`, and no lease to another group
    /// or from before a restart may still be in force.
    pub fn grant(
        &mut self,
        now: TimePoint,
        group: GroupId,
        fencing: FencingNumber,
    ) -> LeaseDecision {
        let refused = LeaseDecision::Refused(self.highest_fencing);
        if self.assigned != Some((group, fencing)) || now < self.refuse_until {
            return refused;
        }
        let promised_elsewhere =
            self.promised.is_some_and(|(other_group, other_fencing, until)| {
                (other_group, other_fencing) != (group, fencing) && now < until
            });
        if promised_elsewhere {
            return refused;
        }
        self.promised = Some((group, fencing, now.after(LEASE_DURATION)));
        LeaseDecision::Granted(LEASE_DURATION)
    }
}
