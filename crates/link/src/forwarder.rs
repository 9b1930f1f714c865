//! Forwarding queued messages to one process, over a new stream whenever one breaks.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel::Receiver;
use serde::Serialize;

use crate::{CallKind, LinkClient};

/// Delay before a new stream replaces a broken one.
const REOPEN_DELAY: Duration = Duration::from_millis(100);

/// Sends the messages from `queue` to `address` over streams of `kind`, until the queue is closed.
///
/// After a stream breaks, the messages queued until then are dropped: the protocols on top resend
/// what is still needed, and old messages would only delay new ones.
pub fn forward_messages<T: Serialize>(
    client: &LinkClient,
    address: SocketAddr,
    kind: CallKind,
    queue: &Receiver<T>,
) {
    while let Ok(first) = queue.recv() {
        let (writer, reader) = client.open(address, kind);
        let mut sent = writer.send(&first);
        while sent.is_ok() {
            let Ok(message) = queue.recv() else { return };
            sent = writer.send(&message);
        }
        drop(reader);
        log::debug!(
            "the {kind} stream to {address} broke; opening a new one with the next message"
        );
        std::thread::sleep(REOPEN_DELAY);
        let waited = queue.len();
        queue.try_iter().take(waited).for_each(drop);
    }
}
