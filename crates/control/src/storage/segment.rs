//! Log files (segments) and their scan at start.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use briartray_model::names::LogIndex;
use snafu::ResultExt;

use super::checked_file::read_file;
use super::error::{DamagedSnafu, StorageError, SystemSnafu};
use super::record::{HEADER_BYTES, ReadRecord, SyncMark, peek_index, read_record};
use crate::agreement::LogEntry;

const NAME_PREFIX: &str = "log-";

/// Maximum index distance between damage and a later record that proves it had been synced.
const MAX_GAP_ENTRIES: u64 = 1_000_000;

/// One log file; its name contains the index of its first entry and its first sync number.
#[derive(Debug)]
pub(super) struct LogSegment {
    pub(super) path: PathBuf,
    pub(super) first: LogIndex,
    /// Number of its first sync.
    pub(super) first_sync: u64,
    /// Byte offset of each record, in entry order.
    pub(super) record_offsets: Vec<u64>,
    pub(super) size: u64,
}

impl LogSegment {
    pub(super) fn end(&self) -> LogIndex {
        LogIndex(self.first.0 + self.record_offsets.len() as u64)
    }

    pub(super) fn open(&self) -> Result<File, StorageError> {
        OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.path)
            .context(SystemSnafu { path: &self.path, action: "open" })
    }
}

/// Result of reading one log file.
#[derive(Debug)]
pub(super) struct SegmentScan {
    pub(super) segment: LogSegment,
    pub(super) entries: Vec<LogEntry>,
    pub(super) mark: SyncMark,
    /// Bytes after the last complete record, torn by a crash before they were synced.
    pub(super) torn_bytes: u64,
}

/// The log files in `folder`, oldest first.
pub(super) fn list(folder: &Path) -> Result<Vec<LogSegment>, StorageError> {
    let context = SystemSnafu { path: folder, action: "list" };
    let mut found = Vec::new();
    for item in std::fs::read_dir(folder).context(context)? {
        let path = item.context(SystemSnafu { path: folder, action: "list" })?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if let Some((first, first_sync)) = parse_name(name) {
            found.push(LogSegment { path, first, first_sync, record_offsets: Vec::new(), size: 0 });
        }
    }
    found.sort_by_key(|segment| (segment.first, segment.first_sync));
    Ok(found)
}

fn parse_name(name: &str) -> Option<(LogIndex, u64)> {
    let (first, sync) = name.strip_prefix(NAME_PREFIX)?.split_once('-')?;
    Some((LogIndex(first.parse().ok()?), sync.parse().ok()?))
}

/// Path of the file whose first entry is `first`, written by the sync with number `first_sync`.
pub(super) fn path_of(folder: &Path, first: LogIndex, first_sync: u64) -> PathBuf {
    folder.join(format!("{NAME_PREFIX}{:020}-{first_sync:020}", first.0))
}

/// Reads the log file of `segment`.
///
/// # Errors
/// Returns `StorageError::Damaged` if a record that had been synced cannot be read.
pub(super) fn scan(mut segment: LogSegment) -> Result<SegmentScan, StorageError> {
    let path = &segment.path;
    let bytes = read_file(path)?.unwrap_or_default();
    let mut entries = Vec::new();
    let mut mark = SyncMark { number: segment.first_sync.saturating_sub(1), remaining: 0 };
    let mut offset = 0;
    let mut next = segment.first;
    while let Some(record) = read_record(&bytes[offset..]) {
        if record.entry.index != next {
            let detail =
                format!("found entry {} where entry {next} was expected", record.entry.index);
            return DamagedSnafu { path, offset: offset as u64, detail }.fail();
        }
        segment.record_offsets.push(offset as u64);
        offset += record.size;
        next = next.next();
        mark = record.mark;
        entries.push(record.entry);
    }
    let torn_bytes = (bytes.len() - offset) as u64;
    if torn_bytes > 0 && was_synced(&bytes[offset..], mark, next) {
        let detail = format!("entry {next} cannot be read, but later entries can");
        return DamagedSnafu { path, offset: offset as u64, detail }.fail();
    }
    segment.size = offset as u64;
    Ok(SegmentScan { segment, entries, mark, torn_bytes })
}

/// Whether the unreadable record at the start of `bytes` had been synced.
///
/// A sync starts only after the previous one has completed. A record of a later sync after the
/// damage therefore proves that the damaged record had been synced and possibly acknowledged, so it
/// must not be removed. A torn tail contains only records of a single sync.
fn was_synced(bytes: &[u8], last: SyncMark, next: LogIndex) -> bool {
    let damaged_sync = if last.remaining > 0 { last.number } else { last.number + 1 };
    (1..bytes.len().saturating_sub(HEADER_BYTES))
        .filter_map(|offset| later_record(&bytes[offset..], next))
        .any(|record| record.mark.number > damaged_sync)
}

fn later_record(bytes: &[u8], next: LogIndex) -> Option<ReadRecord> {
    let index = peek_index(bytes)?;
    if index <= next.0 || index - next.0 > MAX_GAP_ENTRIES {
        return None;
    }
    read_record(bytes)
}
