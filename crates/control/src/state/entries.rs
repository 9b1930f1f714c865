//! Registered entries, which may hold a rules lease.

use briartray_model::SortedTable;
use briartray_model::lease::LeaseTerms;
use briartray_model::names::NodeName;
use serde::{Deserialize, Serialize};

use super::CommandOutcome;

/// Maximum number of registered entries.
const MAX_ENTRIES: usize = 8192;

/// Registered entries with their lease terms.
///
/// The roster is replicated because a new leader must know which entries may hold a lease. An entry
/// that it does not know could decide under old rules while a change is answered as accepted. The
/// terms of the registration are kept, so that leaders with other settings apply the same terms.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EntryRoster {
    nodes: SortedTable<NodeName, LeaseTerms>,
}

impl EntryRoster {
    /// Registered entries with their terms, in name order.
    pub fn registered(&self) -> Vec<(NodeName, LeaseTerms)> {
        self.nodes.iter().map(|(node, terms)| (node.clone(), *terms)).collect()
    }

    /// Registers `node`; an existing registration keeps its terms.
    pub fn register(&mut self, node: &NodeName, terms: LeaseTerms) -> CommandOutcome {
        if !self.nodes.contains_key(node) {
            if self.nodes.len() >= MAX_ENTRIES {
                return CommandOutcome::EntriesFull { limit: MAX_ENTRIES };
            }
            self.nodes.insert(node.clone(), terms);
        }
        CommandOutcome::EntryRegistered { node: node.clone() }
    }

    /// Removes the registration of `node`.
    pub fn forget(&mut self, node: &NodeName) -> CommandOutcome {
        let node = node.clone();
        match self.nodes.remove(&node) {
            Some(_) => CommandOutcome::EntryForgotten { node },
            None => CommandOutcome::EntryUnknown { node },
        }
    }
}
