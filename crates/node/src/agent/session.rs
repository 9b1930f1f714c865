//! The agent's session with a control host: sends announcements and reports, receives directives.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use briartray_link::{CallKind, LinkClient, LinkError, LinkWriter};
use briartray_model::message::{AgentReport, ControlDirective, HostAnnouncement};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::Sender;

use super::core::AgentInput;

/// Time between two announcements on an open session while nothing changes.
///
/// The connection itself, whose pings are answered without the control thread, shows that the
/// agent is alive; the announcement only refreshes what control knows about the host.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(15);

/// Interval at which it is checked whether there is something new to announce.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Delay before the next control host is tried.
const RECONNECT_WAIT: Duration = Duration::from_millis(300);

/// Sends reports on the current session.
#[derive(Debug, Clone)]
pub(super) struct SessionHandle {
    writer: Arc<Mutex<Option<LinkWriter>>>,
    running: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
}

impl SessionHandle {
    /// Announces from now on that the host is leaving.
    pub(super) fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether a session with a control host is open.
    pub(super) fn is_open(&self) -> bool {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    fn announcement(&self, base: &HostAnnouncement) -> AgentReport {
        AgentReport::Announce(HostAnnouncement { leaving: self.is_leaving(), ..base.clone() })
    }

    /// Sends `report`; `false` when no session is open or its queue is full.
    pub(super) fn report(&self, report: &AgentReport) -> bool {
        let writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner).clone();
        writer.is_some_and(|writer| writer.try_send(report).unwrap_or(false))
    }

    /// Ends the current session; no other is opened.
    pub(super) fn stop(&self) {
        self.running.store(false, Ordering::Relaxed);
        self.set_writer(None);
    }

    fn set_writer(&self, writer: Option<LinkWriter>) {
        *self.writer.lock().unwrap_or_else(PoisonError::into_inner) = writer;
    }
}

/// Starts the thread that keeps a session with one of `peers`, trying them in turn.
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
            run_session(&session, &client, *peer, &announcement, &inputs);
            session.set_writer(None);
            std::thread::sleep(RECONNECT_WAIT);
        }
    })?;
    Ok(handle)
}

/// Opens a session with `peer` and serves it until it fails or is stopped.
fn run_session(
    session: &SessionHandle,
    client: &LinkClient,
    peer: SocketAddr,
    announcement: &HostAnnouncement,
    inputs: &Sender<AgentInput>,
) {
    let (writer, reader) = client.open(peer, CallKind::Fleet);
    // Read before it is announced, so that a change in between causes another announcement.
    let (mut announced_leaving, mut announced_at) = (session.is_leaving(), Instant::now());
    if writer.send(&session.announcement(announcement)).is_err() {
        return;
    }
    session.set_writer(Some(writer.clone()));
    if inputs.send(AgentInput::SessionOpened).is_err() {
        return;
    }
    while session.running.load(Ordering::Relaxed) {
        match reader.receive::<ControlDirective>(CHECK_INTERVAL) {
            Ok(directive) => {
                if inputs.send(AgentInput::Directive(directive)).is_err() {
                    return;
                }
            }
            Err(LinkError::TimedOut) => {
                let leaving = session.is_leaving();
                if leaving == announced_leaving && announced_at.elapsed() < ANNOUNCE_INTERVAL {
                    continue;
                }
                (announced_leaving, announced_at) = (leaving, Instant::now());
                if writer.send(&session.announcement(announcement)).is_err() {
                    return;
                }
            }
            Err(error) => {
                log::info!("session with control ended; trying the next control host: {error}");
                return;
            }
        }
    }
}
