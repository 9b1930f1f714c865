//! Opening the data folder of a control host, however long its disk takes.

use std::path::Path;
use std::time::{Duration, Instant};

use briartray_control::agreement::FolderId;
use briartray_control::storage::{DataFolder, FileAccess, OpenedFolder};
use briartray_model::names::NodeName;
use crossbeam::channel::RecvTimeoutError;

use super::input::{CoreInput, InputReceiver};

/// Pause before a data folder that cannot be opened is tried again: disks stall for seconds, and
/// a process that ended instead would be started over and over.
pub(super) const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// Gives the file operations of a data folder each time it is opened.
pub type FileSource = Box<dyn Fn() -> FileAccess + Send>;

/// What became of opening a data folder.
pub(super) enum FolderOpening {
    /// It is open.
    Opened(OpenedFolder),
    /// The host has none.
    NoFolder,
    /// The role was told to stop.
    Stopped,
}

/// Opens the data folder, however long its disk takes; inputs of `queue` are refused meanwhile.
///
/// A folder whose contents do not read is begun anew: its host then takes part as one that has
/// lost its disk, and does not vote before the others have brought it up to date.
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
                log::error!("the data folder is begun anew: {error}");
                clear_folder(path);
            }
            Err(error) => log::error!("{error}"),
        }
        if !refuse_for(REOPEN_PAUSE, queue) {
            return FolderOpening::Stopped;
        }
    }
}

/// Drops inputs for `pause`: whoever waits for an answer is refused at once. `false` when the role
/// is to stop.
///
/// Inputs that were left to wait would fill the queue, and the threads that feed it would stand
/// still, the one that asks for a stop among them.
pub(super) fn refuse_for(pause: Duration, queue: &InputReceiver) -> bool {
    let ends = Instant::now() + pause;
    loop {
        match queue.recv_deadline(ends) {
            Ok(CoreInput::Stop) | Err(RecvTimeoutError::Disconnected) => return false,
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}

fn clear_folder(path: &Path) {
    let Ok(entries) = std::fs::read_dir(path) else { return };
    for entry in entries.flatten() {
        if let Err(error) = std::fs::remove_file(entry.path()) {
            log::error!("{} cannot be removed: {error}", entry.path().display());
        }
    }
}
