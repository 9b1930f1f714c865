//! The agent's stream to control: announcements and reports up, directives down.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use briartray_link::{CallKind, LinkClient, LinkError, LinkWriter};
use briartray_model::message::{AgentReport, ControlDirective, HostAnnouncement};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::Sender;

use super::core::AgentInput;

/// Time between announcements on an open session.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1000);

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

    /// Whether there is a session with a control host.
    pub(super) fn is_open(&self) -> bool {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    fn announcement(&self, said: &HostAnnouncement) -> AgentReport {
        let leaving = self.leaving.load(Ordering::Relaxed);
        AgentReport::Announce(HostAnnouncement { leaving, ..said.clone() })
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
    if writer.send(&session.announcement(announcement)).is_err() {
        return;
    }
    session.set(Some(writer.clone()));
    if inputs.send(AgentInput::SessionOpened).is_err() {
        return;
    }
    while session.running.load(Ordering::Relaxed) {
        match reader.receive::<ControlDirective>(ANNOUNCE_INTERVAL) {
            Ok(directive) => {
                if inputs.send(AgentInput::Directive(directive)).is_err() {
                    return;
                }
            }
            Err(LinkError::TimedOut) => {
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
