//! What is sent to an entry whose snapshot is out of date: only what changed, where that is known.

use crate::names::{GroupId, RevisionNumber};

use super::watch::{GroupRecord, LeavingGroup, RoutingSnapshot};

plain_value! {
    /// A newer snapshot, whole or as changes.
    pub enum SnapshotUpdate {
        /// All of it.
        Whole(RoutingSnapshot),
        /// What is different from a snapshot that the entry has.
        Changes(SnapshotChange),
    }

    /// The way from one snapshot to a later one.
    pub struct SnapshotChange {
        /// Version that it starts from.
        pub from: u64,
        /// Version that it leads to.
        pub to: u64,
        /// The rules, when they are different.
        pub rules: Option<RuleText>,
        /// Groups that are new or different, in id order.
        pub changed: Vec<GroupRecord>,
        /// Groups that are gone, in id order.
        pub gone: Vec<GroupId>,
        /// All leaving marks, when they are different.
        pub leaving: Option<Vec<LeavingGroup>>,
    }

    /// A rule document with its revision.
    pub struct RuleText {
        /// Revision.
        pub revision: RevisionNumber,
        /// The document in YAML.
        pub text: String,
    }
}

impl SnapshotChange {
    /// The way from `earlier` to `later`; both hold their groups in id order.
    pub fn between(earlier: &RoutingSnapshot, later: &RoutingSnapshot) -> Self {
        let (mut changed, mut gone) = (Vec::new(), Vec::new());
        let mut known = earlier.groups.iter().peekable();
        for record in &later.groups {
            while let Some(lost) = known.next_if(|known| known.group < record.group) {
                gone.push(lost.group);
            }
            let same = known.next_if(|known| known.group == record.group) == Some(record);
            if !same {
                changed.push(record.clone());
            }
        }
        gone.extend(known.map(|lost| lost.group));
        let rules_differ = (earlier.revision, &earlier.rules) != (later.revision, &later.rules);
        let rules = RuleText { revision: later.revision, text: later.rules.clone() };
        Self {
            from: earlier.version,
            to: later.version,
            rules: rules_differ.then_some(rules),
            changed,
            gone,
            leaving: (earlier.leaving != later.leaving).then(|| later.leaving.clone()),
        }
    }

    /// This change followed by `next`, as one.
    #[must_use]
    pub fn followed_by(mut self, next: &Self) -> Self {
        self.to = next.to;
        if next.rules.is_some() {
            self.rules.clone_from(&next.rules);
        }
        if next.leaving.is_some() {
            self.leaving.clone_from(&next.leaving);
        }
        self.changed.retain(|record| next.gone.binary_search(&record.group).is_err());
        for record in &next.changed {
            match self.changed.binary_search_by_key(&record.group, |known| known.group) {
                Ok(position) => self.changed[position] = record.clone(),
                Err(position) => self.changed.insert(position, record.clone()),
            }
        }
        self.gone.extend(&next.gone);
        self.gone.retain(|group| !next.changed.iter().any(|record| record.group == *group));
        self.gone.sort();
        self.gone.dedup();
        self
    }
}

impl RoutingSnapshot {
    /// The snapshot after `change`; `None` when the change starts from another version.
    pub fn after(&self, change: &SnapshotChange) -> Option<Self> {
        if change.from != self.version {
            return None;
        }
        let mut next = self.clone();
        next.version = change.to;
        if let Some(rules) = &change.rules {
            next.revision = rules.revision;
            next.rules.clone_from(&rules.text);
        }
        if let Some(leaving) = &change.leaving {
            next.leaving.clone_from(leaving);
        }
        next.groups.retain(|record| change.gone.binary_search(&record.group).is_err());
        for record in &change.changed {
            match next.groups.binary_search_by_key(&record.group, |known| known.group) {
                Ok(position) => next.groups[position] = record.clone(),
                Err(position) => next.groups.insert(position, record.clone()),
            }
        }
        Some(next)
    }
}
