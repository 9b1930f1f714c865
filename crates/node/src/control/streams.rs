//! Turning link streams into inputs of the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use briartray_link::{CallKind, LinkError, LinkReader, LinkStream, LinkWriter};
use briartray_model::message::{LedgerAnswer, LedgerCall};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Sender, unbounded};
use serde::de::DeserializeOwned;

use super::input::{ControlInput, LedgerPort, SessionId};
use super::shared::ControlShared;

/// How long a silent stream is waited on before a look whether this host still leads. It looks
/// after every message too, and agents and entries send one at least every second.
const READ_WAIT: Duration = Duration::from_secs(5);

static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Serves one accepted stream on a thread of its own.
///
/// Agents and entries are served by the leader alone. Any other host closes their streams at
/// once, and they go on to the next control host.
pub(super) fn accept(
    stream: LinkStream,
    inputs: &Sender<ControlInput>,
    shared: &Arc<ControlShared>,
) {
    let gate = match stream.kind {
        CallKind::Peer => StreamGate { shared: Arc::clone(shared), term: None },
        _ => StreamGate { shared: Arc::clone(shared), term: shared.leading() },
    };
    if stream.kind != CallKind::Peer && gate.term.is_none() {
        return;
    }
    let inputs = inputs.clone();
    let run = move || match stream.kind {
        CallKind::Peer => {
            forward(&stream, &gate, &inputs, |message, _| ControlInput::Peer(message))
        }
        CallKind::Fleet => serve_fleet(&stream, &gate, &inputs),
        CallKind::Watch => serve_watch(&stream, &gate, &inputs),
        CallKind::Ledger => serve_ledger(&stream, &gate, &inputs),
        kind => log::warn!("a {kind} call came to a control host and was closed"),
    };
    if let Err(error) = spawn_worker("control-stream", WORKER_STACK_BYTES, run) {
        log::error!("cannot serve a stream: {error}; raise the thread limit");
    }
}

/// Tells whether a stream may go on: it ends with the leadership under which it was opened.
struct StreamGate {
    shared: Arc<ControlShared>,
    term: Option<u64>,
}

impl StreamGate {
    fn is_open(&self) -> bool {
        self.term.is_none() || self.term == self.shared.leading()
    }
}

fn serve_fleet(stream: &LinkStream, gate: &StreamGate, inputs: &Sender<ControlInput>) {
    let session = SessionId(NEXT_SESSION.fetch_add(1, Ordering::Relaxed));
    let opened = ControlInput::FleetOpened { session, writer: stream.writer.clone() };
    if inputs.send(opened).is_err() {
        return;
    }
    forward(stream, gate, inputs, |report, _| ControlInput::FleetReport { session, report });
    let _ = inputs.send(ControlInput::FleetClosed { session });
}

fn serve_watch(stream: &LinkStream, gate: &StreamGate, inputs: &Sender<ControlInput>) {
    forward(stream, gate, inputs, |request, writer| ControlInput::Watch { request, writer });
}

fn serve_ledger(stream: &LinkStream, gate: &StreamGate, inputs: &Sender<ControlInput>) {
    // The control thread never waits for a stream; answers go out on a thread of their own. There
    // are never more of them than the entry has calls in flight, which it bounds.
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
    forward(stream, gate, inputs, |call: LedgerCall, _| ControlInput::Ledger {
        request: call.request,
        port: LedgerPort { number: call.number, answers: answers.clone() },
    });
}

/// Passes each message on until the stream ends.
fn forward<T: DeserializeOwned>(
    stream: &LinkStream,
    gate: &StreamGate,
    inputs: &Sender<ControlInput>,
    wrap: impl Fn(T, LinkWriter) -> ControlInput,
) {
    while let Some(message) = next_message(&stream.reader, gate) {
        if inputs.send(wrap(message, stream.writer.clone())).is_err() {
            return;
        }
    }
}

fn next_message<T: DeserializeOwned>(reader: &LinkReader, gate: &StreamGate) -> Option<T> {
    while gate.is_open() {
        match reader.receive(READ_WAIT) {
            Ok(message) => return Some(message),
            Err(LinkError::TimedOut) => {}
            Err(LinkError::Ended) => return None,
            Err(error) => {
                log::debug!("a stream to control ended: {error}");
                return None;
            }
        }
    }
    None
}
