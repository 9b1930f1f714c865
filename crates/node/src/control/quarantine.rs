//! The leader's part in keeping requests that crash endpoints away from them.

use briartray_control::state::ControlCommand;
use briartray_model::TimePoint;
use briartray_model::message::{PrintView, WatchRequest};
use briartray_quarantine::QuarantineRecord;
use serde_json::{Value, json};

use super::core::ControlCore;
use super::origin::ProposalOrigin;

impl ControlCore {
    /// Takes the runs that a renewal reports, and tells what its entry lacks of the quarantine.
    pub(super) fn take_runs(
        &mut self,
        now: TimePoint,
        request: &WatchRequest,
    ) -> Option<PrintView> {
        for event in &request.runs {
            self.quarantine.take(now, event, &self.state.quarantine);
        }
        for record in self.quarantine.take_fatal() {
            let (print, crashes) = (record.print, record.endpoints.len());
            log::warn!(print:%, rule = record.rule; "a request crashed {crashes} endpoints");
            self.submit(&ControlCommand::Quarantine(record), ProposalOrigin::Quarantine(print));
        }
        let term = self.leadership.as_ref()?.term;
        let view = self.quarantine.refresh(term, &self.state.quarantine);
        (view.version != request.prints).then(|| view.clone())
    }

    /// Forgets crashes that count no more, and lets out what was in quarantine for long.
    pub(super) fn keep_quarantine(&mut self, now: TimePoint) {
        for print in self.quarantine.keep(now, &self.state.quarantine) {
            let origin = ProposalOrigin::Quarantine(print);
            self.submit(&ControlCommand::LiftQuarantine { print }, origin);
        }
    }

    /// The requests in quarantine, the oldest first.
    pub(super) fn show_quarantine(&self) -> Value {
        let records = self.state.quarantine.records();
        json!(records.iter().map(QuarantineRecord::shown).collect::<Vec<_>>())
    }
}
