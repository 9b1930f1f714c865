//! The agent's stream to control: announcements and reports up, directives down.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use briartray_link::{CallKind, LinkClient, LinkError, LinkWriter};
use briartray_model::message::{AgentReport, ControlDirective, HostAnnouncement};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::Sender;

use super::core::AgentInput;

/// Time between two announcements on an open session when nothing changes.
///
/// That the agent is there is shown by the connection itself, whose pings are answered below the
/// control thread; the announcement only renews what control knows of the host.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(15);

/// Time between two looks whether there is something new to announce.
const LOOK_INTERVAL: Duration = Duration::from_millis(1000);

/// Wait before the next control host is tried.
const RECONNECT_WAIT: Duration = Duration::from_millis(300);

/// Sends reports on the current session.
#[derive(Debug, Clone)]
pub(super) struct SessionHandle {
    writer: Arc<Mutex<Option<LinkWriter>>>,
    running: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
}

impl SessionHandle {
    /// Announces from now on that the host is on its way out.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether there is a session with a control host.
    pub(super) fn is_open(&self) -> bool {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    fn announcement(&self, said: &HostAnnouncement) -> AgentReport {
        AgentReport::Announce(HostAnnouncement { leaving: self.is_leaving(), ..said.clone() })
    }

    /// Sends `report`; `false` when there is no session that takes it now.
    pub(super) fn report(&self, report: &AgentReport) -> bool {
        let writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner).clone();
        writer.is_some_and(|writer| writer.try_send(report).unwrap_or(false))
    }

    /// Ends the session.
    pub(super) fn stop(&self) {
        self.running.store(false, Ordering::Relaxed);
        self.set(None);
    }

    fn set(&self, writer: Option<LinkWriter>) {
        *self.writer.lock().unwrap_or_else(PoisonError::into_inner) = writer;
    }
}

/// Starts the session's thread.
pub(super) fn start(
    client: LinkClient,
    peers: Vec<SocketAddr>,
    announcement: HostAnnouncement,
    inputs: Sender<AgentInput>,
) -> std::io::Result<SessionHandle> {
    let handle = SessionHandle {
        writer: Arc::new(Mutex::new(None)),
        running: Arc::new(AtomicBool::new(true)),
        leaving: Arc::new(AtomicBool::new(false)),
    };
    let session = handle.clone();
    spawn_worker("session", WORKER_STACK_BYTES, move || {
        for peer in peers.iter().cycle() {
            if !session.running.load(Ordering::Relaxed) {
                return;
            }
            hold(&session, &client, *peer, &announcement, &inputs);
            session.set(None);
            std::thread::sleep(RECONNECT_WAIT);
        }
    })?;
    Ok(handle)
}

/// Keeps one session open until it fails.
fn hold(
    session: &SessionHandle,
    client: &LinkClient,
    peer: SocketAddr,
    announcement: &HostAnnouncement,
    inputs: &Sender<AgentInput>,
) {
    let (writer, reader) = client.open(peer, CallKind::Fleet);
    // Looked at before it is announced: a change in between is then announced once more.
    let (mut said_leaving, mut announced) = (session.is_leaving(), Instant::now());
    if writer.send(&session.announcement(announcement)).is_err() {
        return;
    }
    session.set(Some(writer.clone()));
    if inputs.send(AgentInput::SessionOpened).is_err() {
        return;
    }
    while session.running.load(Ordering::Relaxed) {
        match reader.receive::<ControlDirective>(LOOK_INTERVAL) {
            Ok(directive) => {
                if inputs.send(AgentInput::Directive(directive)).is_err() {
                    return;
                }
            }
            Err(LinkError::TimedOut) => {
                let leaving = session.is_leaving();
                if leaving == said_leaving && announced.elapsed() < ANNOUNCE_INTERVAL {
                    continue;
                }
                (said_leaving, announced) = (leaving, Instant::now());
                if writer.send(&session.announcement(announcement)).is_err() {
                    return;
                }
            }
            Err(error) => {
                log::info!("session with control ended: {error}");
                return;
            }
        }
    }
}
