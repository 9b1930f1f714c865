//! Who waits for what the agreement decides, and why the control thread may have to begin again.

use briartray_fleet::message::EntryReport;
use briartray_link::LinkWriter;
use briartray_model::names::RequestFingerprint;

use super::input::ReplySender;

/// Why a control thread cannot go on as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CoreFailure {
    /// A write or sync failed, and what the disk holds is not known.
    Disk,
    /// What was agreed on does not read.
    State,
}

/// Who waits for a command.
pub(super) enum CommandOrigin {
    /// An operator or endpoint.
    Caller(ReplySender),
    /// The director.
    Director,
    /// The leader, about a request in quarantine.
    Quarantine(RequestFingerprint),
}

/// Who waits for a confirmation that this host leads.
pub(super) enum ReadOrigin {
    /// An operator who asks for the declaration in force.
    Plan(ReplySender),
    /// An operator whose declaration is in force or overtaken.
    Overtaken(ReplySender),
    /// An operator who asks for the requests in quarantine.
    Quarantine(ReplySender),
    /// An operator who asks for the evacuated zones.
    Evacuated(ReplySender),
    /// An entry that asks for news and a lease.
    Entry(Box<EntryReport>, LinkWriter),
}
