//! Inspecting a data folder without modifying it.

use std::path::Path;

use briartray_model::names::LogIndex;
use briartray_model::plain_value;

use super::StorageError;
use super::error::MissingSnafu;
use super::folder::{FolderContents, FolderIdentity, read_identity};
use crate::agreement::HardState;

plain_value! {
    /// Summary of a data folder.
    pub struct FolderReport {
        /// Owner of the folder.
        pub identity: FolderIdentity,
        /// Term, vote and commit index.
        pub hard: HardState,
        /// Last entry included in the snapshot.
        pub snapshot: Option<LogIndex>,
        /// Size of the snapshot, in bytes.
        pub snapshot_bytes: usize,
        /// First entry with a log record.
        pub first: Option<LogIndex>,
        /// Last entry, including the entries in the snapshot.
        pub last: LogIndex,
        /// Size of a tail torn by a crash, in bytes; the next start removes it.
        pub torn_bytes: u64,
    }
}

/// Reads the folder at `path`.
///
/// # Errors
/// Returns a `StorageError` if there is no data folder, a file is damaged or a read fails.
pub fn inspect(path: &Path) -> Result<FolderReport, StorageError> {
    let identity = read_identity(path)?;
    let Some(identity) = identity else { return MissingSnafu { path }.fail() };
    let contents = FolderContents::read(path)?;
    let first =
        contents.scans.iter().find(|scan| !scan.entries.is_empty()).map(|scan| scan.segment.first);
    Ok(FolderReport {
        identity,
        snapshot: contents.snapshot.as_ref().map(|snapshot| snapshot.meta.index),
        snapshot_bytes: contents.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len()),
        first,
        last: contents.last_index(),
        torn_bytes: contents.scans.last().map_or(0, |scan| scan.torn_bytes),
        hard: contents.hard,
    })
}
