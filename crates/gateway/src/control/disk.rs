//! The storage thread of the control role.

use briartray_control::agreement::WriteBatch;
use briartray_control::storage::{DataFolder, write_batches};
use briartray_web::{WORKER_STACK_BYTES, WorkerToken, spawn_worker};
use crossbeam::channel::{Sender, unbounded};

use super::input::{CoreInput, InputSender};

/// Starts the storage thread, which ends when the returned sender is dropped or a write fails, and
/// holds `running` until the folder is released.
///
/// The channel needs no limit of its own: a leader accepts a limited number of proposals, and a
/// follower receives a limited number of bytes before it has acknowledged them.
pub(super) fn start(
    folder: DataFolder,
    inputs: InputSender,
    running: WorkerToken,
) -> std::io::Result<Sender<WriteBatch>> {
    let (batches, queue) = unbounded();
    let run = move || {
        write_batches(folder, &queue, |written| {
            let input = match written {
                Ok(stored) => CoreInput::BatchStored { ticket: stored.ticket },
                Err(error) => {
                    log::error!("cannot write control state; reopening the data folder: {error}");
                    CoreInput::DiskFailed
                }
            };
            inputs.send(input)
        });
        drop(running);
    };
    spawn_worker("storage", 2 * WORKER_STACK_BYTES, run)?;
    Ok(batches)
}
