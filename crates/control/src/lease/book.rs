//! The leader's side: what each registered entry has adopted, and until when it may decide.

use briartray_model::names::{NodeName, RevisionNumber};
use briartray_model::{SortedTable, TimePoint};

use super::LeaseTerms;

/// What the leader knows of one registered entry.
#[derive(Debug, Clone, Copy, PartialEq)]
struct EntryStanding {
    /// Terms of its registration; every leader grants and reckons with these.
    terms: LeaseTerms,
    adopted: RevisionNumber,
    granted: Option<TimePoint>,
}

/// Leases of every registered entry, as one leader knows them.
///
/// The book is not replicated. A new leader does not know which leases the old one granted, so it
/// reckons with a full lease of every registered entry from the moment of its election: grants of
/// the old leader were confirmed by a majority before that moment.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseBook {
    elected: TimePoint,
    entries: SortedTable<NodeName, EntryStanding>,
}

impl LeaseBook {
    /// The book of a leader elected at `now`, with the entries that are registered.
    pub fn new(now: TimePoint, registered: &[(NodeName, LeaseTerms)]) -> Self {
        let mut book = Self { elected: now, entries: SortedTable::new() };
        for (node, terms) in registered {
            book.register(node, *terms);
        }
        book
    }

    /// Adds an entry whose registration is committed; a known one keeps its terms.
    pub fn register(&mut self, node: &NodeName, terms: LeaseTerms) {
        self.entries.get_or_insert_with(node.clone(), || EntryStanding {
            terms,
            adopted: RevisionNumber::default(),
            granted: None,
        });
    }

    /// Whether `node` is registered; only then may it be granted a lease.
    pub fn is_registered(&self, node: &NodeName) -> bool {
        self.entries.contains_key(node)
    }

    /// Strikes off an entry: it stopped, or an operator vouches for it.
    pub fn forget(&mut self, node: &NodeName) {
        self.entries.remove(node);
    }

    /// Records what an entry says it has adopted.
    ///
    /// An entry that restarted starts from nothing and says so; the older, higher number must not
    /// count for it.
    pub fn adopted(&mut self, node: &NodeName, revision: RevisionNumber) {
        if let Some(standing) = self.entries.get_mut(node) {
            standing.adopted = revision;
        }
    }

    /// Records a grant that is answered at `now` and returns its terms; `None` when the entry is
    /// not registered.
    pub fn grant(&mut self, now: TimePoint, node: &NodeName) -> Option<LeaseTerms> {
        let standing = self.entries.get_mut(node)?;
        standing.granted = Some(now);
        Some(standing.terms)
    }

    /// Entries that may decide at `now` under rules older than `revision`.
    pub fn waiting_for(&self, now: TimePoint, revision: RevisionNumber) -> Vec<NodeName> {
        self.entries
            .iter()
            .filter(|(_, standing)| standing.adopted < revision && self.may_decide(now, standing))
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Whether every entry that decides at `now` does so under `revision` or a later one.
    pub fn in_force(&self, now: TimePoint, revision: RevisionNumber) -> bool {
        self.entries
            .values()
            .all(|standing| standing.adopted >= revision || !self.may_decide(now, standing))
    }

    /// Entries with what they adopted and whether they may decide at `now`.
    pub fn entry_leases(&self, now: TimePoint) -> Vec<(NodeName, RevisionNumber, bool)> {
        self.entries
            .iter()
            .map(|(node, standing)| {
                (node.clone(), standing.adopted, self.may_decide(now, standing))
            })
            .collect()
    }

    fn may_decide(&self, now: TimePoint, standing: &EntryStanding) -> bool {
        let granted = standing.granted.unwrap_or(self.elected);
        standing.terms.longest().is_none_or(|longest| now < granted.after(longest))
    }
}
