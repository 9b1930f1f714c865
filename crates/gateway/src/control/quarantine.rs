//! The leader's quarantine of requests and prompt parts that crash endpoints.

use briartray_fleet::message::EntryReport;
use briartray_fleet::state::{FleetCommand, FleetState};
use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::{PartId, RequestFingerprint};

use super::core::ControlCore;
use super::input::{ControlReply, ReplySender};
use super::origin::CommandOrigin;

impl ControlCore {
    /// Records the runs listed in an entry's report.
    pub(super) fn record_runs(&mut self, now: TimePoint, report: &EntryReport) {
        let Some(leadership) = &mut self.leadership else { return };
        let state = &self.state;
        for completion in &report.whole_parts {
            leadership.quarantine.take_completion(now, completion);
        }
        for event in report.runs.iter().filter(|event| !is_planned_leave(state, &event.end)) {
            leadership.quarantine.take(now, event, state.quarantine());
        }
        leadership.view_dirty |= leadership.quarantine.is_view_stale();
        self.quarantine_fatal(now);
    }

    /// Proposes to quarantine what the evidence is sufficient for.
    fn quarantine_fatal(&mut self, now: TimePoint) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return;
        };
        let parts = leadership.quarantine.take_fatal_parts(now);
        let requests = leadership.quarantine.take_fatal(now);
        for record in parts {
            let (part, crashes) = (record.part, record.endpoints.len());
            log::warn!(part:%, rule = record.rule;
                "requests with a prompt part crashed {crashes} endpoints; quarantining the part");
            self.submit(&FleetCommand::QuarantinePart(record), CommandOrigin::PartQuarantine(part));
        }
        for record in requests {
            let (print, crashes) = (record.print, record.endpoints.len());
            log::warn!(print:%, rule = record.rule;
                "request crashed {crashes} endpoints; quarantining it");
            self.submit(&FleetCommand::Quarantine(record), CommandOrigin::Quarantine(print));
        }
    }

    /// Lifts the quarantine of a request, or of the prompt part with that id, on behalf of an
    /// operator.
    pub(super) fn lift_quarantine(
        &mut self,
        now: TimePoint,
        fingerprint: RequestFingerprint,
        reply: ReplySender,
    ) {
        if !self.is_established() {
            return self.redirect(reply);
        }
        if !self.has_voters(now) {
            let _ = reply.send(ControlReply::Unavailable);
            return;
        }
        let part = PartId(fingerprint.0);
        let command = match self.state.quarantine().holds_part(part) {
            true => FleetCommand::LiftPart(part),
            false => FleetCommand::LiftQuarantine(fingerprint),
        };
        self.submit(&command, CommandOrigin::Caller(reply));
    }

    /// Removes expired crash records, quarantines what has been suspected for long enough, and lifts
    /// expired quarantines.
    pub(super) fn update_quarantine(&mut self, now: TimePoint) {
        self.quarantine_fatal(now);
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return;
        };
        for fingerprint in leadership.quarantine.keep(now, self.state.quarantine()) {
            let origin = CommandOrigin::Quarantine(fingerprint);
            self.submit(&FleetCommand::LiftQuarantine(fingerprint), origin);
        }
        let Some(leadership) = &mut self.leadership else { return };
        for part in leadership.quarantine.keep_parts(now, self.state.quarantine()) {
            self.submit(&FleetCommand::LiftPart(part), CommandOrigin::PartQuarantine(part));
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
        metrics.quarantined_parts.set(count(view.quarantined_parts.len()));
        metrics.suspected_parts.set(count(view.suspected_parts.len()));
    }
}

/// Whether a reported crash is in fact the planned stop of a leaving endpoint.
fn is_planned_leave(state: &FleetState, end: &RunEnd) -> bool {
    matches!(end, RunEnd::Crashed { endpoint, .. } if state.is_leaving(endpoint))
}
