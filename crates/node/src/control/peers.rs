//! Links to the other control hosts, with one stream and one thread per host.

use std::time::Duration;

use briartray_control::agreement::PeerMessage;
use briartray_link::{CallKind, ClientSettings, LinkClient, forward_messages};
use briartray_model::SortedTable;
use briartray_model::names::NodeName;
use briartray_model::settings::ControlPeer;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Sender, bounded};

use crate::DaemonError;

/// Capacity of one peer's queue; the agreement recovers from messages that are dropped.
const PEER_QUEUE_CAPACITY: usize = 64;

/// Timeout for connecting to another control host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Outgoing message queues of the other control hosts.
#[derive(Debug)]
pub(super) struct PeerLinks {
    queues: SortedTable<NodeName, Sender<PeerMessage>>,
}

impl PeerLinks {
    /// Starts a sender thread for each of `peers` except `own`.
    pub(super) fn start(
        token: &str,
        own: &NodeName,
        peers: &[ControlPeer],
    ) -> Result<Self, DaemonError> {
        let settings = ClientSettings { token: token.to_owned(), connect_timeout: CONNECT_TIMEOUT };
        let client = LinkClient::start("peer-link", settings)?;
        let mut queues = SortedTable::new();
        for peer in peers.iter().filter(|peer| peer.node != *own) {
            let (sender, queue) = bounded(PEER_QUEUE_CAPACITY);
            let (client, address) = (client.clone(), peer.link);
            spawn_worker("peer", WORKER_STACK_BYTES, move || {
                forward_messages(&client, address, CallKind::Peer, &queue)
            })?;
            queues.insert(peer.node.clone(), sender);
        }
        Ok(Self { queues })
    }

    /// Queues `message`, or drops it if the peer's queue is full.
    pub(super) fn send(&self, to: &NodeName, message: PeerMessage) {
        if let Some(queue) = self.queues.get(to) {
            let _ = queue.try_send(message);
        }
    }
}
