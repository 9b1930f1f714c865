//! The control role: one thread owns the state; a second one carries HTTP, further ones carry the
//! conversations with entries and other control hosts.

mod api;
mod calls;
mod core;
mod disk;
mod input;
mod leader;
mod metrics;
mod pace;
mod peers;
mod relay;
mod replication;
mod streams;
mod voters;

use std::path::Path;
use std::time::{Duration, Instant};

use briartray_control::agreement::FolderId;
use briartray_control::storage::{DataFolder, FileAccess, OpenedFolder};
use briartray_link::LinkServer;
use briartray_node::metrics::MetricsHub;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, RecvTimeoutError, bounded};
use snafu::ResultExt;

use self::core::{ControlCore, CoreParts};
use self::input::{CoreInput, InputReceiver, InputSender, input_queue};
use self::metrics::ControlMetrics;
use crate::process::{ProcessError, RoleFailure, SetupSnafu};
use crate::settings::{ControlRole, GatewaySettings};

/// Stack of the control thread, in bytes.
const CONTROL_STACK_BYTES: usize = 8 * WORKER_STACK_BYTES;

/// Pause before a data folder that cannot be opened is tried again: disks stall for seconds, and
/// a process that ended instead would be started over and over.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// Gives the file operations of a data folder each time it is opened.
pub type FileSource = Box<dyn Fn() -> FileAccess + Send>;

/// A running control role.
#[derive(Debug)]
pub struct ControlProcess {
    link: LinkServer,
    inputs: InputSender,
    failures: Receiver<RoleFailure>,
}

impl ControlProcess {
    /// Starts the threads of the role; `files` reach its data folder.
    ///
    /// # Errors
    /// A `ProcessError` when a port or a thread cannot be had.
    pub fn start(
        settings: &GatewaySettings,
        role: &ControlRole,
        files: FileSource,
    ) -> Result<Self, ProcessError> {
        let (inputs, queue) = input_queue();
        let (failure, failures) = bounded(1);
        let hub = MetricsHub::default();
        let metrics = hub.add(ControlMetrics::register);
        let calls = api::start(role.listen, inputs.clone(), settings.metrics, hub)?;
        let link_inputs = inputs.clone();
        let handler = Box::new(move |stream| streams::accept(stream, &link_inputs));
        let address = std::net::SocketAddr::new(settings.node, settings.link_port);
        let link = LinkServer::start(address, &settings.link_token, handler)?;
        let parts = CoreParts {
            settings: settings.clone(),
            role: role.clone(),
            calls,
            peers: peers::PeerLinks::start(settings)?,
            inputs: inputs.clone(),
            metrics,
            failure,
            files,
        };
        spawn_worker("control", CONTROL_STACK_BYTES, move || {
            let folder = match open_folder(&parts, &queue) {
                FolderOpening::Opened(opened) => Some(opened),
                FolderOpening::NoFolder => None,
                FolderOpening::Stopped => return,
            };
            ControlCore::new(parts, folder).run(&queue);
        })
        .context(SetupSnafu { what: "the control thread" })?;
        Ok(Self { link, inputs, failures })
    }

    /// Tells when the role cannot go on.
    pub fn failures(&self) -> &Receiver<RoleFailure> {
        &self.failures
    }

    /// Stops the role.
    pub fn stop(&self) {
        self.inputs.send(CoreInput::Stop);
        self.link.stop();
    }
}

/// What became of opening a data folder.
enum FolderOpening {
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
fn open_folder(parts: &CoreParts, queue: &InputReceiver) -> FolderOpening {
    let Some(path) = parts.role.data_folder.as_deref() else { return FolderOpening::NoFolder };
    let node = parts.settings.node_name();
    loop {
        let fresh = FolderId(rand::random());
        match DataFolder::open(path, &node, &[], fresh, (parts.files)()) {
            Ok(opened) => return FolderOpening::Opened(opened),
            Err(error) if error.blames_contents() => {
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
fn refuse_for(pause: Duration, queue: &InputReceiver) -> bool {
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
