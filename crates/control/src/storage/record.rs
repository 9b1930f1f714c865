//! Log records: a header of fixed size followed by the payload.
//!
//! Header fields, in bytes: payload length (4), checksum of all other header fields and the
//! payload (4), index (8), term (8), sync number (8), remaining records of that sync (4). All
//! integers are little endian.

use briartray_model::codec;
use briartray_model::names::{LogIndex, NodeName, TermNumber};

use crate::agreement::{EntryPayload, LogEntry};

/// Size of the record header, in bytes.
pub(super) const HEADER_BYTES: usize = 36;

/// Maximum payload size that is accepted when reading, in bytes.
const MAX_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

/// Position of a record within its sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct SyncMark {
    /// Sync number, increasing by one with each sync.
    pub(super) number: u64,
    /// Number of records that follow in the same sync.
    pub(super) remaining: u32,
}

/// A decoded record.
#[derive(Debug)]
pub(super) struct ReadRecord {
    pub(super) entry: LogEntry,
    pub(super) mark: SyncMark,
    pub(super) size: usize,
}

/// Appends the record of `entry` to `bytes`.
pub(super) fn write_record(bytes: &mut Vec<u8>, entry: &LogEntry, mark: SyncMark) {
    let payload = encode_payload(&entry.payload);
    let start = bytes.len();
    bytes.extend_from_slice(&u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes());
    bytes.extend_from_slice(&[0; 4]);
    bytes.extend_from_slice(&entry.index.0.to_le_bytes());
    bytes.extend_from_slice(&entry.term.0.to_le_bytes());
    bytes.extend_from_slice(&mark.number.to_le_bytes());
    bytes.extend_from_slice(&mark.remaining.to_le_bytes());
    bytes.extend_from_slice(&payload);
    let checksum = checksum(&bytes[start..]);
    bytes[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
}

/// Reads the record at the start of `bytes`; `None` if it is incomplete or invalid.
pub(super) fn read_record(bytes: &[u8]) -> Option<ReadRecord> {
    let length = usize::try_from(read_uint(bytes, 0, 4)?).ok()?;
    let size = HEADER_BYTES.checked_add(length).filter(|_| length <= MAX_PAYLOAD_BYTES)?;
    let record = bytes.get(..size)?;
    if read_uint(record, 4, 4)? != u64::from(checksum(record)) {
        return None;
    }
    let payload = decode_payload(&record[HEADER_BYTES..])?;
    let entry = LogEntry {
        index: LogIndex(read_uint(record, 8, 8)?),
        term: TermNumber(read_uint(record, 16, 8)?),
        payload,
    };
    let remaining = u32::try_from(read_uint(record, 32, 4)?).ok()?;
    Some(ReadRecord {
        entry,
        mark: SyncMark { number: read_uint(record, 24, 8)?, remaining },
        size,
    })
}

/// Reads the index field at the start of `bytes` without validating the record.
pub(super) fn peek_index(bytes: &[u8]) -> Option<u64> {
    read_uint(bytes, 8, 8)
}

fn checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[..4]);
    hasher.update(&record[8..]);
    hasher.finalize()
}

fn read_uint(bytes: &[u8], start: usize, width: usize) -> Option<u64> {
    let mut buffer = [0; 8];
    buffer[..width].copy_from_slice(bytes.get(start..start + width)?);
    Some(u64::from_le_bytes(buffer))
}

const KIND_BLANK: u8 = 0;
const KIND_ADMIT: u8 = 1;
const KIND_COMMAND: u8 = 2;
const KIND_DISMISS: u8 = 3;

fn encode_payload(payload: &EntryPayload) -> Vec<u8> {
    match payload {
        EntryPayload::Blank => vec![KIND_BLANK],
        EntryPayload::Admit(seat) => {
            let mut bytes = vec![KIND_ADMIT];
            bytes.extend(codec::encode(seat).expect("a seat can be encoded"));
            bytes
        }
        EntryPayload::Dismiss(node) => {
            let mut bytes = vec![KIND_DISMISS];
            bytes.extend_from_slice(node.as_str().as_bytes());
            bytes
        }
        EntryPayload::Command(command) => {
            let mut bytes = Vec::with_capacity(command.len() + 1);
            bytes.push(KIND_COMMAND);
            bytes.extend_from_slice(command);
            bytes
        }
    }
}

fn decode_payload(bytes: &[u8]) -> Option<EntryPayload> {
    let (kind, rest) = bytes.split_first()?;
    match *kind {
        KIND_BLANK => Some(EntryPayload::Blank),
        KIND_ADMIT => codec::decode(rest).ok().map(EntryPayload::Admit),
        KIND_DISMISS => {
            let name = std::str::from_utf8(rest).ok()?;
            Some(EntryPayload::Dismiss(NodeName::new(name)))
        }
        KIND_COMMAND => Some(EntryPayload::Command(rest.to_vec())),
        _ => None,
    }
}
