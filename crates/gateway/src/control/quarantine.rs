//! The leader's quarantine of requests that crash endpoints.

use briartray_fleet::message::EntryReport;
use briartray_fleet::state::{FleetCommand, FleetState};
use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::RequestFingerprint;

use super::core::ControlCore;
use super::input::ReplySender;
use super::origin::CommandOrigin;

impl ControlCore {
    /// Records the runs listed in an entry's report.
    pub(super) fn record_runs(&mut self, now: TimePoint, report: &EntryReport) {
        let Some(leadership) = &mut self.leadership else { return };
        let state = &self.state;
        for event in report.runs.iter().filter(|event| !is_planned_leave(state, &event.end)) {
            leadership.quarantine.take(now, event, state.quarantine());
        }
        leadership.view_dirty |= leadership.quarantine.is_view_stale();
        for record in leadership.quarantine.take_fatal() {
            let (print, crashes) = (record.print, record.endpoints.len());
            log::warn!(print:%, rule = record.rule;
                "request crashed {crashes} endpoints; quarantining it");
            self.submit(&FleetCommand::Quarantine(record), CommandOrigin::Quarantine(print));
        }
    }

    /// Lifts the quarantine of a request on behalf of an operator.
    pub(super) fn lift_quarantine(&mut self, fingerprint: RequestFingerprint, reply: ReplySender) {
        if !self.is_established() {
            return self.redirect(reply);
        }
        self.submit(&FleetCommand::LiftQuarantine(fingerprint), CommandOrigin::Caller(reply));
    }

    /// Removes expired crash records, and lifts expired quarantines.
    pub(super) fn expire_quarantine(&mut self, now: TimePoint) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return;
        };
        for fingerprint in leadership.quarantine.keep(now, self.state.quarantine()) {
            let origin = CommandOrigin::Quarantine(fingerprint);
            self.submit(&FleetCommand::LiftQuarantine(fingerprint), origin);
        }
    }

    /// Creates a new quarantine view if the quarantine has changed.
    pub(super) fn refresh_quarantine_view(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.quarantine.is_view_stale() {
            return;
        }
        let view = leadership.quarantine.refresh(leadership.term, self.state.quarantine());
        let metrics = &self.parts.metrics;
        let count = |requests: usize| i64::try_from(requests).unwrap_or(i64::MAX);
        metrics.quarantined.set(count(view.quarantined.len()));
        metrics.suspects.set(count(view.suspects.len()));
    }
}

/// Whether a reported crash is in fact the planned stop of a leaving endpoint.
fn is_planned_leave(state: &FleetState, end: &RunEnd) -> bool {
    matches!(end, RunEnd::Crashed { endpoint, .. } if state.is_leaving(endpoint))
}
