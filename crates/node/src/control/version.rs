//! Versions of the snapshot that entries compare.

use briartray_model::names::TermNumber;

/// Bits for the changes of one term.
const COUNT_BITS: u32 = 32;

/// Grows with every change and with every new leader: the term stands before a count, so two
/// leaders never use one version for different snapshots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SnapshotVersion(u64);

impl SnapshotVersion {
    /// The first version of a leader.
    pub(super) fn first_of(term: TermNumber) -> Self {
        Self((term.0 << COUNT_BITS) + 1)
    }

    pub(super) fn number(self) -> u64 {
        self.0
    }

    /// Marks a change.
    pub(super) fn bump(&mut self) {
        self.0 += 1;
    }
}
