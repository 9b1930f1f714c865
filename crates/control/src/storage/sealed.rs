//! Small files that are replaced as a whole and checked when read.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use super::FileAccess;
use super::error::{DamagedSnafu, StorageError, SystemSnafu};

/// First bytes of every sealed file; the last one is the version of the format.
const MAGIC: [u8; 4] = *b"BTS1";

/// Bytes before the content: magic and checksum.
const HEAD_BYTES: usize = 8;

/// Replaces `name` in `folder` by `content`; the old file stays until the new one is synced.
pub(super) fn replace(
    access: &mut FileAccess,
    folder: &Path,
    name: &str,
    content: &[u8],
) -> Result<(), StorageError> {
    let mut head = Vec::with_capacity(HEAD_BYTES);
    head.extend_from_slice(&MAGIC);
    head.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    replace_file(access, folder, &folder.join(name), &[&head, content])
}

/// Replaces the file at `path` in `folder` by `parts`, without a seal.
pub(super) fn replace_file(
    access: &mut FileAccess,
    folder: &Path,
    path: &Path,
    parts: &[&[u8]],
) -> Result<(), StorageError> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    // No log file is named so: a half-written copy is never read as one.
    let aside = folder.join(format!("{name}.new"));
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(&aside)
        .context(SystemSnafu { path: &aside, action: "create" })?;
    for part in parts {
        (access.write)(&mut file, part).context(SystemSnafu { path: &aside, action: "write" })?;
    }
    (access.sync)(&file).context(SystemSnafu { path: &aside, action: "sync" })?;
    std::fs::rename(&aside, path).context(SystemSnafu { path, action: "rename" })?;
    sync_folder(access, folder)
}

/// The content of `name`; `None` when there is no such file.
pub(super) fn read(folder: &Path, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let path = folder.join(name);
    let Some(bytes) = read_file(&path)? else { return Ok(None) };
    let sealed = bytes.len() >= HEAD_BYTES
        && bytes[..4] == MAGIC
        && bytes[4..HEAD_BYTES] == crc32fast::hash(&bytes[HEAD_BYTES..]).to_le_bytes();
    if !sealed {
        return damaged(&path, "the checksum does not match");
    }
    Ok(Some(bytes[HEAD_BYTES..].to_vec()))
}

/// The bytes of `path`; `None` when there is no such file.
pub(super) fn read_file(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StorageError::System { path: path.to_owned(), action: "read", source }),
    }
}

/// Makes names that were added to or dropped from `folder` last.
pub(super) fn sync_folder(access: &mut FileAccess, folder: &Path) -> Result<(), StorageError> {
    let handle = File::open(folder).context(SystemSnafu { path: folder, action: "open" })?;
    (access.sync)(&handle).context(SystemSnafu { path: folder, action: "sync" })
}

/// A file whose content cannot be what was written.
pub(super) fn damaged<T>(path: &Path, detail: &str) -> Result<T, StorageError> {
    let path: PathBuf = path.to_owned();
    DamagedSnafu { path, offset: 0_u64, detail }.fail()
}
