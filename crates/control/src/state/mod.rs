//! The replicated state: six aggregates, changed only by applying commands in log order.
//!
//! Applying is deterministic: no clocks, no randomness, no input or output.

mod changes;
mod command;
mod entries;
mod groups;
mod ledger;
mod rules;
mod stops;

pub use changes::MAX_ACCEPTED;
pub use command::{CommandOutcome, ControlCommand, GroupProposal};
pub use entries::EntryRoster;
pub use groups::{GroupRegistry, HostSeat, RegisteredGroup};
pub use ledger::{ClaimLedger, MAX_ANSWER_BYTES, MAX_CLAIMS};
pub use rules::{AcceptedRules, RuleShelf};
pub use stops::{HostPlace, MAX_STOPS, StopBook, StopPlan, StopTarget};

use briartray_model::codec::{self, CodecError};
use briartray_quarantine::QuarantineList;
use serde::{Deserialize, Serialize};

/// Everything that control hosts agree on.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ControlState {
    /// The rule book and its history of changes.
    pub rules: RuleShelf,
    /// Groups, hosts and fencing numbers.
    pub groups: GroupRegistry,
    /// Entries that may hold a rules lease.
    pub entries: EntryRoster,
    /// Planned stops.
    pub stops: StopBook,
    /// Calls that may not be repeated.
    pub ledger: ClaimLedger,
    /// Requests that are refused since they crash endpoints.
    pub quarantine: QuarantineList,
}

impl ControlState {
    /// Encodes the whole state for a snapshot.
    ///
    /// # Errors
    /// `CodecError::Encode` when a part has no encoding.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode(self)
    }

    /// Decodes a snapshot, whose checksum was checked when it was read; it may be larger than a
    /// message.
    ///
    /// # Errors
    /// `CodecError::Decode` when the snapshot is of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
        decoded.map(|(state, _)| state).map_err(|source| CodecError::Decode { source })
    }

    /// Applies one committed command.
    pub fn apply(&mut self, command: &ControlCommand) -> CommandOutcome {
        match command {
            ControlCommand::ApplyRules { change, expect, text } => {
                self.rules.apply(*change, *expect, text)
            }
            ControlCommand::FormGroup(proposal) => self.groups.form(proposal),
            ControlCommand::DissolveGroup { group } => self.groups.dissolve(*group),
            ControlCommand::RegisterEntry { node, terms } => self.entries.register(node, *terms),
            ControlCommand::ForgetEntry { node } => self.entries.forget(node),
            ControlCommand::ReplaceGroup { group, proposal } => {
                self.groups.replace(*group, proposal)
            }
            ControlCommand::Ledger(request) => CommandOutcome::Ledger(self.ledger.apply(request)),
            ControlCommand::ForgetClaims { keep } => {
                CommandOutcome::ClaimsForgotten { count: self.ledger.forget(*keep) }
            }
            ControlCommand::PlanStop { expect, plan } => self.stops.plan(*expect, plan),
            ControlCommand::BeginLeave { group } => {
                let groups = &self.groups;
                self.stops.begin(*group, |known| groups.group(known).is_some())
            }
            ControlCommand::CancelStop { stop } => self.stops.cancel(*stop),
            ControlCommand::Quarantine(record) => {
                self.quarantine.add(record);
                CommandOutcome::Quarantined { print: record.print }
            }
            ControlCommand::LiftQuarantine { print } => {
                self.quarantine.lift(*print);
                CommandOutcome::QuarantineLifted { print: *print }
            }
        }
    }
}
