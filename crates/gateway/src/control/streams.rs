//! Turning link streams into inputs of the control thread.

use std::time::Duration;

use briartray_fleet::message::EntryReport;
use briartray_link::{CallKind, LinkError, LinkStream, LinkWriter};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use serde::de::DeserializeOwned;

use super::input::{CoreInput, CoreMessage, InputSender};

/// How long a silent stream is waited on at a time.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Silence after which a stream is closed: entries report four times a second, and control hosts
/// greet each other twice a second.
const MAX_SILENT_WAITS: u32 = 3;

/// Serves one accepted stream on a thread of its own.
pub(super) fn accept(stream: LinkStream, inputs: &InputSender) {
    let inputs = inputs.clone();
    let run = move || match stream.kind {
        CallKind::Core => {
            forward(&stream, &inputs, |message: CoreMessage, _| CoreInput::Core(message));
        }
        CallKind::Routing => {
            let wrap = |report: EntryReport, writer| CoreInput::Entry { report, writer };
            forward(&stream, &inputs, wrap);
        }
        kind => log::warn!("a {kind} call came to a control host and was closed"),
    };
    if let Err(error) = spawn_worker("control-stream", WORKER_STACK_BYTES, run) {
        log::error!("cannot serve a stream: {error}; raise the thread limit");
    }
}

/// Passes each message on until the stream ends or stays silent.
fn forward<T: DeserializeOwned>(
    stream: &LinkStream,
    inputs: &InputSender,
    wrap: impl Fn(T, LinkWriter) -> CoreInput,
) {
    let mut silent = 0;
    while silent < MAX_SILENT_WAITS {
        match stream.reader.receive(READ_WAIT) {
            Ok(message) => {
                silent = 0;
                if !inputs.send(wrap(message, stream.writer.clone())) {
                    return;
                }
            }
            Err(LinkError::TimedOut) => silent += 1,
            Err(LinkError::Ended) => return,
            Err(error) => return log::debug!("a stream to control ended: {error}"),
        }
    }
}
