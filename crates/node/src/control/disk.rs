//! The storage thread: writes what the core hands out, so that the control thread never waits
//! for a disk.

use std::sync::Arc;
use std::time::Instant;

use briartray_control::agreement::WriteBatch;
use briartray_control::storage::DataFolder;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, unbounded};

use super::input::ControlInput;
use super::shared::ControlShared;
use crate::metrics::AgreementMetrics;

/// Batches that share one sync at most.
const MAX_MERGED: usize = 256;

/// Starts the thread; it ends when the returned sender is dropped.
///
/// The channel needs no bound of its own: a leader takes a bounded number of proposals, and a
/// follower is sent a bounded number of bytes before it has answered.
pub(super) fn start(
    folder: DataFolder,
    inputs: Sender<ControlInput>,
    shared: Arc<ControlShared>,
    metrics: AgreementMetrics,
) -> std::io::Result<Sender<WriteBatch>> {
    let (batches, queue) = unbounded();
    let run = move || write_all(folder, &queue, &inputs, &shared, &metrics);
    spawn_worker("storage", 2 * WORKER_STACK_BYTES, run)?;
    Ok(batches)
}

fn write_all(
    mut folder: DataFolder,
    queue: &Receiver<WriteBatch>,
    inputs: &Sender<ControlInput>,
    shared: &ControlShared,
    metrics: &AgreementMetrics,
) {
    while let Ok(first) = queue.recv() {
        let mut batch = first;
        for more in queue.try_iter().take(MAX_MERGED) {
            batch.absorb(more);
        }
        let started = Instant::now();
        if let Err(error) = folder.write(&batch) {
            // Nothing after a failed write or sync may count as stored, so nothing is told on.
            shared.fail(&format!("control state cannot be kept: {error}"));
            return;
        }
        metrics.synced(started.elapsed());
        if inputs.send(ControlInput::Stored { ticket: batch.ticket }).is_err() {
            return;
        }
    }
}
