//! Links to the other control hosts, one stream and one thread for each; hosts become known while
//! the process runs.

use std::time::Duration;

use briartray_link::{CallKind, ClientSettings, LinkClient, forward_messages};
use briartray_model::SortedTable;
use briartray_model::names::NodeName;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Sender, bounded};

use super::input::CoreMessage;
use crate::process::ProcessError;
use crate::settings::GatewaySettings;

/// Messages that may wait for one host; the agreement makes up for those that find no room.
const PEER_QUEUE: usize = 64;

/// Time to connect to another control host, a few ways between far regions. One that is being started
/// does not answer at all, and a longer wait for it would swallow the first votes after a power loss.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Queues to the other control hosts.
#[derive(Debug)]
pub(super) struct PeerLinks {
    client: LinkClient,
    settings: GatewaySettings,
    queues: SortedTable<NodeName, Sender<CoreMessage>>,
}

impl PeerLinks {
    /// Links to nobody yet.
    ///
    /// # Errors
    /// A `ProcessError` when a thread cannot be had.
    pub(super) fn start(settings: &GatewaySettings) -> Result<Self, ProcessError> {
        let link =
            ClientSettings { token: settings.link_token.clone(), connect_timeout: CONNECT_TIMEOUT };
        let client = LinkClient::start("core-link", link)?;
        Ok(Self { client, settings: settings.clone(), queues: SortedTable::new() })
    }

    /// Sends `message` unless the host is too far behind.
    pub(super) fn send(&mut self, to: &NodeName, message: CoreMessage) {
        if !self.queues.contains_key(to) && !self.connect(to) {
            return;
        }
        if let Some(queue) = self.queues.get(to) {
            let _ = queue.try_send(message);
        }
    }

    /// Ends the links to hosts that `keep` does not name.
    pub(super) fn retain(&mut self, keep: impl Fn(&NodeName) -> bool) {
        self.queues.retain(|node, _| keep(node));
    }

    fn connect(&mut self, to: &NodeName) -> bool {
        let Some(address) = self.settings.link_address(to) else { return false };
        let (sender, queue) = bounded(PEER_QUEUE);
        let client = self.client.clone();
        let started = spawn_worker("peer", WORKER_STACK_BYTES, move || {
            forward_messages(&client, address, CallKind::Core, &queue)
        });
        if let Err(error) = started {
            log::error!("no thread for the link to {to}: {error}; raise the thread limit");
            return false;
        }
        self.queues.insert(to.clone(), sender);
        true
    }
}
