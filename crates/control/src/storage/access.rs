//! File writes and syncs, replaceable in tests to inject disk faults.

use std::fs::File;
use std::io::{self, Write};

/// Appends bytes to a file.
pub type FileWrite = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;

/// Syncs a file to disk.
pub type FileSync = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// Write and sync operations of a data folder.
pub struct FileAccess {
    /// Appends bytes to a file.
    pub write: FileWrite,
    /// Syncs a file to disk.
    pub sync: FileSync,
}

impl Default for FileAccess {
    fn default() -> Self {
        Self {
            write: Box::new(|file, bytes| file.write_all(bytes)),
            sync: Box::new(|file| file.sync_data()),
        }
    }
}

impl std::fmt::Debug for FileAccess {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FileAccess")
    }
}
