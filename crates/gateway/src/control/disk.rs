//! The storage thread: writes what the agreement hands out, so that the control thread never
//! waits for a disk.

use briartray_control::agreement::WriteBatch;
use briartray_control::storage::DataFolder;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, unbounded};

use super::input::CoreInput;

/// Batches that share one sync at most.
const MAX_MERGED: usize = 256;

/// Starts the thread; it ends when the returned sender is dropped, or at the first failure.
///
/// The channel needs no bound of its own: a leader takes a bounded number of proposals, and a
/// follower is sent a bounded number of bytes before it has answered.
pub(super) fn start(
    folder: DataFolder,
    inputs: Sender<CoreInput>,
) -> std::io::Result<Sender<WriteBatch>> {
    let (batches, queue) = unbounded();
    let run = move || write_all(folder, &queue, &inputs);
    spawn_worker("storage", 2 * WORKER_STACK_BYTES, run)?;
    Ok(batches)
}

fn write_all(mut folder: DataFolder, queue: &Receiver<WriteBatch>, inputs: &Sender<CoreInput>) {
    while let Ok(first) = queue.recv() {
        let mut batch = first;
        for more in queue.try_iter().take(MAX_MERGED) {
            batch.absorb(more);
        }
        if let Err(error) = folder.write(&batch) {
            // Nothing after a failed write or sync may count as stored.
            log::error!("control state cannot be kept: {error}");
            let _ = inputs.send(CoreInput::DiskFailed);
            return;
        }
        if inputs.send(CoreInput::Stored { ticket: batch.ticket }).is_err() {
            return;
        }
    }
}
