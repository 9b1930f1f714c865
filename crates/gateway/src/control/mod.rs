//! The control role: one thread owns the state; a second one carries HTTP, further ones carry the
//! conversations with entries and other control hosts.

mod api;
mod calls;
mod core;
mod disk;
mod input;
mod leader;
mod metrics;
mod peers;
mod replication;
mod streams;
mod voters;

use std::path::Path;
use std::time::Duration;

use briartray_control::agreement::FolderId;
use briartray_control::storage::{DataFolder, FileAccess, OpenedFolder, StorageError};
use briartray_link::LinkServer;
use briartray_node::metrics::MetricsHub;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, bounded};
use snafu::ResultExt;

use self::core::{ControlCore, CoreParts};
use self::input::CoreInput;
use self::metrics::ControlMetrics;
use crate::process::{ProcessError, RoleFailure, SetupSnafu};
use crate::settings::{ControlRole, GatewaySettings};

/// Inputs that may wait for the control thread.
const INPUT_QUEUE: usize = 8_192;

/// Stack of the control thread, in bytes.
const CONTROL_STACK_BYTES: usize = 8 * WORKER_STACK_BYTES;

/// Pause before a data folder that cannot be opened is tried again: disks stall for seconds, and
/// a process that ended instead would be started over and over.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// A running control role.
#[derive(Debug)]
pub struct ControlProcess {
    link: LinkServer,
    inputs: Sender<CoreInput>,
    failures: Receiver<RoleFailure>,
}

impl ControlProcess {
    /// Starts the threads of the role.
    ///
    /// # Errors
    /// A `ProcessError` when a port or a thread cannot be had.
    pub fn start(settings: &GatewaySettings, role: &ControlRole) -> Result<Self, ProcessError> {
        let (inputs, queue) = bounded(INPUT_QUEUE);
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
        };
        spawn_worker("control", CONTROL_STACK_BYTES, move || {
            let folder = parts.role.data_folder.clone();
            let folder = folder.map(|path| open_folder(&path, &parts.settings));
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
        let _ = self.inputs.send(CoreInput::Stop);
        self.link.stop();
    }
}

/// Opens the data folder, however long its disk takes.
///
/// A folder whose contents do not read is begun anew: its host then takes part as one that has
/// lost its disk, and does not vote before the others have brought it up to date.
fn open_folder(path: &Path, settings: &GatewaySettings) -> OpenedFolder {
    loop {
        let fresh = FolderId(rand::random());
        let node = settings.node_name();
        match DataFolder::open(path, &node, &[], fresh, FileAccess::default()) {
            Ok(opened) => return opened,
            Err(error @ StorageError::System { .. }) => {
                log::error!("{error}");
                std::thread::sleep(REOPEN_PAUSE);
            }
            Err(error) => {
                log::error!("the data folder is begun anew: {error}");
                clear_folder(path);
                std::thread::sleep(REOPEN_PAUSE);
            }
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
