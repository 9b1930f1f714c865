//! Looking at a data folder without changing it.

use std::path::Path;

use briartray_model::names::LogIndex;
use briartray_model::plain_value;

use super::StorageError;
use super::error::MissingSnafu;
use super::folder::{FolderContents, FolderIdentity, read_identity};
use crate::agreement::HardState;

plain_value! {
    /// What a data folder holds.
    pub struct FolderReport {
        /// Whose folder it is.
        pub identity: FolderIdentity,
        /// Term, vote and commit.
        pub hard: HardState,
        /// Last entry that the snapshot covers.
        pub snapshot: Option<LogIndex>,
        /// Size of the snapshot, in bytes.
        pub snapshot_bytes: usize,
        /// First entry with a record.
        pub first: Option<LogIndex>,
        /// Last entry, the snapshot counted in.
        pub last: LogIndex,
        /// Bytes of a tail that a crash tore; the next start cuts it off.
        pub torn_bytes: u64,
    }
}

/// Reads the folder at `path`.
///
/// # Errors
/// A `StorageError` that names the damaged file, the place and the remedy.
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
        torn_bytes: contents.scans.last().map_or(0, |scan| scan.torn),
        hard: contents.hard,
    })
}
