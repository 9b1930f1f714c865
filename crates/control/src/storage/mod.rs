//! The data folder of one control host.
//!
//! | file | holds |
//! |---|---|
//! | `lock` | nothing; locked while a process uses the folder |
//! | `identity` | node, random folder id, control hosts, founding seats |
//! | `vote` | term, vote and commit |
//! | `snapshot` | the newest snapshot |
//! | `log-N` | records from entry N on, oldest file first |
//!
//! The first three kinds are replaced as a whole (write aside, sync, rename, sync the folder).
//! Records are only added; a record says which sync it belongs to, so that a tail which was torn
//! by a crash is told from damage to something that had been synced. The first failed write or
//! sync is final: what a disk holds after one is not known, and a second sync may succeed without
//! having written anything. Opening a folder therefore writes its newest records and its vote
//! again.

mod access;
mod error;
mod folder;
mod record;
mod report;
mod sealed;
mod segment;
mod writer;

pub use access::{FileAccess, FileSync, FileWrite};
pub use error::StorageError;
pub use folder::{DataFolder, FolderIdentity, OpenedFolder};
pub use report::{FolderReport, inspect};
pub use writer::{StoredBatches, write_batches};
