//! Links to the other control hosts, with one stream and one thread per host. Hosts are added while
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

/// Maximum number of queued messages per host; the consensus protocol resends what is dropped.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Connect timeout for other control hosts: a few round trips between distant regions. A host that
/// is starting does not respond at all, and a longer timeout would delay the first votes after a
/// power loss.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Message queues to the other control hosts.
#[derive(Debug)]
pub(super) struct PeerLinks {
    client: LinkClient,
    settings: GatewaySettings,
    queues: SortedTable<NodeName, Sender<CoreMessage>>,
}

impl PeerLinks {
    /// Starts the link client, without any connections yet.
    ///
    /// # Errors
    /// A [`ProcessError`] if a thread cannot be started.
    pub(super) fn start(settings: &GatewaySettings) -> Result<Self, ProcessError> {
        let link =
            ClientSettings { token: settings.link_token.clone(), connect_timeout: CONNECT_TIMEOUT };
        let client = LinkClient::start("core-link", link)?;
        Ok(Self { client, settings: settings.clone(), queues: SortedTable::new() })
    }

    /// Queues `message` for the host; drops it if the queue is full or cannot be created.
    pub(super) fn send(&mut self, to: &NodeName, message: CoreMessage) {
        if !self.queues.contains_key(to) && !self.connect(to) {
            return;
        }
        if let Some(queue) = self.queues.get(to) {
            let _ = queue.try_send(message);
        }
    }

    /// Closes the links to hosts for which `keep` returns `false`.
    pub(super) fn retain(&mut self, keep: impl Fn(&NodeName) -> bool) {
        self.queues.retain(|node, _| keep(node));
    }

    fn connect(&mut self, to: &NodeName) -> bool {
        let Some(address) = self.settings.link_address(to) else { return false };
        let (sender, queue) = bounded(MAX_QUEUED_MESSAGES);
        let client = self.client.clone();
        let started = spawn_worker("peer", WORKER_STACK_BYTES, move || {
            forward_messages(&client, address, CallKind::Core, &queue)
        });
        if let Err(error) = started {
            log::error!(
                "cannot start a thread for the link to {to}: {error}; raise the thread limit"
            );
            return false;
        }
        self.queues.insert(to.clone(), sender);
        true
    }
}
