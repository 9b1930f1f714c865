//! What entries see of the groups: the only witness of a group that control hosts cannot reach.
//!
//! An endpoint that is cut off from the control hosts may serve callers all the same. Its group
//! must not be taken apart then: a host would be in two groups at once. Bytes that reach any
//! entry prove that the whole group works, since it stands still when one member is missing.
//!
//! Each entry's newest word counts, for a little longer than the time between two of its reports.
//! Ages of bytes alone would not do: a byte that is 100 ms old when it is told looks as old as a
//! stall by the time of the next report.
//!
//! The same reports tell how many requests each entry has on each group. Their sum is what an entry
//! cannot know by itself: a group tells its load with its answers, and each of many entries has an
//! answer of a group every few seconds only.

use std::time::Duration;

use briartray_model::names::{GroupId, NodeName};
use briartray_model::{SortedTable, TimePoint};

use crate::entry::report_pause;
use crate::message::{GroupLoad, GroupPulse};

/// How long an entry's word counts beyond the time between two of its reports.
const WORD_SLACK: Duration = Duration::from_millis(100);

/// How long an entry's finding that a group is silent counts.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// Groups whose load is told in one answer to a report: about 1 KB, four times a second, of the 10 KB
/// a second that a host may spend on control. 2,800 groups are told within three seconds.
const LOADS_TOLD: usize = 256;

/// Stands for an entry in the book: an entry is looked up in every group that it names, some hundred times a
/// report, and names are slow to compare.
type EntryNumber = u32;

/// The newest word of each entry on each group.
#[derive(Debug, Clone, Default)]
pub struct PulseBook {
    /// By group first: each question is about one group, and a fleet has many.
    seen: SortedTable<GroupId, GroupSights>,
    /// Entries that were heard, with the numbers that they have here.
    numbers: SortedTable<NodeName, EntryNumber>,
    /// Number of the next entry that is heard for the first time.
    next_number: EntryNumber,
    /// Entries that report.
    entries: usize,
}

/// The newest word of each entry on one group.
#[derive(Debug, Clone, Default)]
struct GroupSights {
    by_entry: SortedTable<EntryNumber, GroupSight>,
    /// Requests of all entries, kept as a sum: it is told in every answer to a report.
    running: u32,
}

/// What one entry said of one group.
#[derive(Debug, Clone)]
struct GroupSight {
    told: TimePoint,
    quiet: Option<Duration>,
    running: u32,
    suspect: bool,
}

impl PulseBook {
    /// Takes note of how many entries report: the more there are, the less often each does.
    pub fn expect(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Takes all that `entry` saw, and tells which groups it finds silent.
    ///
    /// An entry names what it uses, and has nothing on the groups that its newest report does not name. One
    /// whose reports were lost for a second or two had its last word counted until it used the group again,
    /// and the others took that group for fuller than it was.
    pub fn take(
        &mut self,
        now: TimePoint,
        entry: &NodeName,
        pulses: &[GroupPulse],
    ) -> Vec<GroupId> {
        let number = self.number_of(entry);
        let mut named: Vec<GroupId> = pulses.iter().map(|pulse| pulse.group).collect();
        named.sort_unstable();
        for (group, sights) in self.seen.iter_mut() {
            let Some(sight) = sights.by_entry.get_mut(&number) else { continue };
            if sight.running > 0 && named.binary_search(group).is_err() {
                sights.running -= std::mem::take(&mut sight.running);
            }
        }
        for pulse in pulses {
            self.see(now, number, pulse);
        }
        pulses.iter().filter(|pulse| pulse.suspect).map(|pulse| pulse.group).collect()
    }

    fn see(&mut self, now: TimePoint, entry: EntryNumber, pulse: &GroupPulse) {
        let sight = GroupSight {
            told: now,
            quiet: pulse.quiet_ms.map(Duration::from_millis),
            running: pulse.running,
            suspect: pulse.suspect,
        };
        let sights = self.seen.get_or_insert_with(pulse.group, GroupSights::default);
        let earlier = sights.by_entry.insert(entry, sight);
        sights.running -= earlier.map_or(0, |sight| sight.running);
        sights.running += pulse.running;
    }

    fn number_of(&mut self, entry: &NodeName) -> EntryNumber {
        let next = self.next_number;
        let number = *self.numbers.get_or_insert_with(entry.clone(), || next);
        self.next_number += u32::from(number == next);
        number
    }

    /// Whether some entry had bytes of the group within `limit` of its newest word.
    pub fn is_moving(&self, now: TimePoint, group: GroupId, limit: Duration) -> bool {
        let lasts = report_pause(self.entries) + WORD_SLACK;
        self.sights(group).any(|sight| {
            let fresh = now.since(sight.told) < lasts;
            fresh && !sight.suspect && sight.quiet.is_some_and(|quiet| quiet < limit)
        })
    }

    /// Whether an entry finds the group silent, and none has bytes of it.
    pub fn is_suspect(&self, now: TimePoint, group: GroupId, limit: Duration) -> bool {
        let silent = |sight: &GroupSight| sight.suspect && now.since(sight.told) < SUSPICION;
        !self.is_moving(now, group, limit) && self.sights(group).any(silent)
    }

    /// Forgets every group that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(GroupId) -> bool) {
        self.seen.retain(|group, _| keep(*group));
    }

    /// Forgets what `entry` said: it is gone, and its requests with it.
    pub fn forget(&mut self, entry: &NodeName) {
        let Some(number) = self.numbers.remove(entry) else { return };
        for sights in self.seen.values_mut() {
            let gone = sights.by_entry.remove(&number);
            sights.running -= gone.map_or(0, |sight| sight.running);
        }
    }

    /// What entries other than `entry` have on the groups that any of them told of: all groups, or
    /// the next part of many with each `turn`.
    pub fn loads_beside(&self, entry: &NodeName, turn: u64) -> Vec<GroupLoad> {
        let number = self.numbers.get(entry);
        let load = |(group, sights): (&GroupId, &GroupSights)| {
            let own = number.and_then(|number| sights.by_entry.get(number));
            let own = own.map_or(0, |sight| sight.running);
            GroupLoad { group: *group, others: sights.running - own }
        };
        let turns = self.seen.len().div_ceil(LOADS_TOLD).max(1);
        let turn = usize::try_from(turn % turns as u64).unwrap_or(0);
        self.seen.iter().skip(turn * LOADS_TOLD).take(LOADS_TOLD).map(load).collect()
    }

    fn sights(&self, group: GroupId) -> impl Iterator<Item = &GroupSight> {
        self.seen.get(&group).into_iter().flat_map(|sights| sights.by_entry.values())
    }
}
