//! The files that hold the log's records.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use briartray_model::names::LogIndex;
use snafu::ResultExt;

use super::error::{DamagedSnafu, StorageError, SystemSnafu};
use super::record::{HEAD_BYTES, ReadRecord, SyncMark, peek_index, read_record};
use super::sealed::read_file;
use crate::agreement::LogEntry;

const NAME_PREFIX: &str = "log-";

/// Entries that may lie between damage and a record behind it, when such a record is looked for.
const MAX_GAP: u64 = 1_000_000;

/// One file of records; its name tells its first entry and its first sync.
#[derive(Debug)]
pub(super) struct LogSegment {
    pub(super) path: PathBuf,
    pub(super) first: LogIndex,
    /// Number of its first sync.
    pub(super) sync: u64,
    /// Where each record starts, by entry.
    pub(super) starts: Vec<u64>,
    pub(super) size: u64,
}

impl LogSegment {
    pub(super) fn end(&self) -> LogIndex {
        LogIndex(self.first.0 + self.starts.len() as u64)
    }

    pub(super) fn open(&self) -> Result<File, StorageError> {
        OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.path)
            .context(SystemSnafu { path: &self.path, action: "open" })
    }
}

/// What one file holds.
#[derive(Debug)]
pub(super) struct SegmentScan {
    pub(super) segment: LogSegment,
    pub(super) entries: Vec<LogEntry>,
    pub(super) mark: SyncMark,
    /// Bytes behind the last whole record, torn by a crash before they were synced.
    pub(super) torn: u64,
}

/// The log files of `folder`, oldest first.
pub(super) fn list(folder: &Path) -> Result<Vec<LogSegment>, StorageError> {
    let context = SystemSnafu { path: folder, action: "list" };
    let mut found = Vec::new();
    for item in std::fs::read_dir(folder).context(context)? {
        let path = item.context(SystemSnafu { path: folder, action: "list" })?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if let Some((first, sync)) = parse_name(name) {
            found.push(LogSegment { path, first, sync, starts: Vec::new(), size: 0 });
        }
    }
    found.sort_by_key(|segment| (segment.first, segment.sync));
    Ok(found)
}

fn parse_name(name: &str) -> Option<(LogIndex, u64)> {
    let (first, sync) = name.strip_prefix(NAME_PREFIX)?.split_once('-')?;
    Some((LogIndex(first.parse().ok()?), sync.parse().ok()?))
}

/// Path of the file whose first entry is `first`, written by the sync with number `sync`.
pub(super) fn path_of(folder: &Path, first: LogIndex, sync: u64) -> PathBuf {
    folder.join(format!("{NAME_PREFIX}{:020}-{sync:020}", first.0))
}

/// Reads the file of `segment`.
///
/// # Errors
/// `StorageError::Damaged` when something that was synced does not read.
pub(super) fn scan(mut segment: LogSegment) -> Result<SegmentScan, StorageError> {
    let path = &segment.path;
    let bytes = read_file(path)?.unwrap_or_default();
    let mut entries = Vec::new();
    let mut mark = SyncMark { number: segment.sync.saturating_sub(1), left: 0 };
    let mut offset = 0;
    let mut next = segment.first;
    while let Some(record) = read_record(&bytes[offset..]) {
        if record.entry.index != next {
            let detail = format!("entry {} stands where {next} belongs", record.entry.index);
            return DamagedSnafu { path, offset: offset as u64, detail }.fail();
        }
        segment.starts.push(offset as u64);
        offset += record.size;
        next = next.next();
        mark = record.mark;
        entries.push(record.entry);
    }
    let torn = (bytes.len() - offset) as u64;
    if torn > 0 && was_synced(&bytes[offset..], mark, next) {
        let detail = format!("entry {next} does not read, later ones do");
        return DamagedSnafu { path, offset: offset as u64, detail }.fail();
    }
    segment.size = offset as u64;
    Ok(SegmentScan { segment, entries, mark, torn })
}

/// Whether the unreadable record at the start of `bytes` had been synced.
///
/// A sync starts only after the one before it has ended. So a record of a later sync behind the
/// damage shows that the damaged record had been synced: cutting it off would lose something that
/// others were told is safe. Behind a torn tail there are at most records of the same sync.
fn was_synced(bytes: &[u8], last: SyncMark, next: LogIndex) -> bool {
    let damaged_sync = if last.left > 0 { last.number } else { last.number + 1 };
    (1..bytes.len().saturating_sub(HEAD_BYTES))
        .filter_map(|offset| record_behind(&bytes[offset..], next))
        .any(|record| record.mark.number > damaged_sync)
}

fn record_behind(bytes: &[u8], next: LogIndex) -> Option<ReadRecord> {
    let index = peek_index(bytes)?;
    if index <= next.0 || index - next.0 > MAX_GAP {
        return None;
    }
    read_record(bytes)
}
