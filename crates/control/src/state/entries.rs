//! Entries that may hold a rules lease.

use briartray_model::names::NodeName;
use serde::{Deserialize, Serialize};

use super::CommandOutcome;

/// Entries that the roster holds at most.
const MAX_ENTRIES: usize = 8192;

/// The entry roster aggregate.
///
/// It is replicated because a new leader must know whose leases may still run: an entry that it
/// never heard of could decide under old rules while a change is answered as accepted.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EntryRoster {
    nodes: Vec<NodeName>,
}

impl EntryRoster {
    /// Registered entries in name order.
    pub fn nodes(&self) -> &[NodeName] {
        &self.nodes
    }

    /// Registers `node`; a second registration changes nothing.
    pub fn register(&mut self, node: &NodeName) -> CommandOutcome {
        if let Err(position) = self.nodes.binary_search(node) {
            if self.nodes.len() >= MAX_ENTRIES {
                return CommandOutcome::EntriesFull { limit: MAX_ENTRIES };
            }
            self.nodes.insert(position, node.clone());
        }
        CommandOutcome::EntryRegistered { node: node.clone() }
    }

    /// Strikes `node` off.
    pub fn forget(&mut self, node: &NodeName) -> CommandOutcome {
        match self.nodes.binary_search(node) {
            Ok(position) => {
                self.nodes.remove(position);
                CommandOutcome::EntryForgotten { node: node.clone() }
            }
            Err(_) => CommandOutcome::EntryUnknown { node: node.clone() },
        }
    }
}
