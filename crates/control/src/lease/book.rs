//! The leader's view of rules leases: adopted revisions and lease expiry of each entry.

use briartray_model::names::{NodeName, RevisionNumber};
use briartray_model::{SortedTable, TimePoint};

use super::LeaseTerms;

/// Lease of one registered entry.
#[derive(Debug, Clone, Copy, PartialEq)]
struct EntryLease {
    /// Terms from the registration; every leader grants and expires leases by these.
    terms: LeaseTerms,
    adopted: RevisionNumber,
    granted_at: Option<TimePoint>,
}

/// Leases of all registered entries, as tracked by one leader.
///
/// The book is not replicated, so a new leader does not know which leases the previous leader
/// granted. It assumes that every registered entry holds a full lease from the time of the
/// election: the previous leader's grants were confirmed by a majority before that time.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseBook {
    elected_at: TimePoint,
    entries: SortedTable<NodeName, EntryLease>,
}

impl LeaseBook {
    /// Creates the book of a leader elected at `now`, given the registered entries.
    pub fn new(now: TimePoint, registered: &[(NodeName, LeaseTerms)]) -> Self {
        let mut book = Self { elected_at: now, entries: SortedTable::new() };
        for (node, terms) in registered {
            book.register(node, *terms);
        }
        book
    }

    /// Adds an entry whose registration is committed; an entry already present keeps its terms.
    pub fn register(&mut self, node: &NodeName, terms: LeaseTerms) {
        self.entries.get_or_insert_with(node.clone(), || EntryLease {
            terms,
            adopted: RevisionNumber::default(),
            granted_at: None,
        });
    }

    /// Whether `node` is registered; only registered entries may be granted a lease.
    pub fn is_registered(&self, node: &NodeName) -> bool {
        self.entries.contains_key(node)
    }

    /// Removes an entry that has stopped, or that an operator has declared stopped.
    pub fn forget(&mut self, node: &NodeName) {
        self.entries.remove(node);
    }

    /// Records the revision that an entry reports as adopted.
    ///
    /// The revision may decrease: a restarted entry begins without rules, and the higher revision
    /// from before the restart must not count.
    pub fn adopted(&mut self, node: &NodeName, revision: RevisionNumber) {
        if let Some(lease) = self.entries.get_mut(node) {
            lease.adopted = revision;
        }
    }

    /// Records a grant sent at `now` and returns its terms; `None` if the entry is not registered.
    pub fn grant(&mut self, now: TimePoint, node: &NodeName) -> Option<LeaseTerms> {
        let lease = self.entries.get_mut(node)?;
        lease.granted_at = Some(now);
        Some(lease.terms)
    }

    /// Entries that may still decide at `now` under rules older than `revision`.
    pub fn waiting_for(&self, now: TimePoint, revision: RevisionNumber) -> Vec<NodeName> {
        self.entries
            .iter()
            .filter(|(_, lease)| lease.adopted < revision && self.may_decide(now, lease))
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Whether no entry may decide at `now` under rules older than `revision`.
    pub fn in_force(&self, now: TimePoint, revision: RevisionNumber) -> bool {
        self.entries.values().all(|lease| lease.adopted >= revision || !self.may_decide(now, lease))
    }

    /// Each entry with its adopted revision and whether it may decide at `now`.
    pub fn entry_leases(&self, now: TimePoint) -> Vec<(NodeName, RevisionNumber, bool)> {
        self.entries
            .iter()
            .map(|(node, lease)| (node.clone(), lease.adopted, self.may_decide(now, lease)))
            .collect()
    }

    fn may_decide(&self, now: TimePoint, lease: &EntryLease) -> bool {
        let granted_at = lease.granted_at.unwrap_or(self.elected_at);
        lease.terms.max_duration().is_none_or(|max_duration| now < granted_at.after(max_duration))
    }
}
