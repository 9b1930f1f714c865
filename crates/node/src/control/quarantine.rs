//! How the leader quarantines requests that crash endpoints.

use briartray_control::state::ControlCommand;
use briartray_model::TimePoint;
use briartray_model::message::{FingerprintView, WatchRequest};
use briartray_quarantine::QuarantineRecord;
use serde_json::{Value, json};

use super::core::ControlCore;
use super::origin::ProposalOrigin;

impl ControlCore {
    /// Processes the run events of a renewal. Returns the quarantined fingerprints if the entry's
    /// copy is outdated.
    pub(super) fn process_run_events(
        &mut self,
        now: TimePoint,
        request: &WatchRequest,
    ) -> Option<FingerprintView> {
        for event in &request.runs {
            self.quarantine.take(now, event, &self.state.quarantine);
        }
        for record in self.quarantine.take_fatal() {
            let (print, crashes) = (record.print, record.endpoints.len());
            log::warn!(
                print:%, rule = record.rule;
                "a request crashed {crashes} endpoints; quarantining its fingerprint"
            );
            self.submit(&ControlCommand::Quarantine(record), ProposalOrigin::Quarantine(print));
        }
        let term = self.leadership.as_ref()?.term;
        let view = self.quarantine.refresh(term, &self.state.quarantine);
        (view.version != request.prints).then(|| view.clone())
    }

    /// Drops crashes that no longer count, and proposes to lift quarantines that have expired.
    pub(super) fn expire_quarantine(&mut self, now: TimePoint) {
        for print in self.quarantine.keep(now, &self.state.quarantine) {
            let origin = ProposalOrigin::Quarantine(print);
            self.submit(&ControlCommand::LiftQuarantine { print }, origin);
        }
    }

    /// The requests in quarantine, oldest first, for operators.
    pub(super) fn quarantine_json(&self) -> Value {
        let records = self.state.quarantine.records();
        json!(records.iter().map(QuarantineRecord::shown).collect::<Vec<_>>())
    }
}
