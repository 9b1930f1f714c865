//! The entry's side of the quarantine: which requests are refused, and which completed runs are
//! reported to the leader.

use std::time::Duration;

use briartray_model::message::FingerprintView;
use briartray_model::names::{PartId, RequestFingerprint};
use briartray_quarantine::{FingerprintParts, QuarantineStatus};

use super::state::EntryState;

/// Minimum interval between two reports only about completed runs of the same suspected prompt
/// part.
const COMPLETION_REPORT_INTERVAL: Duration = Duration::from_millis(100);

impl EntryState {
    /// Adopts a view of the quarantine. Returns whether this entry knows completed runs of new
    /// suspects, for which the leader waits before it decides.
    pub(super) fn adopt_quarantine(&self, view: FingerprintView) -> bool {
        let (quarantined, suspects) = (view.quarantined.len(), view.suspects.len());
        let (parts, suspected_parts) = (view.quarantined_parts.len(), view.suspected_parts.len());
        log::info!(quarantined, suspects, parts, suspected_parts; "quarantine changed");
        let gauge = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.metrics.quarantined.set(gauge(quarantined));
        self.metrics.quarantined_parts.set(gauge(parts));
        let asked = missing_in(self.quarantine_guard.borrow().suspected_parts(), &view);
        let lifted = self.quarantine_guard.borrow_mut().adopt(view);
        let mut log = self.evidence_log.borrow_mut();
        lifted.requests.iter().for_each(|fingerprint| log.forget(*fingerprint));
        lifted.parts.iter().for_each(|part| log.forget_part(*part));
        !self.completed_parts.borrow().completions(self.now(), &asked).is_empty()
    }

    /// Records that a request with these prompt parts ran to completion.
    pub(super) fn record_completed_parts(&self, parts: &[PartId]) {
        let now = self.now();
        let mut completed_parts = self.completed_parts.borrow_mut();
        let guard = self.quarantine_guard.borrow();
        let is_news = |part: &PartId| {
            let age = completed_parts.age(now, *part);
            guard.suspected_parts().binary_search(part).is_ok()
                && age.is_none_or(|age| age >= COMPLETION_REPORT_INTERVAL)
        };
        let is_due = parts.iter().any(is_news);
        completed_parts.record(now, parts);
        drop((completed_parts, guard));
        if is_due {
            self.send_report();
        }
    }

    /// Whether the leader suspects one of `parts`.
    pub(super) fn has_suspected_part(&self, parts: &[PartId]) -> bool {
        self.quarantine_guard.borrow().parts_status(parts) == QuarantineStatus::Suspect
    }

    /// Quarantine status of a request by the parts of its prompt. A suspect whose requests this
    /// entry has seen complete counts as clear.
    pub(super) fn parts_status(&self, parts: &[PartId]) -> QuarantineStatus {
        let status = self.quarantine_guard.borrow().parts_status(parts);
        if status != QuarantineStatus::Suspect {
            return status;
        }
        let (now, completed_parts) = (self.now(), self.completed_parts.borrow());
        let unproven: Vec<PartId> = parts
            .iter()
            .filter(|part| completed_parts.age(now, **part).is_none())
            .copied()
            .collect();
        self.quarantine_guard.borrow().parts_status(&unproven)
    }

    /// Computes the fingerprint of a request from `parts`.
    pub(super) fn fingerprint(&self, parts: &FingerprintParts<'_>) -> RequestFingerprint {
        self.fingerprint_key.fingerprint(parts)
    }

    /// Quarantine status of a request; `compute` returns its fingerprint.
    pub(super) fn status(&self, compute: impl FnOnce() -> RequestFingerprint) -> QuarantineStatus {
        let guard = self.quarantine_guard.borrow();
        // A fingerprint needs a pass over the body, so it is computed only after crashes.
        if guard.is_watching() { guard.status(compute()) } else { QuarantineStatus::Clear }
    }
}

/// The suspected prompt parts of `view` that are not in `known`.
fn missing_in(known: &[PartId], view: &FingerprintView) -> Vec<PartId> {
    let is_new = |part: &&PartId| known.binary_search(part).is_err();
    view.suspected_parts.iter().filter(is_new).copied().collect()
}
