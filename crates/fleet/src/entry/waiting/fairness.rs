//! Start-time fair queueing of the teams that wait for one model.
//!
//! A team's start tag is the virtual time up to which it has been charged. A team that begins to
//! wait starts at the current virtual time, so it gains nothing from the time in which it did not
//! wait; while it waits, its tag stays, so it is served once the others have been charged as much.

use briartray_model::SortedTable;
use briartray_model::names::TeamName;

/// Every n-th dispatch ignores priority and whether a caller returned, so that no rank starves.
const FAIR_DISPATCH_PERIOD: u64 = 8;

/// Charges of the teams of one model, in milliseconds of a whole group.
#[derive(Debug, Clone, Default)]
pub(super) struct TeamCharges {
    start_tags: SortedTable<Option<TeamName>, f64>,
    virtual_time: f64,
    dispatches: u64,
}

impl TeamCharges {
    /// Records that `team`, none of whose requests waited, begins to wait.
    pub(super) fn enter(&mut self, team: Option<&TeamName>) {
        let virtual_time = self.virtual_time;
        let tag = self.start_tags.get_or_insert_with(team.cloned(), || virtual_time);
        *tag = tag.max(virtual_time);
    }

    /// Start tag of `team`.
    pub(super) fn start_tag(&self, team: Option<&TeamName>) -> f64 {
        let tag = self.start_tags.find(|known| known.as_ref().cmp(&team));
        tag.copied().unwrap_or(self.virtual_time)
    }

    /// Whether the next dispatch is by fairness alone.
    pub(super) fn is_fair_dispatch(&self) -> bool {
        self.dispatches % FAIR_DISPATCH_PERIOD == FAIR_DISPATCH_PERIOD - 1
    }

    /// Charges `team` for a dispatched request that takes `group_ms` milliseconds of a group.
    pub(super) fn charge(&mut self, team: Option<&TeamName>, group_ms: f64) {
        let start = self.start_tag(team);
        self.virtual_time = self.virtual_time.max(start);
        self.dispatches += 1;
        self.start_tags.insert(team.cloned(), start + group_ms.max(0.0));
    }

    /// Removes teams that do not wait and whose charges the virtual time has reached.
    pub(super) fn remove_idle(&mut self, waits: impl Fn(Option<&TeamName>) -> bool) {
        let virtual_time = self.virtual_time;
        self.start_tags.retain(|team, tag| *tag > virtual_time || waits(team.as_ref()));
    }
}
