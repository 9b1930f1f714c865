//! Opening of a control host's data folder, with retries until its disk responds.

use std::path::Path;
use std::time::{Duration, Instant};

use briartray_control::agreement::FolderId;
use briartray_control::storage::{DataFolder, FileAccess, OpenedFolder, clear_folder};
use briartray_model::names::NodeName;
use crossbeam::channel::RecvTimeoutError;

use super::input::{CoreInput, InputReceiver};

/// Pause before another attempt to open the data folder. Disks stall for seconds, and a process
/// that exited instead would be restarted repeatedly.
pub(super) const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// Creates the file access object of the data folder each time the folder is opened.
pub type FileSource = Box<dyn Fn() -> FileAccess + Send>;

/// Result of opening the data folder.
pub(super) enum FolderOpening {
    /// The folder is open.
    Opened(OpenedFolder),
    /// The host has no data folder.
    NoFolder,
    /// The role was stopped.
    Stopped,
}

/// Opens the data folder, retrying until it succeeds. Inputs in `queue` are refused meanwhile.
///
/// A folder with unreadable contents is cleared. The host then rejoins like one that lost its disk,
/// and does not vote before the other hosts have brought it up to date.
pub(super) fn open_folder(
    path: Option<&Path>,
    node: &NodeName,
    files: &FileSource,
    queue: &InputReceiver,
) -> FolderOpening {
    let Some(path) = path else { return FolderOpening::NoFolder };
    loop {
        let fresh = FolderId(rand::random());
        match DataFolder::open(path, node, &[], fresh, files()) {
            Ok(opened) => return FolderOpening::Opened(opened),
            Err(error) if error.is_unusable_contents() => {
                log::error!(
                    "data folder is unreadable; clearing it and rejoining as empty: {error}"
                );
                if let Err(error) = clear_folder(path, files()) {
                    log::error!("cannot clear the data folder; trying again: {error}");
                }
            }
            Err(error) => log::error!("cannot open the data folder; trying again: {error}"),
        }
        if !refuse_inputs(REOPEN_PAUSE, queue) {
            return FolderOpening::Stopped;
        }
    }
}

/// Drops inputs for `pause`, so their senders are refused at once. Returns `false` if the role is
/// to stop.
///
/// If inputs were left in the queue, it would fill up and block the threads that feed it, including
/// the one that requests the stop.
pub(super) fn refuse_inputs(pause: Duration, queue: &InputReceiver) -> bool {
    let deadline = Instant::now() + pause;
    loop {
        match queue.recv_deadline(deadline) {
            Ok(CoreInput::Stop) | Err(RecvTimeoutError::Disconnected) => return false,
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}
