//! Versions of the routing snapshot, which entries compare.

use briartray_model::names::TermNumber;

/// Bits of a version that count the changes of one term.
const COUNT_BITS: u32 = 32;

/// A version that grows with every change and every new leader.
///
/// The term is in the high bits and a counter in the low ones, so two leaders never use the same
/// version for different snapshots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SnapshotVersion(u64);

impl SnapshotVersion {
    /// The first version of the leader of `term`.
    pub(super) fn first_of(term: TermNumber) -> Self {
        Self((term.0 << COUNT_BITS) + 1)
    }

    pub(super) fn number(self) -> u64 {
        self.0
    }

    /// Advances the version after a change of the snapshot.
    pub(super) fn bump(&mut self) {
        self.0 += 1;
    }
}
