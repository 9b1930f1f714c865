//! The quarantine as known to an entry.

use briartray_model::message::{FingerprintView, ViewVersion};
use briartray_model::names::RequestFingerprint;

/// Status of a request with regard to the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// There is no evidence against the request.
    Clear,
    /// The request was involved in several crashes. It is not sent to a second endpoint, and its
    /// complete runs are reported.
    Suspect,
    /// The request is refused.
    Quarantined,
}

/// Most recent view of the quarantine at one entry.
#[derive(Debug, Clone, Default)]
pub struct QuarantineGuard {
    view: FingerprintView,
}

impl QuarantineGuard {
    /// Replaces the view; returns the requests that are no longer in quarantine.
    pub fn adopt(&mut self, view: FingerprintView) -> Vec<RequestFingerprint> {
        let stays = |fingerprint: &&RequestFingerprint| {
            view.quarantined.binary_search(fingerprint).is_err()
        };
        let lifted = self.view.quarantined.iter().filter(stays).copied().collect();
        self.view = view;
        lifted
    }

    /// Version of the current view.
    pub fn version(&self) -> ViewVersion {
        self.view.version
    }

    /// Whether any request is suspected or in quarantine, so that requests must be checked.
    pub fn is_watching(&self) -> bool {
        !self.view.quarantined.is_empty() || !self.view.suspects.is_empty()
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
