//! Persistent storage of one control host.
//!
//! | file | contents |
//! |---|---|
//! | `lock` | empty; locked while a process uses the folder |
//! | `identity` | node, random folder id, control hosts, founding seats |
//! | `vote` | term, vote and commit index |
//! | `snapshot` | the newest snapshot |
//! | `log-N-S` | log records from entry N on, first written by sync number S |
//!
//! `identity`, `vote` and `snapshot` are replaced atomically: write a temporary file, sync, rename,
//! sync the folder. Log files are append-only. Each record carries the number of its sync, which
//! distinguishes a tail torn by a crash from damage to data that had been synced. After the first
//! failed write or sync, no further write is accepted: the contents of the disk are then unknown,
//! and a second sync may succeed without having written anything. Opening a folder therefore
//! rewrites its newest records and its vote.

mod access;
mod checked_file;
mod clearing;
mod error;
mod folder;
mod record;
mod report;
mod segment;
mod writer;

pub use access::{FileAccess, FileSync, FileWrite};
pub use clearing::clear_folder;
pub use error::StorageError;
pub use folder::{DataFolder, FolderIdentity, OpenedFolder};
pub use report::{FolderReport, inspect};
pub use writer::{StoredBatches, write_batches};
