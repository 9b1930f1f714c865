//! The agent role: one small process beside one endpoint.
//!
//! The control thread owns the host's promise and the gate of its group; traffic threads read the
//! gate's state as a snapshot that is swapped as a whole.

mod core;
mod crash_watch;
mod endpoint;
mod member;
mod orders;
mod pace;
mod running;
mod serve;
mod session;
mod shared;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briartray_link::{CallKind, ClientSettings, LinkClient, LinkServer, LinkStream};
use briartray_model::message::HostAnnouncement;
use briartray_model::settings::{AgentSettings, DaemonSettings};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Sender, bounded};

use self::core::{AgentCore, AgentInput, AgentLinks};
use self::session::SessionHandle;
use self::shared::AgentShared;
use crate::DaemonError;
use crate::trace::TraceHub;

/// Inputs that may wait for the control thread.
const INPUT_QUEUE: usize = 1024;

/// Time to connect to another process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time between two looks at the work that is left.
const DRAIN_CHECK: Duration = Duration::from_millis(50);

/// How long a host that is leaving waits for a control host to answer at all.
const ALONE_WAIT: Duration = Duration::from_secs(10);

/// A running agent role.
pub struct AgentNode {
    link: LinkServer,
    shared: Arc<AgentShared>,
    session: SessionHandle,
    inputs: Sender<AgentInput>,
}

impl AgentNode {
    /// Starts the agent beside its endpoint.
    ///
    /// # Errors
    /// A `DaemonError` when its port cannot be used.
    pub fn start(
        settings: &DaemonSettings,
        role: &AgentSettings,
        traces: &TraceHub,
    ) -> Result<Self, DaemonError> {
        let shared = Arc::new(AgentShared::new(role, traces));
        pace::start(&shared)?;
        let (inputs, queue) = bounded(INPUT_QUEUE);
        let handler = {
            let (shared, inputs) = (Arc::clone(&shared), inputs.clone());
            Box::new(move |stream| accept(stream, &shared, &inputs))
        };
        let link = LinkServer::start(role.link, &settings.cluster.token, handler)?;
        let client = LinkClient::start(
            "agent-link",
            ClientSettings {
                token: settings.cluster.token.clone(),
                connect_timeout: CONNECT_TIMEOUT,
            },
        )?;
        let announcement =
            announce(settings, role, &shared, role.announce.unwrap_or(link.address()));
        let peers = settings.cluster.control.iter().map(|peer| peer.link).collect();
        let session = session::start(client.clone(), peers, announcement, inputs.clone())?;
        let orders = orders::start(role.endpoint.clone(), inputs.clone())?;
        let links = AgentLinks { client, session: session.clone(), orders };
        let core = AgentCore::new(Arc::clone(&shared), links, inputs.clone());
        spawn_worker("agent", 4 * WORKER_STACK_BYTES, move || core.run(&queue))?;
        Ok(Self { link, shared, session, inputs })
    }

    /// Where other processes connect.
    pub fn link_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Leaves as by a planned stop: the group takes no new work and finishes what runs. Returns
    /// when the host may be shut down, or after `limit`; `false` when work was left.
    ///
    /// A host that leads no group still holds its group together, so it stays until control says
    /// that the group has no work left.
    pub fn drain(&self, limit: Duration) -> bool {
        let started = Instant::now();
        self.session.leave();
        self.shared.leave_group();
        while started.elapsed() < limit {
            let alone = !self.session.is_open() && started.elapsed() > ALONE_WAIT;
            if self.shared.is_idle() && (self.shared.may_stop() || alone) {
                return true;
            }
            std::thread::sleep(DRAIN_CHECK);
        }
        false
    }

    /// Stops the role.
    pub fn stop(&self) {
        self.shared.close();
        let _ = self.inputs.send(AgentInput::Stop);
        self.link.stop();
    }
}

fn announce(
    settings: &DaemonSettings,
    role: &AgentSettings,
    shared: &AgentShared,
    link: SocketAddr,
) -> HostAnnouncement {
    HostAnnouncement {
        host: role.host.clone(),
        zone: settings.zone.clone(),
        domain: role.domain.clone(),
        provider: role.provider.clone(),
        service: role.endpoint.service.clone(),
        accelerators: role.accelerators,
        link,
        checks_fencing: role.endpoint.checks_fencing,
        incarnation: shared.incarnation,
        leaving: false,
    }
}

fn accept(stream: LinkStream, shared: &Arc<AgentShared>, inputs: &Sender<AgentInput>) {
    let (shared, inputs) = (Arc::clone(shared), inputs.clone());
    let run = move || match stream.kind {
        CallKind::Dispatch => serve::serve(&stream, &shared),
        CallKind::Member => member::serve(&stream, &inputs),
        kind => log::warn!("a {kind} call came to an agent and was closed"),
    };
    if let Err(error) = spawn_worker("agent-stream", WORKER_STACK_BYTES, run) {
        log::error!("cannot serve a stream: {error}; raise the thread limit");
    }
}
