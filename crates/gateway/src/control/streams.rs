//! Accepted link streams, and the forwarding of their messages to the control thread.

use std::time::Duration;

use briartray_fleet::message::EntryReport;
use briartray_link::{CallKind, LinkError, LinkStream, LinkWriter};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use serde::de::DeserializeOwned;

use super::input::{CoreInput, CoreMessage, InputSender};

/// Timeout of a single read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of consecutive read timeouts after which a stream is closed. Entries report four times a
/// second, and control hosts send a hello twice a second.
const MAX_SILENT_READS: u32 = 3;

/// Serves an accepted stream on its own thread.
pub(super) fn accept(stream: LinkStream, inputs: &InputSender) {
    let inputs = inputs.clone();
    let run = move || match stream.kind {
        CallKind::Core => {
            forward(&stream, &inputs, |message: CoreMessage, _| CoreInput::Core(message));
        }
        CallKind::Routing => {
            let wrap = |report: EntryReport, writer| CoreInput::Report { report, writer };
            forward(&stream, &inputs, wrap);
        }
        kind => log::warn!("control hosts accept no {kind} streams; closing the stream"),
    };
    if let Err(error) = spawn_worker("control-stream", WORKER_STACK_BYTES, run) {
        log::error!("cannot start a thread for a stream: {error}; raise the thread limit");
    }
}

/// Forwards messages to the control thread until the stream ends or has been silent for too long.
fn forward<T: DeserializeOwned>(
    stream: &LinkStream,
    inputs: &InputSender,
    wrap: impl Fn(T, LinkWriter) -> CoreInput,
) {
    let mut silent_reads = 0;
    while silent_reads < MAX_SILENT_READS {
        match stream.reader.receive(READ_TIMEOUT) {
            Ok(message) => {
                silent_reads = 0;
                if !inputs.send(wrap(message, stream.writer.clone())) {
                    return;
                }
            }
            Err(LinkError::TimedOut) => silent_reads += 1,
            Err(LinkError::Ended) => return,
            Err(error) => return log::debug!("stream failed; closing it: {error}"),
        }
    }
}
