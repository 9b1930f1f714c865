//! The storage thread's loop: writes the batches of the consensus core, so that the thread of the
//! control state never waits for a disk.

use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;

use super::{DataFolder, StorageError};
use crate::agreement::WriteBatch;

/// Maximum number of batches that share one sync.
const MAX_MERGED_BATCHES: usize = 256;

/// Batches that have been synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredBatches {
    /// Ticket of the newest batch.
    pub ticket: u64,
    /// Duration of the write and sync.
    pub took: Duration,
}

/// Writes batches from `queue` to `folder` until the queue closes, a write fails or `report`
/// returns `false`.
///
/// A failure is the last result reported, since no later batch can be stored.
pub fn write_batches(
    mut folder: DataFolder,
    queue: &Receiver<WriteBatch>,
    mut report: impl FnMut(Result<StoredBatches, StorageError>) -> bool,
) {
    while let Ok(first) = queue.recv() {
        let batch = queue.try_iter().take(MAX_MERGED_BATCHES).fold(first, WriteBatch::merged);
        let started = Instant::now();
        let written = folder.write(&batch);
        let failed = written.is_err();
        let stored = StoredBatches { ticket: batch.ticket, took: started.elapsed() };
        if !report(written.map(|()| stored)) || failed {
            return;
        }
    }
}
