//! Entries that may hold a rules lease.

use briartray_model::SortedTable;
use briartray_model::lease::LeaseTerms;
use briartray_model::names::NodeName;
use serde::{Deserialize, Serialize};

use super::CommandOutcome;

/// Entries that the roster holds at most.
const MAX_ENTRIES: usize = 8192;

/// The entry roster aggregate.
///
/// It is replicated because a new leader must know whose leases may still run: an entry that it
/// never heard of could decide under old rules while a change is answered as accepted. The terms
/// are those of the registration, so that leaders with other settings reckon with them too.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EntryRoster {
    nodes: SortedTable<NodeName, LeaseTerms>,
}

impl EntryRoster {
    /// Registered entries with their terms, in name order.
    pub fn registered(&self) -> Vec<(NodeName, LeaseTerms)> {
        self.nodes.iter().map(|(node, terms)| (node.clone(), *terms)).collect()
    }

    /// Registers `node`; a second registration changes nothing.
    pub fn register(&mut self, node: &NodeName, terms: LeaseTerms) -> CommandOutcome {
        if !self.nodes.contains_key(node) {
            if self.nodes.len() >= MAX_ENTRIES {
                return CommandOutcome::EntriesFull { limit: MAX_ENTRIES };
            }
            self.nodes.insert(node.clone(), terms);
        }
        CommandOutcome::EntryRegistered { node: node.clone() }
    }

    /// Strikes `node` off.
    pub fn forget(&mut self, node: &NodeName) -> CommandOutcome {
        let node = node.clone();
        match self.nodes.remove(&node) {
            Some(_) => CommandOutcome::EntryForgotten { node },
            None => CommandOutcome::EntryUnknown { node },
        }
    }
}
