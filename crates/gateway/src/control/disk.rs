//! The storage thread of the control role.

use briartray_control::agreement::WriteBatch;
use briartray_control::storage::{DataFolder, write_batches};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Sender, unbounded};

use super::input::{CoreInput, InputSender};

/// Starts the thread; it ends when the returned sender is dropped, or at the first failure.
///
/// The channel needs no bound of its own: a leader takes a bounded number of proposals, and a
/// follower is sent a bounded number of bytes before it has answered.
pub(super) fn start(
    folder: DataFolder,
    inputs: InputSender,
) -> std::io::Result<Sender<WriteBatch>> {
    let (batches, queue) = unbounded();
    let run = move || {
        write_batches(folder, &queue, |written| {
            let input = match written {
                Ok(stored) => CoreInput::Stored { ticket: stored.ticket },
                Err(error) => {
                    log::error!("control state cannot be kept: {error}");
                    CoreInput::DiskFailed
                }
            };
            inputs.send(input)
        });
    };
    spawn_worker("storage", 2 * WORKER_STACK_BYTES, run)?;
    Ok(batches)
}
