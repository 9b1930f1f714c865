//! What an entry knows of the quarantine.

use briartray_model::message::{PrintView, ViewVersion};
use briartray_model::names::RequestPrint;

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrintStanding {
    /// Nothing speaks against it.
    Clear,
    /// It was at several crashes: it is not sent to a second endpoint, and a whole run of it is reported.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// The newest view of the quarantine at one entry.
#[derive(Debug, Clone, Default)]
pub struct PrintGuard {
    view: PrintView,
}

impl PrintGuard {
    /// Takes a newer view; tells which requests are no longer in quarantine.
    pub fn adopt(&mut self, view: PrintView) -> Vec<RequestPrint> {
        let stays = |print: &&RequestPrint| view.quarantined.binary_search(print).is_err();
        let lifted = self.view.quarantined.iter().filter(stays).copied().collect();
        self.view = view;
        lifted
    }

    /// Which view this is.
    pub fn version(&self) -> ViewVersion {
        self.view.version
    }

    /// Whether any request has to be looked at.
    pub fn is_watching(&self) -> bool {
        !self.view.quarantined.is_empty() || !self.view.suspects.is_empty()
    }

    /// How a request stands.
    pub fn standing(&self, print: RequestPrint) -> PrintStanding {
        if self.view.quarantined.binary_search(&print).is_ok() {
            PrintStanding::Quarantined
        } else if self.view.suspects.binary_search(&print).is_ok() {
            PrintStanding::Suspect
        } else {
            PrintStanding::Clear
        }
    }
}
