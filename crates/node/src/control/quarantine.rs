//! How the leader quarantines requests and prompt parts that crash endpoints.

use briartray_control::state::ControlCommand;
use briartray_model::TimePoint;
use briartray_model::message::{FingerprintView, WatchRequest};
use briartray_model::names::{PartId, RequestFingerprint};
use crossbeam::channel::Sender;
use serde_json::{Value, json};

use super::core::ControlCore;
use super::origin::{ProposalAnswer, ProposalOrigin};

impl ControlCore {
    /// Processes the run events of a renewal. Returns the quarantined fingerprints if the entry's
    /// copy is outdated.
    pub(super) fn process_run_events(
        &mut self,
        now: TimePoint,
        request: &WatchRequest,
    ) -> Option<FingerprintView> {
        for completion in &request.whole_parts {
            self.quarantine.take_completion(now, completion);
        }
        for event in &request.runs {
            self.quarantine.take(now, event, &self.state.quarantine);
        }
        self.quarantine_fatal(now);
        let term = self.leadership.as_ref()?.term;
        let view = self.quarantine.refresh(term, &self.state.quarantine);
        (view.version != request.prints).then(|| view.clone())
    }

    /// Proposes to quarantine what the evidence is sufficient for.
    fn quarantine_fatal(&mut self, now: TimePoint) {
        let parts = self.quarantine.take_fatal_parts(now);
        let requests = self.quarantine.take_fatal(now);
        for record in parts {
            let (part, crashes) = (record.part, record.endpoints.len());
            log::warn!(
                part:%, rule = record.rule;
                "requests with a prompt part crashed {crashes} endpoints; quarantining the part"
            );
            let origin = ProposalOrigin::PartQuarantine(part);
            self.submit(&ControlCommand::QuarantinePart(record), origin);
        }
        for record in requests {
            let (print, crashes) = (record.print, record.endpoints.len());
            log::warn!(
                print:%, rule = record.rule;
                "a request crashed {crashes} endpoints; quarantining its fingerprint"
            );
            self.submit(&ControlCommand::Quarantine(record), ProposalOrigin::Quarantine(print));
        }
    }

    /// Drops crashes that no longer count, quarantines what has been suspected for long enough, and
    /// proposes to lift quarantines that have expired.
    pub(super) fn update_quarantine(&mut self, now: TimePoint) {
        self.quarantine_fatal(now);
        for print in self.quarantine.keep(now, &self.state.quarantine) {
            let origin = ProposalOrigin::Quarantine(print);
            self.submit(&ControlCommand::LiftQuarantine { print }, origin);
        }
        for part in self.quarantine.keep_parts(now, &self.state.quarantine) {
            let origin = ProposalOrigin::PartQuarantine(part);
            self.submit(&ControlCommand::LiftPart { part }, origin);
        }
    }

    /// Lifts the quarantine of a request, or of the prompt part with that id, on behalf of an
    /// operator.
    pub(super) fn lift_quarantine(
        &mut self,
        print: RequestFingerprint,
        reply: Sender<ProposalAnswer>,
    ) {
        let part = PartId(print.0);
        let command = match self.state.quarantine.holds_part(part) {
            true => ControlCommand::LiftPart { part },
            false => ControlCommand::LiftQuarantine { print },
        };
        self.submit(&command, ProposalOrigin::Operator(reply));
    }

    /// The requests and prompt parts in quarantine, for operators.
    pub(super) fn quarantine_json(&self) -> Value {
        json!(self.state.quarantine.shown())
    }
}
