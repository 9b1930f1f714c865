//! Routing snapshots for entries, and the changes between the most recent ones.
//!
//! At the design size, a full snapshot has hundreds of kilobytes while something changes about once
//! a minute, so entries that are almost up to date receive only the changes.

use std::collections::VecDeque;

use briartray_model::message::{RoutingSnapshot, SnapshotChange, SnapshotUpdate};

/// Number of changes kept; an entry that is further behind receives the full snapshot.
const MAX_CHANGES: usize = 256;

/// The newest snapshot and the most recent changes that led to it.
#[derive(Debug, Default)]
pub struct SnapshotLog {
    newest: RoutingSnapshot,
    changes: VecDeque<SnapshotChange>,
}

impl SnapshotLog {
    /// Version of the newest snapshot; zero if there is none.
    pub fn version(&self) -> u64 {
        self.newest.version
    }

    /// Appends a newer snapshot.
    pub fn push(&mut self, snapshot: RoutingSnapshot) {
        if self.newest.version != 0 {
            if self.changes.len() == MAX_CHANGES {
                self.changes.pop_front();
            }
            self.changes.push_back(SnapshotChange::between(&self.newest, &snapshot));
        }
        self.newest = snapshot;
    }

    /// Clears the log, because snapshots of different leaders are not comparable.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Update for an entry that has version `adopted`; `None` if it is up to date.
    pub fn update(&self, adopted: u64) -> Option<SnapshotUpdate> {
        if adopted == self.newest.version {
            return None;
        }
        let first = self.changes.iter().position(|change| change.from == adopted);
        let Some(first) = first else {
            return Some(SnapshotUpdate::Whole(self.newest.clone()));
        };
        let mut later_changes = self.changes.iter().skip(first);
        let first_change = later_changes.next()?.clone();
        Some(SnapshotUpdate::Changes(
            later_changes.fold(first_change, |merged, change| merged.followed_by(change)),
        ))
    }
}
