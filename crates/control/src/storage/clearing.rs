//! Clearing of a data folder whose contents cannot be used.

use std::path::Path;

use snafu::ResultExt;

use super::FileAccess;
use super::checked_file::sync_folder;
use super::error::{StorageError, SystemSnafu};
use super::folder::IDENTITY_FILE;

/// Removes all files of the folder at `path`, so that it can be opened as a new one.
///
/// The identity goes first, for certain. After a power loss some of the other files may be back, and
/// under the old identity they could vote without entries that the folder had acknowledged.
///
/// # Errors
/// Returns a `StorageError` if a file operation fails; the folder may then hold some of its files.
pub fn clear_folder(path: &Path, mut access: FileAccess) -> Result<(), StorageError> {
    let identity = path.join(IDENTITY_FILE);
    match std::fs::remove_file(&identity) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
            return Err(error).context(SystemSnafu { path: identity, action: "remove" });
        }
        _ => sync_folder(&mut access, path)?,
    }
    for item in std::fs::read_dir(path).context(SystemSnafu { path, action: "list" })? {
        let file = item.context(SystemSnafu { path, action: "list" })?.path();
        std::fs::remove_file(&file).context(SystemSnafu { path: file, action: "remove" })?;
    }
    sync_folder(&mut access, path)
}
