//! The agent role: a small process that runs next to one endpoint.
//!
//! The agent's control thread owns the leases that this host grants and, on the first host of a
//! group, the gate of that group. Threads that serve requests read the gate's state from a
//! snapshot that is replaced atomically.

mod core;
mod crash_detector;
mod endpoint;
mod member;
mod orders;
mod running;
mod serve;
mod session;
mod shared;
mod step_time;

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

/// Capacity of the control thread's input channel.
const INPUT_QUEUE_CAPACITY: usize = 1024;

/// Timeout for connecting to another process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval at which `AgentNode::drain` checks whether work is left.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a leaving host waits for a session with any control host.
const NO_CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle of a running agent role.
pub struct AgentNode {
    link: LinkServer,
    shared: Arc<AgentShared>,
    session: SessionHandle,
    inputs: Sender<AgentInput>,
}

impl AgentNode {
    /// Starts the link port and the threads of the agent.
    ///
    /// # Errors
    /// A `DaemonError` when the port cannot be bound or a thread cannot be started.
    pub fn start(
        settings: &DaemonSettings,
        role: &AgentSettings,
        traces: &TraceHub,
    ) -> Result<Self, DaemonError> {
        let shared = Arc::new(AgentShared::new(role, traces));
        step_time::start(&shared)?;
        let (inputs, queue) = bounded(INPUT_QUEUE_CAPACITY);
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
            initial_announcement(settings, role, &shared, role.announce.unwrap_or(link.address()));
        let peers = settings.cluster.control.iter().map(|peer| peer.link).collect();
        let session = session::start(client.clone(), peers, announcement, inputs.clone())?;
        let orders = orders::start(role.endpoint.clone(), inputs.clone())?;
        let links = AgentLinks { client, session: session.clone(), orders };
        let core = AgentCore::new(Arc::clone(&shared), links, inputs.clone());
        spawn_worker("agent", 4 * WORKER_STACK_BYTES, move || core.run(&queue))?;
        Ok(Self { link, shared, session, inputs })
    }

    /// Address of the link port, to which entries and other agents connect.
    pub fn link_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Leaves as in a planned stop: the group takes no new work and finishes what is running.
    ///
    /// Returns `true` as soon as the host may be shut down, or `false` after `limit`. A host that
    /// does not lead its group is still needed by it, so it waits until control reports that it
    /// may stop.
    pub fn drain(&self, limit: Duration) -> bool {
        let started = Instant::now();
        self.session.announce_leaving();
        self.shared.begin_leaving();
        while started.elapsed() < limit {
            let no_control = !self.session.is_open() && started.elapsed() > NO_CONTROL_TIMEOUT;
            if self.shared.is_idle() && (self.shared.may_stop() || no_control) {
                return true;
            }
            std::thread::sleep(DRAIN_CHECK_INTERVAL);
        }
        false
    }

    /// Stops taking new work, ends the control thread and closes the link port.
    pub fn stop(&self) {
        self.shared.close();
        let _ = self.inputs.send(AgentInput::Stop);
        self.link.stop();
    }
}

fn initial_announcement(
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
        kind => log::warn!("closed a {kind} stream, which an agent does not serve"),
    };
    if let Err(error) = spawn_worker("agent-stream", WORKER_STACK_BYTES, run) {
        log::error!("cannot serve a stream: {error}; raise the thread limit");
    }
}
