//! A member's side: the one group it has promised to stay in.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{FencingNumber, GroupId};

use super::LEASE_DURATION;

/// Answer to a request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseDecision {
    /// The promise holds for this long from now.
    Granted(Duration),
    /// Not granted; the member knows this fencing number.
    Refused(FencingNumber),
}

/// The promise of one host to one group at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostPromise {
    assigned: Option<(GroupId, FencingNumber)>,
    highest: FencingNumber,
    promised: Option<(GroupId, FencingNumber, TimePoint)>,
    closed_until: TimePoint,
}

impl HostPromise {
    /// A host whose agent started at `now` without memory of earlier promises.
    ///
    /// An agent that restarts may have promised just before; granting at once would put the host
    /// into two groups. It waits out the longest promise instead.
    pub fn new(now: TimePoint) -> Self {
        Self {
            assigned: None,
            highest: FencingNumber::default(),
            promised: None,
            closed_until: now.after(LEASE_DURATION),
        }
    }

    /// Takes an assignment from control; `false` when it is older than one already known.
    pub fn assign(&mut self, group: GroupId, fencing: FencingNumber) -> bool {
        if fencing < self.highest {
            return false;
        }
        self.highest = fencing;
        self.assigned = Some((group, fencing));
        true
    }

    /// Takes notice from control that the host is free; `false` when the notice is old.
    pub fn free(&mut self, fencing: FencingNumber) -> bool {
        if fencing < self.highest {
            return false;
        }
        self.highest = fencing;
        self.assigned = None;
        true
    }

    /// Highest fencing number seen.
    pub fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// Decides on a lease for `group` at `fencing`, asked for by its first host.
    pub fn grant(
        &mut self,
        now: TimePoint,
        group: GroupId,
        fencing: FencingNumber,
    ) -> PromiseDecision {
        let refused = PromiseDecision::Refused(self.highest);
        if self.assigned != Some((group, fencing)) || now < self.closed_until {
            return refused;
        }
        let bound_elsewhere = self
            .promised
            .is_some_and(|(held, number, until)| (held, number) != (group, fencing) && now < until);
        if bound_elsewhere {
            return refused;
        }
        self.promised = Some((group, fencing, now.after(LEASE_DURATION)));
        PromiseDecision::Granted(LEASE_DURATION)
    }
}
