//! What a storage thread does: it writes the batches that the agreement hands out, so that the
//! thread of the control state never waits for a disk.

use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;

use super::{DataFolder, StorageError};
use crate::agreement::WriteBatch;

/// Batches that share one sync at most.
const MAX_MERGED: usize = 256;

/// Batches that a folder holds for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredBatches {
    /// Ticket of the newest one.
    pub ticket: u64,
    /// Time that the disk took.
    pub took: Duration,
}

/// Writes the batches of `queue` to `folder` until the queue closes, a write fails or `tell`
/// returns `false`.
///
/// Nothing after a failed write or sync may count as stored, so a failure is the last thing told.
pub fn write_batches(
    mut folder: DataFolder,
    queue: &Receiver<WriteBatch>,
    mut tell: impl FnMut(Result<StoredBatches, StorageError>) -> bool,
) {
    while let Ok(first) = queue.recv() {
        let batch = queue.try_iter().take(MAX_MERGED).fold(first, WriteBatch::merged);
        let started = Instant::now();
        let written = folder.write(&batch);
        let failed = written.is_err();
        let stored = StoredBatches { ticket: batch.ticket, took: started.elapsed() };
        if !tell(written.map(|()| stored)) || failed {
            return;
        }
    }
}
