//! Carrying queued messages to one process for as long as its links last.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel::Receiver;
use serde::Serialize;

use crate::{CallKind, LinkClient};

/// Wait before a broken stream is opened again.
const REOPEN_WAIT: Duration = Duration::from_millis(100);

/// Carries what comes out of `queue` to `address` over streams of `kind`, until the queue is closed.
///
/// After a stream has broken, what waited meanwhile is dropped: the protocols above send again what
/// still counts, and old messages would only hold up new ones.
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
        log::debug!("the {kind} stream to {address} broke");
        std::thread::sleep(REOPEN_WAIT);
        let waited = queue.len();
        queue.try_iter().take(waited).for_each(drop);
    }
}
