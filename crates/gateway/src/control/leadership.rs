//! What a control host keeps while it leads.

use briartray_fleet::director::FleetDirector;
use briartray_fleet::limit::LimitAllocator;
use briartray_fleet::message::ViewHistory;
use briartray_model::names::{NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint};
use briartray_quarantine::QuarantineTracker;

use super::entry_session::EntrySession;
use super::pace::SendPace;

/// Pause after a step of the director that an event asked for, and after a new view, in times of what it
/// took: one part in four of the thread's time goes to each. Both grow with the fleet, and so does the
/// number of events, while heartbeats and leases have to be answered all the same.
pub(super) const STEP_PAUSE: u32 = 3;

/// What a leader keeps while it leads.
pub(super) struct Leadership {
    /// Term in which it leads.
    pub(super) term: TermNumber,
    /// Whether everything committed before is applied here.
    pub(super) established: bool,
    /// What it knows of the endpoints and does about them.
    pub(super) director: FleetDirector,
    /// Something may have changed in the view.
    pub(super) dirty: bool,
    /// The director has something to follow up.
    pub(super) step_due: bool,
    /// Entries that report to it.
    pub(super) entries: SortedTable<NodeName, EntrySession>,
    /// The newest views, for updates of those that entries hold.
    pub(super) views: ViewHistory,
    /// Requests that crash endpoints.
    pub(super) quarantine: QuarantineTracker,
    /// What endpoints with a limit get.
    pub(super) limits: LimitAllocator,
    /// How fast declarations are handed out.
    pub(super) pace: SendPace,
    /// Number of the newest view.
    pub(super) number: u64,
    /// When entries may be told of the next view.
    pub(super) inform_from: TimePoint,
    /// When the next line about the view may be written.
    pub(super) view_line_at: TimePoint,
    /// When the director may be stepped for what was just learnt.
    pub(super) step_from: TimePoint,
}

impl Leadership {
    /// A leadership that begins at `now`.
    pub(super) fn new(now: TimePoint, term: TermNumber) -> Self {
        Self {
            term,
            established: false,
            director: FleetDirector::default(),
            dirty: true,
            step_due: false,
            entries: SortedTable::new(),
            views: ViewHistory::default(),
            quarantine: QuarantineTracker::default(),
            limits: LimitAllocator::new(now),
            pace: SendPace::default(),
            number: 0,
            inform_from: now,
            view_line_at: now,
            step_from: now,
        }
    }

    /// When the director is to be stepped for what was just learnt; `None` when nothing was.
    pub(super) fn follow_up_at(&self) -> Option<TimePoint> {
        (self.established && self.step_due).then_some(self.step_from)
    }
}
