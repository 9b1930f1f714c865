//! Who waits for the outcome of a consensus operation, and why the control thread may have to
//! restart.

use briartray_fleet::message::EntryReport;
use briartray_link::LinkWriter;
use briartray_model::names::{PartId, RequestFingerprint};

use super::input::ReplySender;

/// Reason why the control thread cannot continue with its current state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CoreFailure {
    /// A write or sync failed, so the contents of the disk are unknown.
    Disk,
    /// A command or snapshot of the replicated log cannot be decoded.
    State,
}

/// Who waits for the outcome of a command.
pub(super) enum CommandOrigin {
    /// An operator or endpoint.
    Caller(ReplySender),
    /// The director.
    Director,
    /// The leader's quarantine tracker, about the request with this fingerprint.
    Quarantine(RequestFingerprint),
    /// The leader's quarantine tracker, about this prompt part.
    PartQuarantine(PartId),
}

/// Who waits for a confirmation that this host leads.
pub(super) enum ReadOrigin {
    /// An operator that requests the deployment plan in force.
    Plan(ReplySender),
    /// An operator whose deployment plan is in force or superseded.
    Superseded(ReplySender),
    /// An operator that requests the quarantined requests.
    Quarantine(ReplySender),
    /// An operator that requests the evacuated zones.
    Evacuated(ReplySender),
    /// An entry that requests updates and a lease renewal.
    Entry(Box<EntryReport>, LinkWriter),
}
