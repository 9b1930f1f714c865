//! What a leader knows of an entry that reports to it.

use std::time::Duration;

use briartray_fleet::message::{EntryNotice, EntryReport, ViewVersion};
use briartray_link::LinkWriter;
use briartray_model::TimePoint;

/// Time between two whole views to one entry: a report that says it holds none may have been written before
/// the one that was sent last had come.
const WHOLE_EVERY: Duration = Duration::from_millis(200);

/// An entry that reports to this leader.
pub(super) struct EntrySession {
    /// The stream of its last report.
    pub(super) writer: LinkWriter,
    /// When its last report came.
    pub(super) heard: TimePoint,
    /// Version of the declaration that it holds, or that is on its way to it on this stream.
    pub(super) plan: Option<u64>,
    /// View that the entry holds, or that is on its way to it on this stream.
    pub(super) view: Option<ViewVersion>,
    /// Whether it keeps its view until this leader has heard of all endpoints.
    pub(super) settled: bool,
    /// View of the quarantine that it holds, or that is on its way to it on this stream.
    pub(super) prints: ViewVersion,
    /// When it was sent a whole view.
    pub(super) whole_at: Option<TimePoint>,
}

impl EntrySession {
    /// A session that begins with `report`.
    pub(super) fn new(now: TimePoint, report: &EntryReport, writer: LinkWriter) -> Self {
        let (plan, view) = (report.plan, Some(report.view));
        let (settled, prints) = (report.settled, report.prints);
        Self { writer, heard: now, plan, view, settled, prints, whole_at: None }
    }

    /// Notes what was sent on the stream.
    pub(super) fn sent(&mut self, now: TimePoint, plan: Option<u64>, notice: &EntryNotice) {
        self.plan = self.plan.max(plan);
        self.prints = notice.prints.as_ref().map_or(self.prints, |prints| prints.version);
        let Some(view) = &notice.view else { return };
        self.view = Some(view.version);
        if view.base.is_none() {
            self.whole_at = Some(now);
        }
    }

    /// Takes what a report says that the entry holds.
    pub(super) fn heard(&mut self, now: TimePoint, report: &EntryReport) {
        self.heard = now;
        self.settled = report.settled;
        self.plan = self.plan.max(report.plan);
        let on_its_way = self.whole_at.is_some_and(|at| now.since(at) < WHOLE_EVERY);
        if report.view == ViewVersion::default() && !on_its_way {
            self.view = None;
        }
    }
}
