//! The control role. One thread owns the state, another one serves HTTP, and further threads carry
//! the streams to entries and other control hosts.

mod api;
mod core;
mod disk;
mod endpoint_client;
mod endpoints;
mod entry_session;
mod entry_updates;
mod evacuation;
mod evacuation_call;
mod folder;
mod host_book;
mod input;
mod leader;
mod leadership;
mod metrics;
mod origin;
mod overload;
mod peers;
mod quarantine;
mod quarantine_call;
mod relay;
mod relay_buffer;
mod replication;
mod send_pacer;
mod streams;
mod voters;

use std::time::Duration;

use briartray_link::LinkServer;
use briartray_node::metrics::MetricsHub;
use briartray_web::{WORKER_STACK_BYTES, WorkerWatch, spawn_worker, worker_watch};
use crossbeam::channel::{Receiver, bounded};
use snafu::ResultExt;

use self::core::{ControlCore, CoreParts};
pub use self::folder::FileSource;
use self::folder::FolderOpening;
use self::input::{CoreInput, InputSender, input_queue};
use self::metrics::ControlMetrics;
use crate::process::{ProcessError, RoleFailure, SetupSnafu};
use crate::settings::{ControlRole, GatewaySettings};

/// Stack size of the control thread, in bytes.
const CONTROL_STACK_BYTES: usize = 8 * WORKER_STACK_BYTES;

/// A running control role.
#[derive(Debug)]
pub struct ControlProcess {
    link: LinkServer,
    inputs: InputSender,
    failures: Receiver<RoleFailure>,
    /// Watches the control thread and the storage thread.
    workers: WorkerWatch,
}

impl ControlProcess {
    /// Starts the threads of the role; `files` provides access to the files of its data folder.
    ///
    /// # Errors
    /// A [`ProcessError`] if a port, a link or a thread cannot be set up.
    pub fn start(
        settings: &GatewaySettings,
        role: &ControlRole,
        files: FileSource,
    ) -> Result<Self, ProcessError> {
        let (inputs, queue) = input_queue();
        let (failure, failures) = bounded(1);
        let (running, workers) = worker_watch();
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
            running,
        };
        spawn_worker("control", CONTROL_STACK_BYTES, move || {
            let folder = match parts.open_folder(&queue) {
                FolderOpening::Opened(opened) => Some(opened),
                FolderOpening::NoFolder => None,
                FolderOpening::Stopped => return,
            };
            ControlCore::new(parts, folder).run(&queue);
        })
        .context(SetupSnafu { what: "the control thread" })?;
        Ok(Self { link, inputs, failures, workers })
    }

    /// Channel that receives a failure when the role cannot continue.
    pub fn failures(&self) -> &Receiver<RoleFailure> {
        &self.failures
    }

    /// Stops the role's threads, and waits for at most `limit` until its writes have ended and the
    /// data folder is released.
    pub fn stop(&self, limit: Duration) {
        self.inputs.send(CoreInput::Stop);
        self.link.stop();
        if !self.workers.wait(limit) {
            log::warn!("the control role still uses its data folder; check the disk");
        }
    }
}
