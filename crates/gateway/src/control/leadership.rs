//! State that a control host keeps while it leads.

use briartray_fleet::director::FleetDirector;
use briartray_fleet::limit::LimitAllocator;
use briartray_fleet::message::ViewHistory;
use briartray_fleet::state::FleetState;
use briartray_model::names::{NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint};
use briartray_quarantine::QuarantineTracker;
use briartray_routing::retry::{AllowanceAllocator, AllowanceTerms};

use super::entry_session::EntrySession;
use super::send_pacer::SendPacer;

/// Pause after an event-driven director step and after a new view, as a multiple of its duration:
/// each gets at most a quarter of the thread's time. Their duration and the number of events grow
/// with the fleet, but heartbeats and leases must still be served.
pub(super) const STEP_PAUSE_FACTOR: u32 = 3;

/// State that a control host keeps while it leads.
pub(super) struct Leadership {
    /// Term in which the host leads.
    pub(super) term: TermNumber,
    /// Whether all entries committed before the term are applied.
    pub(super) established: bool,
    /// Decides on orders to endpoints and the groups they form.
    pub(super) director: FleetDirector,
    /// Whether the view may have changed since the last update.
    pub(super) view_dirty: bool,
    /// Whether new information calls for a director step.
    pub(super) step_due: bool,
    /// Entries that report to this leader.
    pub(super) entries: SortedTable<NodeName, EntrySession>,
    /// The newest views, as bases for incremental updates.
    pub(super) views: ViewHistory,
    /// Requests that crash endpoints.
    pub(super) quarantine: QuarantineTracker,
    /// Distribution of rate-limited endpoints over the entries.
    pub(super) limits: LimitAllocator,
    /// Division of the retry allowance among the entries.
    pub(super) retries: AllowanceAllocator,
    /// Rate limit for sending deployment plans.
    pub(super) pacer: SendPacer,
    /// Number of the newest view.
    pub(super) view_number: u64,
    /// Earliest time of the next update to entries.
    pub(super) next_update_at: TimePoint,
    /// Earliest time of the next log line about the view.
    pub(super) next_view_log_at: TimePoint,
    /// Earliest time of the next log line about shares by demand.
    pub(super) next_share_log_at: TimePoint,
    /// Earliest time of the next event-driven director step.
    pub(super) next_step_at: TimePoint,
}

impl Leadership {
    /// Starts a leadership at `now`.
    pub(super) fn new(
        now: TimePoint,
        term: TermNumber,
        state: &FleetState,
        allowance_terms: AllowanceTerms,
    ) -> Self {
        Self {
            term,
            established: false,
            director: FleetDirector::default(),
            view_dirty: true,
            step_due: false,
            entries: SortedTable::new(),
            views: ViewHistory::default(),
            quarantine: QuarantineTracker::new(now, state.quarantine()),
            limits: LimitAllocator::new(now),
            retries: AllowanceAllocator::new(now, allowance_terms, true),
            pacer: SendPacer::default(),
            view_number: 0,
            next_update_at: now,
            next_view_log_at: now,
            next_share_log_at: now,
            next_step_at: now,
        }
    }

    /// When the next event-driven director step is due; `None` if there is no new information.
    pub(super) fn follow_up_at(&self) -> Option<TimePoint> {
        (self.established && self.step_due).then_some(self.next_step_at)
    }
}
