//! The leader's part in keeping requests that crash endpoints away from them.

use briartray_fleet::message::EntryReport;
use briartray_fleet::state::{FleetCommand, FleetState};
use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::RequestFingerprint;

use super::core::ControlCore;
use super::input::ReplySender;
use super::origin::CommandOrigin;

impl ControlCore {
    /// Takes the runs that an entry reports.
    pub(super) fn take_runs(&mut self, now: TimePoint, report: &EntryReport) {
        let Some(leadership) = &mut self.leadership else { return };
        let state = &self.state;
        for event in report.runs.iter().filter(|event| !leaves_by_plan(state, &event.end)) {
            leadership.quarantine.take(now, event, state.quarantine());
        }
        leadership.dirty |= leadership.quarantine.is_view_stale();
        for record in leadership.quarantine.take_fatal() {
            let (print, crashes) = (record.print, record.endpoints.len());
            log::warn!(print:%, rule = record.rule; "a request crashed {crashes} endpoints");
            self.submit(&FleetCommand::Quarantine(record), CommandOrigin::Quarantine(print));
        }
    }

    /// Lets an operator serve a request again.
    pub(super) fn lift_quarantine(&mut self, print: RequestFingerprint, reply: ReplySender) {
        if !self.is_established() {
            return self.redirect(reply);
        }
        self.submit(&FleetCommand::LiftQuarantine(print), CommandOrigin::Caller(reply));
    }

    /// Forgets crashes that count no more, and lets out what was in quarantine for long.
    pub(super) fn keep_quarantine(&mut self, now: TimePoint) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return;
        };
        for print in leadership.quarantine.keep(now, self.state.quarantine()) {
            let origin = CommandOrigin::Quarantine(print);
            self.submit(&FleetCommand::LiftQuarantine(print), origin);
        }
    }

    /// Makes a new view of the quarantine when it has changed.
    pub(super) fn refresh_prints(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.quarantine.is_view_stale() {
            return;
        }
        let view = leadership.quarantine.refresh(leadership.term, self.state.quarantine());
        let metrics = &self.parts.metrics;
        let count = |prints: usize| i64::try_from(prints).unwrap_or(i64::MAX);
        metrics.quarantined.set(count(view.quarantined.len()));
        metrics.suspects.set(count(view.suspects.len()));
    }
}

/// Whether the end of a run comes from an endpoint that stops by plan.
fn leaves_by_plan(state: &FleetState, end: &RunEnd) -> bool {
    matches!(end, RunEnd::Crashed { endpoint, .. } if state.is_leaving(endpoint))
}
