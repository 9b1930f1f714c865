//! Turns the messages of link streams into inputs of the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use briartray_link::{CallKind, LinkError, LinkReader, LinkStream, LinkWriter};
use briartray_model::message::{LedgerAnswer, LedgerCall};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Sender, unbounded};
use serde::de::DeserializeOwned;

use super::input::{ControlInput, LedgerResponder, SessionId};
use super::shared::ControlShared;

/// Timeout of one read, after which it is checked whether this host still leads.
///
/// This is also checked after every message; entries send one at least about every second.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Serves one accepted stream on its own thread.
///
/// Only the leader serves agents and entries. Other hosts close their streams at once, and the
/// clients try the next control host.
pub(super) fn accept(
    stream: LinkStream,
    inputs: &Sender<ControlInput>,
    shared: &Arc<ControlShared>,
) {
    let guard = match stream.kind {
        CallKind::Peer => LeadershipGuard { shared: Arc::clone(shared), term: None },
        _ => LeadershipGuard { shared: Arc::clone(shared), term: shared.leading() },
    };
    if stream.kind != CallKind::Peer && guard.term.is_none() {
        return;
    }
    let inputs = inputs.clone();
    let run = move || match stream.kind {
        CallKind::Peer => {
            forward(&stream, &guard, &inputs, |message, _| ControlInput::Peer(message))
        }
        CallKind::Fleet => serve_fleet(&stream, &guard, &inputs),
        CallKind::Watch => serve_watch(&stream, &guard, &inputs),
        CallKind::Ledger => serve_ledger(&stream, &guard, &inputs),
        kind => log::warn!("closed a {kind} stream, which a control host does not serve"),
    };
    if let Err(error) = spawn_worker("control-stream", WORKER_STACK_BYTES, run) {
        log::error!("cannot serve a stream: {error}; raise the thread limit");
    }
}

/// Limits a stream to the term of leadership in which it was opened; streams of other control
/// hosts have no limit.
struct LeadershipGuard {
    shared: Arc<ControlShared>,
    term: Option<u64>,
}

impl LeadershipGuard {
    fn is_current(&self) -> bool {
        self.term.is_none() || self.term == self.shared.leading()
    }
}

fn serve_fleet(stream: &LinkStream, guard: &LeadershipGuard, inputs: &Sender<ControlInput>) {
    let session = SessionId(NEXT_SESSION.fetch_add(1, Ordering::Relaxed));
    let opened = ControlInput::FleetOpened { session, writer: stream.writer.clone() };
    if inputs.send(opened).is_err() {
        return;
    }
    forward(stream, guard, inputs, |report, _| ControlInput::FleetReport { session, report });
    let _ = inputs.send(ControlInput::FleetClosed { session });
}

fn serve_watch(stream: &LinkStream, guard: &LeadershipGuard, inputs: &Sender<ControlInput>) {
    forward(stream, guard, inputs, |request, writer| ControlInput::Watch { request, writer });
}

fn serve_ledger(stream: &LinkStream, guard: &LeadershipGuard, inputs: &Sender<ControlInput>) {
    // A separate thread sends the answers, so that the control thread never waits for a stream.
    // The channel needs no bound: the entry limits its calls in flight.
    let (answers, queue) = unbounded::<LedgerAnswer>();
    let writer = stream.writer.clone();
    let send_all = move || {
        while let Ok(answer) = queue.recv() {
            if writer.send(&answer).is_err() {
                return;
            }
        }
    };
    if let Err(error) = spawn_worker("ledger-answers", WORKER_STACK_BYTES, send_all) {
        log::error!("cannot serve a ledger stream: {error}; raise the thread limit");
        return;
    }
    forward(stream, guard, inputs, |call: LedgerCall, _| ControlInput::Ledger {
        request: call.request,
        responder: LedgerResponder { number: call.number, answers: answers.clone() },
    });
}

/// Sends each message as an input to the control thread until the stream ends.
fn forward<T: DeserializeOwned>(
    stream: &LinkStream,
    guard: &LeadershipGuard,
    inputs: &Sender<ControlInput>,
    to_input: impl Fn(T, LinkWriter) -> ControlInput,
) {
    while let Some(message) = next_message(&stream.reader, guard) {
        if inputs.send(to_input(message, stream.writer.clone())).is_err() {
            return;
        }
    }
}

fn next_message<T: DeserializeOwned>(reader: &LinkReader, guard: &LeadershipGuard) -> Option<T> {
    while guard.is_current() {
        match reader.receive(READ_TIMEOUT) {
            Ok(message) => return Some(message),
            Err(LinkError::TimedOut) => {}
            Err(LinkError::Ended) => return None,
            Err(error) => {
                log::debug!("a stream to this control host failed: {error}");
                return None;
            }
        }
    }
    None
}
