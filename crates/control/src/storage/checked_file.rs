//! Small files with a checksum that are replaced atomically.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use super::FileAccess;
use super::error::{DamagedSnafu, StorageError, SystemSnafu};

/// Magic bytes at the start of each file; the last byte is the format version.
const MAGIC: [u8; 4] = *b"BTS1";

/// Size of magic bytes and checksum, in bytes.
const HEADER_BYTES: usize = 8;

/// Atomically replaces the file `name` in `folder`; a failure leaves the old file in place.
pub(super) fn replace(
    access: &mut FileAccess,
    folder: &Path,
    name: &str,
    content: &[u8],
) -> Result<(), StorageError> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    header.extend_from_slice(&MAGIC);
    header.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    replace_file(access, folder, &folder.join(name), &[&header, content])
}

/// Atomically replaces the file at `path` in `folder` by `parts`, without adding a header.
pub(super) fn replace_file(
    access: &mut FileAccess,
    folder: &Path,
    path: &Path,
    parts: &[&[u8]],
) -> Result<(), StorageError> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    // The suffix keeps a partially written file from being listed as a log file.
    let temp_path = folder.join(format!("{name}.new"));
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(&temp_path)
        .context(SystemSnafu { path: &temp_path, action: "create" })?;
    for part in parts {
        (access.write)(&mut file, part)
            .context(SystemSnafu { path: &temp_path, action: "write" })?;
    }
    (access.sync)(&file).context(SystemSnafu { path: &temp_path, action: "sync" })?;
    std::fs::rename(&temp_path, path).context(SystemSnafu { path, action: "rename" })?;
    sync_folder(access, folder)
}

/// Reads and verifies the file `name`; `None` if there is no such file.
pub(super) fn read(folder: &Path, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let path = folder.join(name);
    let Some(bytes) = read_file(&path)? else { return Ok(None) };
    let is_valid = bytes.len() >= HEADER_BYTES
        && bytes[..4] == MAGIC
        && bytes[4..HEADER_BYTES] == crc32fast::hash(&bytes[HEADER_BYTES..]).to_le_bytes();
    if !is_valid {
        return damaged(&path, "the checksum does not match");
    }
    Ok(Some(bytes[HEADER_BYTES..].to_vec()))
}

/// Reads all bytes of the file at `path`; `None` if there is no such file.
pub(super) fn read_file(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StorageError::System { path: path.to_owned(), action: "read", source }),
    }
}

/// Syncs the directory entries of `folder`.
pub(super) fn sync_folder(access: &mut FileAccess, folder: &Path) -> Result<(), StorageError> {
    let handle = File::open(folder).context(SystemSnafu { path: folder, action: "open" })?;
    (access.sync)(&handle).context(SystemSnafu { path: folder, action: "sync" })
}

/// Returns a `Damaged` error for the file at `path`.
pub(super) fn damaged<T>(path: &Path, detail: &str) -> Result<T, StorageError> {
    let path: PathBuf = path.to_owned();
    DamagedSnafu { path, offset: 0_u64, detail }.fail()
}
