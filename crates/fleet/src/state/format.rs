//! Encoding of the replicated state in snapshots.
//!
//! Snapshots outlive the build that wrote them. They begin with bytes that name the format, so that
//! a later build reads older snapshots, and an older build rejects newer ones without changing
//! them. Snapshots without these bytes have the first format, which begins with the tag of an
//! optional value: zero or one. Commands in the log need no format number, since new variants are
//! only added at the end of [`FleetCommand`](super::FleetCommand).

use briartray_model::codec::{self, CodecError};
use briartray_model::names::{GroupId, IncarnationId, ZoneName};
use briartray_model::{SortedTable, plain_value};
use briartray_quarantine::{QuarantineList, QuarantineRecord};
use snafu::{ResultExt, Snafu};

use super::{EndpointRecord, FleetState, GroupRecord, StoredPlan};

/// Format number that this build writes.
pub const STATE_FORMAT: u8 = 3;

/// Format number whose quarantine has no prompt parts.
const FORMAT_WITHOUT_PARTS: u8 = 2;

/// First byte of a snapshot that names its format.
const FORMAT_MAGIC_BYTE: u8 = 0xB7;

/// Reason why a snapshot cannot be decoded.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// A later build wrote the snapshot.
    #[snafu(display(
        "the stored state has format {format}, but this build reads formats up to {STATE_FORMAT}; \
         start a build that is at least as new as the one that wrote it"
    ))]
    Newer {
        /// Format number of the snapshot.
        format: u8,
    },
    /// The bytes are damaged or truncated.
    #[snafu(display(
        "the stored state cannot be decoded: {source}; move the data folder aside, and the other \
         control hosts replicate the state to an empty one"
    ))]
    Unreadable {
        /// Error of the decoder.
        source: CodecError,
    },
}

plain_value! {
    /// The state in the first format, which has no evacuated zones.
    struct FormatOneState {
        plan: Option<StoredPlan>,
        last_epoch: u64,
        groups: SortedTable<GroupId, GroupRecord>,
        leaving: Vec<IncarnationId>,
        endpoints: SortedTable<IncarnationId, EndpointRecord>,
        quarantine: Vec<QuarantineRecord>,
    }

    /// The state in the second format, whose quarantine has no prompt parts.
    struct FormatTwoState {
        base: FormatOneState,
        evacuated: Vec<ZoneName>,
    }
}

impl FormatOneState {
    fn upgrade(self) -> FleetState {
        FormatTwoState { base: self, evacuated: Vec::new() }.upgrade()
    }
}

impl FormatTwoState {
    fn upgrade(self) -> FleetState {
        let Self { base, evacuated } = self;
        let FormatOneState { plan, last_epoch, groups, leaving, endpoints, quarantine } = base;
        let quarantine = QuarantineList::of_requests(quarantine);
        FleetState { plan, last_epoch, groups, leaving, endpoints, quarantine, evacuated }
    }
}

/// Encodes `state` in the newest format.
///
/// # Errors
/// A `CodecError` if a value cannot be encoded.
pub fn encode_state(state: &FleetState) -> Result<Vec<u8>, CodecError> {
    let mut bytes = vec![FORMAT_MAGIC_BYTE, STATE_FORMAT];
    bytes.extend(codec::encode(state)?);
    Ok(bytes)
}

/// Decodes a snapshot that this or an earlier build wrote.
///
/// # Errors
/// A `StateError` that distinguishes a newer format from damaged bytes.
pub fn decode_state(bytes: &[u8]) -> Result<FleetState, StateError> {
    match bytes {
        [FORMAT_MAGIC_BYTE, STATE_FORMAT, state @ ..] => {
            codec::decode(state).context(UnreadableSnafu)
        }
        [FORMAT_MAGIC_BYTE, FORMAT_WITHOUT_PARTS, state @ ..] => {
            codec::decode(state).map(FormatTwoState::upgrade).context(UnreadableSnafu)
        }
        [FORMAT_MAGIC_BYTE, format, ..] if *format > STATE_FORMAT => {
            NewerSnafu { format: *format }.fail()
        }
        first => codec::decode(first).map(FormatOneState::upgrade).context(UnreadableSnafu),
    }
}
