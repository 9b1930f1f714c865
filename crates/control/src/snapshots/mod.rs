//! Snapshots for entries, and the changes between the latest of them.
//!
//! At the design size a whole snapshot has hundreds of kilobytes, and something changes about once
//! a minute: entries that are nearly up to date are sent the changes alone.

use std::collections::VecDeque;

use briartray_model::message::{RoutingSnapshot, SnapshotChange, SnapshotUpdate};

/// Changes that are kept; an entry that is further behind is sent the whole snapshot.
const MAX_CHANGES: usize = 256;

/// The newest snapshot and the way to it.
#[derive(Debug, Default)]
pub struct SnapshotLog {
    newest: RoutingSnapshot,
    changes: VecDeque<SnapshotChange>,
}

impl SnapshotLog {
    /// Version of the newest snapshot; zero for none.
    pub fn version(&self) -> u64 {
        self.newest.version
    }

    /// Takes a newer snapshot.
    pub fn push(&mut self, snapshot: RoutingSnapshot) {
        if self.newest.version != 0 {
            if self.changes.len() == MAX_CHANGES {
                self.changes.pop_front();
            }
            self.changes.push_back(SnapshotChange::between(&self.newest, &snapshot));
        }
        self.newest = snapshot;
    }

    /// Forgets everything: another leader's snapshots are not comparable with these.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// What an entry that has `adopted` lacks; `None` when it is up to date.
    pub fn update(&self, adopted: u64) -> Option<SnapshotUpdate> {
        if adopted == self.newest.version {
            return None;
        }
        let first = self.changes.iter().position(|change| change.from == adopted);
        let Some(first) = first else {
            return Some(SnapshotUpdate::Whole(self.newest.clone()));
        };
        let mut steps = self.changes.iter().skip(first);
        let start = steps.next()?.clone();
        Some(SnapshotUpdate::Changes(steps.fold(start, |way, step| way.followed_by(step))))
    }
}
