//! The replicated state machine: six aggregates, changed only by commands applied in log order.
//!
//! Commands are applied deterministically: without clocks, randomness or I/O.

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
pub use groups::{GroupRegistry, HostBinding, RegisteredGroup};
pub use ledger::{ClaimLedger, MAX_ANSWER_BYTES, MAX_CLAIMS};
pub use rules::{AcceptedRules, RuleStore};
pub use stops::{HostPlace, MAX_STOPS, StopBook, StopPlan, StopTarget};

use briartray_model::codec::{self, CodecError};
use briartray_quarantine::QuarantineList;
use serde::{Deserialize, Serialize};

/// Encoding of a list without elements.
const EMPTY_LIST: [u8; 1] = [0];

/// The replicated state of the control hosts.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ControlState {
    /// The rule document in force and the outcomes of rule changes.
    pub rules: RuleStore,
    /// Groups, host bindings and fencing numbers.
    pub groups: GroupRegistry,
    /// Entries that may hold a rules lease.
    pub entries: EntryRoster,
    /// Planned stops.
    pub stops: StopBook,
    /// Claims of calls that must run at most once.
    pub ledger: ClaimLedger,
    /// Requests and prompt parts that are rejected because they crash endpoints. It is the last
    /// field, and its parts come last: see [`ControlState::decode`].
    pub quarantine: QuarantineList,
}

impl ControlState {
    /// Encodes the whole state for a snapshot.
    ///
    /// # Errors
    /// Returns `CodecError::Encode` if a part cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode(self)
    }

    /// Decodes a snapshot of this or an earlier build. Earlier ones end before the list of
    /// quarantined prompt parts, so an empty list is appended to them.
    ///
    /// There is no size limit as for messages; the checksum has already been
    /// verified when the snapshot was read.
    ///
    /// # Errors
    /// Returns `CodecError::Decode` if the bytes do not match the current state format.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let decode = |bytes: &[u8]| {
            let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
            decoded.map(|(state, _)| state).map_err(|source| CodecError::Decode { source })
        };
        decode(bytes).or_else(|_| decode(&[bytes, &EMPTY_LIST].concat()))
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
            ControlCommand::QuarantinePart(record) => {
                self.quarantine.add_part(record);
                CommandOutcome::PartQuarantined { record: record.clone() }
            }
            ControlCommand::LiftPart { part } => {
                self.quarantine.lift_part(*part);
                CommandOutcome::PartLifted { part: *part }
            }
        }
    }
}
