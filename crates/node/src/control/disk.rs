//! The storage thread of the control role, which writes and syncs the log.

use std::sync::Arc;

use briartray_control::agreement::WriteBatch;
use briartray_control::storage::{DataFolder, write_batches};
use briartray_web::{WORKER_STACK_BYTES, WorkerToken, spawn_worker};
use crossbeam::channel::{Sender, unbounded};

use super::input::ControlInput;
use super::shared::ControlShared;
use crate::metrics::AgreementMetrics;

/// Starts the thread; it ends when the returned sender is dropped, and holds `running` until the
/// folder is released.
///
/// The channel is unbounded because its input is bounded: a leader accepts a limited number of
/// proposals, and a follower is sent a limited number of bytes before it has acknowledged them.
pub(super) fn start(
    folder: DataFolder,
    inputs: Sender<ControlInput>,
    shared: Arc<ControlShared>,
    metrics: AgreementMetrics,
    running: WorkerToken,
) -> std::io::Result<Sender<WriteBatch>> {
    let (batches, queue) = unbounded();
    let run = move || {
        write_batches(folder, &queue, |written| match written {
            Ok(stored) => {
                metrics.record_sync(stored.took);
                inputs.send(ControlInput::Stored { ticket: stored.ticket }).is_ok()
            }
            Err(error) => {
                shared.fail(&format!("cannot store the control state: {error}"));
                false
            }
        });
        drop(running);
    };
    spawn_worker("storage", 2 * WORKER_STACK_BYTES, run)?;
    Ok(batches)
}
