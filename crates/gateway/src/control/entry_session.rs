//! The leader's state for an entry that sends reports.

use std::time::Duration;

use briartray_fleet::message::{EntryNotice, EntryReport, ViewVersion};
use briartray_link::LinkWriter;
use briartray_model::TimePoint;

/// Minimum interval between two complete views to one entry. A report that lists no view may have
/// been written before the last complete view arrived.
const COMPLETE_VIEW_INTERVAL: Duration = Duration::from_millis(200);

/// An entry that reports to this leader.
pub(super) struct EntrySession {
    /// Stream on which the last report arrived.
    pub(super) writer: LinkWriter,
    /// When the last report arrived.
    pub(super) heard_at: TimePoint,
    /// Version of the deployment plan that the entry holds or that was sent on this stream.
    pub(super) plan: Option<u64>,
    /// Version of the view that the entry holds or that was sent on this stream.
    pub(super) view: Option<ViewVersion>,
    /// Whether the entry keeps its view until this leader has heard from all endpoints.
    pub(super) settled: bool,
    /// Version of the quarantine view that the entry holds or that was sent on this stream.
    pub(super) quarantine_version: ViewVersion,
    /// When the last complete view was sent.
    pub(super) complete_view_at: Option<TimePoint>,
}

impl EntrySession {
    /// Starts a session with its first report.
    pub(super) fn new(now: TimePoint, report: &EntryReport, writer: LinkWriter) -> Self {
        let (plan, view) = (report.plan, Some(report.view));
        let (settled, quarantine_version) = (report.settled, report.prints);
        Self {
            writer,
            heard_at: now,
            plan,
            view,
            settled,
            quarantine_version,
            complete_view_at: None,
        }
    }

    /// Records what was sent on the stream.
    pub(super) fn record_sent(&mut self, now: TimePoint, plan: Option<u64>, notice: &EntryNotice) {
        self.plan = self.plan.max(plan);
        self.quarantine_version = notice
            .prints
            .as_ref()
            .map_or(self.quarantine_version, |fingerprints| fingerprints.version);
        let Some(view) = &notice.view else { return };
        self.view = Some(view.version);
        if view.base.is_none() {
            self.complete_view_at = Some(now);
        }
    }

    /// Records the state listed in a report.
    pub(super) fn record_report(&mut self, now: TimePoint, report: &EntryReport) {
        self.heard_at = now;
        self.settled = report.settled;
        self.plan = self.plan.max(report.plan);
        let in_flight =
            self.complete_view_at.is_some_and(|at| now.since(at) < COMPLETE_VIEW_INTERVAL);
        if report.view == ViewVersion::default() && !in_flight {
            self.view = None;
        }
    }
}
