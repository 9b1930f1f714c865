//! The quarantine as known to an entry.

use briartray_model::message::{FingerprintView, ViewVersion};
use briartray_model::names::{PartId, RequestFingerprint};

/// Status of a request with regard to the quarantine, in ascending order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuarantineStatus {
    /// There is no evidence against the request.
    Clear,
    /// The request, or a part of its prompt, was involved in several crashes. It is not sent to a
    /// second endpoint, and its complete runs are reported.
    Suspect,
    /// The request is refused.
    Quarantined,
}

/// What a new view of the quarantine no longer lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LiftedView {
    /// Requests that are no longer in quarantine.
    pub requests: Vec<RequestFingerprint>,
    /// Prompt parts that are no longer in quarantine.
    pub parts: Vec<PartId>,
}

/// Most recent view of the quarantine at one entry.
#[derive(Debug, Clone, Default)]
pub struct QuarantineGuard {
    view: FingerprintView,
}

impl QuarantineGuard {
    /// Replaces the view; returns what is no longer in quarantine.
    pub fn adopt(&mut self, view: FingerprintView) -> LiftedView {
        let lifted = LiftedView {
            requests: missing_in(&self.view.quarantined, &view.quarantined),
            parts: missing_in(&self.view.quarantined_parts, &view.quarantined_parts),
        };
        self.view = view;
        lifted
    }

    /// Version of the current view.
    pub fn version(&self) -> ViewVersion {
        self.view.version
    }

    /// Whether any request is suspected or in quarantine, so that fingerprints must be checked.
    pub fn is_watching(&self) -> bool {
        !self.view.quarantined.is_empty() || !self.view.suspects.is_empty()
    }

    /// The suspected prompt parts, in ascending order.
    pub fn suspected_parts(&self) -> &[PartId] {
        &self.view.suspected_parts
    }

    /// Status of a request whose prompt has `parts`, without regard to its fingerprint.
    pub fn parts_status(&self, parts: &[PartId]) -> QuarantineStatus {
        let lists = |list: &[PartId]| parts.iter().any(|part| list.binary_search(part).is_ok());
        if lists(&self.view.quarantined_parts) {
            QuarantineStatus::Quarantined
        } else if lists(&self.view.suspected_parts) {
            QuarantineStatus::Suspect
        } else {
            QuarantineStatus::Clear
        }
    }

    /// Status of the request with this fingerprint.
    pub fn status(&self, fingerprint: RequestFingerprint) -> QuarantineStatus {
        if self.view.quarantined.binary_search(&fingerprint).is_ok() {
            QuarantineStatus::Quarantined
        } else if self.view.suspects.binary_search(&fingerprint).is_ok() {
            QuarantineStatus::Suspect
        } else {
            QuarantineStatus::Clear
        }
    }
}

/// Those of `before` that the sorted list `after` does not have.
fn missing_in<K: Copy + Ord>(before: &[K], after: &[K]) -> Vec<K> {
    before.iter().filter(|key| after.binary_search(key).is_err()).copied().collect()
}
