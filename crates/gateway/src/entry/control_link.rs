//! The link from an entry to the leading control host.
//!
//! One thread sends reports and receives notices over a stream. A host that does not lead names the
//! leader it knows. If a host does not confirm a report in time, the thread tries the next one.

use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::entry::AnswerTimeout;
use briartray_fleet::message::{EntryNotice, EntryReport};
use briartray_link::{CallKind, ClientSettings, LinkClient, LinkError, LinkReader, LinkWriter};
use briartray_model::TimePoint;
use briartray_model::names::NodeName;
use briartray_node::ClockReader;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, bounded};
use snafu::ResultExt;
use tokio::sync::mpsc;

use super::state::{EntryState, merge_hosts};
use crate::process::{ProcessError, SetupSnafu};
use crate::settings::GatewaySettings;

/// Maximum number of queued reports.
const MAX_QUEUED_REPORTS: usize = 16;

/// Connect timeout for control hosts: a few round trips between distant regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Minimum interval between connections to successive control hosts.
const HOST_INTERVAL: Duration = Duration::from_millis(60);

/// Event for the traffic thread.
pub(super) enum ControlEvent {
    /// Notice from a control host.
    Notice(EntryNotice),
    /// A stream was opened; the traffic thread should send a report.
    Opened,
}

/// Starts the link thread.
///
/// # Errors
/// A [`ProcessError`] if the link or its thread cannot be set up.
pub(super) fn start(
    settings: &GatewaySettings,
) -> Result<(Sender<EntryReport>, mpsc::UnboundedReceiver<ControlEvent>), ProcessError> {
    let (reports, queue) = bounded(MAX_QUEUED_REPORTS);
    let (events, receiver) = mpsc::unbounded_channel();
    let link =
        ClientSettings { token: settings.link_token.clone(), connect_timeout: CONNECT_TIMEOUT };
    let client = LinkClient::start("control-link", link)?;
    let session = ControlSession {
        client,
        settings: settings.clone(),
        hosts: settings.seed_names(),
        next: 0,
        rounds: 0,
        leader: None,
        queue,
        events,
    };
    spawn_worker("control-talk", WORKER_STACK_BYTES, move || session.run())
        .context(SetupSnafu { what: "the control link thread" })?;
    Ok((reports, receiver))
}

/// Applies events to the state of the traffic thread, and sends reports at regular intervals.
pub(super) async fn process_events(
    state: Rc<EntryState>,
    mut events: mpsc::UnboundedReceiver<ControlEvent>,
) {
    let mut reported = tokio::time::Instant::now();
    loop {
        let pause = state.next_report_pause();
        tokio::select! {
            event = events.recv() => match event {
                Some(ControlEvent::Notice(notice)) => state.apply_notice(notice),
                Some(ControlEvent::Opened) => {
                    state.begin_leader();
                    state.send_report();
                }
                None => return,
            },
            () = tokio::time::sleep_until(reported + pause) => {
                state.send_report();
                reported = tokio::time::Instant::now();
            }
        }
    }
}

struct ControlSession {
    client: LinkClient,
    settings: GatewaySettings,
    hosts: Vec<NodeName>,
    /// Index of the host to try next.
    next: usize,
    /// Rounds through all hosts without finding a leader.
    rounds: u32,
    leader: Option<NodeName>,
    queue: Receiver<EntryReport>,
    events: mpsc::UnboundedSender<ControlEvent>,
}

/// Reason why a stream was closed.
enum SessionEnd {
    /// The traffic thread has ended.
    Stopped,
    /// The host does not lead, does not respond, or the stream broke.
    NextHost,
}

impl ControlSession {
    fn run(mut self) {
        let clock = ClockReader::start();
        loop {
            let began = clock.now();
            let Some((host, wait)) = self.next_host(began) else { return };
            let Some(address) = self.settings.link_address(&host) else { continue };
            let (writer, reader) = self.client.open(address, CallKind::Routing);
            log::debug!("opening stream to control host at {address}");
            if self.events.send(ControlEvent::Opened).is_err() {
                return;
            }
            if matches!(self.run_stream(&host, &writer, &reader, &clock, wait), SessionEnd::Stopped)
            {
                return;
            }
            std::thread::sleep(HOST_INTERVAL.saturating_sub(clock.now().since(began)));
        }
    }

    /// The leader named last or the next known host, and the time to wait for its notices; `None`
    /// if no host is known.
    fn next_host(&mut self, now: TimePoint) -> Option<(NodeName, AnswerTimeout)> {
        if let Some(leader) = self.leader.take() {
            return Some((leader, AnswerTimeout::new(now)));
        }
        if self.next >= self.hosts.len() {
            self.next = 0;
            self.rounds += 1;
        }
        let host = self.hosts.get(self.next)?.clone();
        self.next += 1;
        Some((host, AnswerTimeout::searching(now, self.rounds)))
    }

    fn run_stream(
        &mut self,
        host: &NodeName,
        writer: &LinkWriter,
        reader: &LinkReader,
        clock: &ClockReader,
        mut wait: AnswerTimeout,
    ) -> SessionEnd {
        loop {
            for report in self.queue.try_iter() {
                if writer.try_send(&report).is_err() {
                    return SessionEnd::NextHost;
                }
                wait.report_sent(clock.now());
            }
            match reader.receive::<EntryNotice>(RECEIVE_TIMEOUT) {
                Ok(notice) => {
                    wait.response_received(&notice);
                    if notice.leads {
                        self.rounds = 0;
                    }
                    if self.forward_notice(host, notice).is_none() {
                        return SessionEnd::Stopped;
                    }
                    if self.leader.is_some() {
                        return SessionEnd::NextHost;
                    }
                }
                Err(LinkError::TimedOut) => {}
                Err(error) => {
                    log::debug!(
                        "stream to control host {host} failed; trying the next host: {error}"
                    );
                    return SessionEnd::NextHost;
                }
            }
            if wait.is_expired(clock.now()) {
                return SessionEnd::NextHost;
            }
        }
    }

    /// Forwards a notice to the traffic thread; `None` if that thread has ended.
    fn forward_notice(&mut self, host: &NodeName, notice: EntryNotice) -> Option<()> {
        merge_hosts(&mut self.hosts, notice.control.clone());
        self.leader = notice.leader.clone().filter(|leader| leader != host);
        if notice.leader.is_some() {
            return Some(());
        }
        self.events.send(ControlEvent::Notice(notice)).ok()
    }
}

/// Maximum wait for a notice before queued reports are sent.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(20);
