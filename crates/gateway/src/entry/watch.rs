//! The conversation of an entry with the leading control host.
//!
//! Two threads hold one stream: reports go out, notices come in. A host that does not lead names
//! the leader it knows; one that does not confirm a report in time is left for the next one.

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

/// Reports that may wait to be sent.
const REPORT_QUEUE: usize = 16;

/// Time to connect to a control host, a few ways between far regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two control hosts that are tried one after the other.
const NEXT_HOST: Duration = Duration::from_millis(60);

/// What the traffic thread is told.
pub(super) enum WatchEvent {
    /// News of a control host.
    Notice(EntryNotice),
    /// A stream was opened; a report is wanted.
    Opened,
}

/// Starts the conversation.
///
/// # Errors
/// A `ProcessError` when a thread cannot be had.
pub(super) fn start(
    settings: &GatewaySettings,
) -> Result<(Sender<EntryReport>, mpsc::UnboundedReceiver<WatchEvent>), ProcessError> {
    let (reports, queue) = bounded(REPORT_QUEUE);
    let (events, receiver) = mpsc::unbounded_channel();
    let link =
        ClientSettings { token: settings.link_token.clone(), connect_timeout: CONNECT_TIMEOUT };
    let client = LinkClient::start("control-link", link)?;
    let talk = ControlTalk {
        client,
        settings: settings.clone(),
        hosts: settings.seed_names(),
        next: 0,
        rounds: 0,
        leader: None,
        queue,
        events,
    };
    spawn_worker("control-talk", WORKER_STACK_BYTES, move || talk.run())
        .context(SetupSnafu { what: "the thread that talks to control" })?;
    Ok((reports, receiver))
}

/// Hands events to the traffic thread's state, and reports at a steady pace.
pub(super) async fn follow(state: Rc<EntryState>, mut events: mpsc::UnboundedReceiver<WatchEvent>) {
    let mut reported = tokio::time::Instant::now();
    loop {
        let pause = state.report_interval();
        tokio::select! {
            event = events.recv() => match event {
                Some(WatchEvent::Notice(notice)) => state.adopt(notice),
                Some(WatchEvent::Opened) => {
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

struct ControlTalk {
    client: LinkClient,
    settings: GatewaySettings,
    hosts: Vec<NodeName>,
    /// Position of the host that is tried next.
    next: usize,
    /// Times that all hosts were tried without a word of a leader.
    rounds: u32,
    leader: Option<NodeName>,
    queue: Receiver<EntryReport>,
    events: mpsc::UnboundedSender<WatchEvent>,
}

/// Why a stream was left.
enum TalkEnd {
    /// The traffic thread is gone.
    Stopped,
    /// The host does not lead, or does not answer.
    Next,
}

impl ControlTalk {
    fn run(mut self) {
        let clock = ClockReader::start();
        loop {
            let began = clock.now();
            let Some((host, wait)) = self.next_host(began) else { return };
            let Some(address) = self.settings.link_address(&host) else { continue };
            let (writer, reader) = self.client.open(address, CallKind::Routing);
            log::debug!("asking the control host at {address}");
            if self.events.send(WatchEvent::Opened).is_err() {
                return;
            }
            if matches!(self.talk(&host, &writer, &reader, &clock, wait), TalkEnd::Stopped) {
                return;
            }
            std::thread::sleep(NEXT_HOST.saturating_sub(clock.now().since(began)));
        }
    }

    /// The leader that was named last, or the next of the known hosts, and how long it is waited for.
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

    fn talk(
        &mut self,
        host: &NodeName,
        writer: &LinkWriter,
        reader: &LinkReader,
        clock: &ClockReader,
        mut wait: AnswerTimeout,
    ) -> TalkEnd {
        loop {
            for report in self.queue.try_iter() {
                if writer.try_send(&report).is_err() {
                    return TalkEnd::Next;
                }
                wait.report_sent(clock.now());
            }
            match reader.receive::<EntryNotice>(POLL) {
                Ok(notice) => {
                    wait.heard(&notice);
                    if notice.leads {
                        self.rounds = 0;
                    }
                    if self.take(host, notice).is_none() {
                        return TalkEnd::Stopped;
                    }
                    if self.leader.is_some() {
                        return TalkEnd::Next;
                    }
                }
                Err(LinkError::TimedOut) => {}
                Err(error) => {
                    log::debug!("the control host {host} is left: {error}");
                    return TalkEnd::Next;
                }
            }
            if wait.is_expired(clock.now()) {
                return TalkEnd::Next;
            }
        }
    }

    /// Passes a notice on; `None` when the traffic thread is gone.
    fn take(&mut self, host: &NodeName, notice: EntryNotice) -> Option<()> {
        merge_hosts(&mut self.hosts, notice.control.clone());
        self.leader = notice.leader.clone().filter(|leader| leader != host);
        if notice.leader.is_some() {
            return Some(());
        }
        self.events.send(WatchEvent::Notice(notice)).ok()
    }
}

/// Longest wait for a notice before reports are looked for.
const POLL: Duration = Duration::from_millis(20);
