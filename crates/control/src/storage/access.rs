//! The few file operations that may fail at the worst moment, replaceable for tests.

use std::fs::File;
use std::io::{self, Write};

/// Adds bytes at the end of a file.
pub type FileWrite = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;

/// Makes what was written last.
pub type FileSync = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// Writes and syncs of a data folder.
pub struct FileAccess {
    /// Adds bytes at the end of a file.
    pub write: FileWrite,
    /// Makes what was written last.
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
