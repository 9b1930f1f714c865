//! Observations of groups by entries: the only evidence on a group that control hosts cannot reach.
//!
//! An endpoint that is cut off from the control hosts may still serve callers. Its group must not
//! be ended then, since a host would be in two groups at once. Bytes that reach any entry prove
//! that the whole group works, since it stalls when one member is missing.
//!
//! The newest observation of each entry counts, for slightly longer than the time between two of
//! its reports. The age of the last byte alone would not do: a byte that is 100 ms old in one
//! report looks as old as a stall by the time of the next one.
//!
//! The same reports give the number of running requests of each entry on each group. An entry
//! cannot know their sum by itself: a group tells its load with its answers, and each of many
//! entries gets an answer of a group only every few seconds. The time to prefill the prompts without
//! a first event is summed in the same way; it ends within a second, so it counts only while the
//! reports of its entry are current.

use std::time::Duration;

use briartray_model::names::{GroupId, NodeName};
use briartray_model::{SortedTable, TimePoint};

use crate::entry::report_interval;
use crate::message::{GroupActivity, GroupLoad};

/// Time that an observation counts beyond the interval between two reports of its entry.
const REPORT_GRACE: Duration = Duration::from_millis(100);

/// Time that a report of a silent group counts.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(1_500);

/// Intervals between two reports of an entry for which its unread prompts count: one report may be
/// late or lost.
const UNREAD_LIFETIME_INTERVALS: u32 = 2;

/// Groups whose load is sent in one answer to a report: 1 to 2 KB, four times a second, of the 10 KB
/// a second that a host may spend on control. 2,800 groups are covered within three seconds.
const LOADS_PER_ANSWER: usize = 256;

/// Short key for an entry: a report looks its entry up in some hundred groups, and names are slow
/// to compare.
type EntryNumber = u32;

/// Newest observations of all entries on all groups.
#[derive(Debug, Clone, Default)]
pub struct ActivityTracker {
    /// Keyed by group first: each query is about one group of many.
    groups: SortedTable<GroupId, GroupObservations>,
    /// Keys of the known entries.
    entry_numbers: SortedTable<NodeName, EntryNumber>,
    /// Key of the next new entry.
    next_number: EntryNumber,
    /// Number of entries that report.
    entry_count: usize,
}

/// Newest observation of each entry on one group.
#[derive(Debug, Clone, Default)]
struct GroupObservations {
    by_entry: SortedTable<EntryNumber, EntryObservation>,
    /// Running requests of all entries, kept as a sum since every answer to a report contains it.
    running: u32,
    /// Time to prefill the unread prompts of all entries, in milliseconds, kept as a sum likewise.
    unread_ms: u64,
}

/// Observation of one group by one entry.
#[derive(Debug, Clone)]
struct EntryObservation {
    reported_at: TimePoint,
    quiet_for: Option<Duration>,
    running: u32,
    /// Time to prefill the prompts without a first event, in milliseconds.
    unread_ms: u32,
    suspect: bool,
}

impl GroupObservations {
    /// Replaces the observation of `entry`, or removes it, and adjusts the sums.
    fn replace(&mut self, entry: EntryNumber, observation: Option<EntryObservation>) {
        if let Some(observation) = &observation {
            self.running += observation.running;
            self.unread_ms += u64::from(observation.unread_ms);
        }
        let earlier = match observation {
            Some(observation) => self.by_entry.insert(entry, observation),
            None => self.by_entry.remove(&entry),
        };
        if let Some(earlier) = earlier {
            self.running -= earlier.running;
            self.unread_ms -= u64::from(earlier.unread_ms);
        }
    }

    /// Removes the requests of `entry` from the sums, but keeps its observation.
    fn clear_requests(&mut self, entry: EntryNumber) {
        let Some(observation) = self.by_entry.get_mut(&entry) else { return };
        self.running -= std::mem::take(&mut observation.running);
        self.unread_ms -= u64::from(std::mem::take(&mut observation.unread_ms));
    }
}

impl ActivityTracker {
    /// Sets the number of entries that report; each reports less often the more there are.
    pub fn set_entry_count(&mut self, entry_count: usize) {
        self.entry_count = entry_count;
    }

    /// Records a report of `entry` and returns the groups that it finds silent.
    ///
    /// A report names all groups that the entry uses; it has no running requests on any other. When
    /// the requests of an entry stayed counted after its reports were lost for a second or two, the
    /// other entries took the group for fuller than it was until this entry used it again.
    pub fn take(
        &mut self,
        now: TimePoint,
        entry: &NodeName,
        activities: &[GroupActivity],
    ) -> Vec<GroupId> {
        let number = self.number_of(entry);
        let mut named: Vec<GroupId> = activities.iter().map(|activity| activity.group).collect();
        named.sort_unstable();
        for (group, observations) in self.groups.iter_mut() {
            let known = observations.by_entry.get(&number);
            let has_requests = known.is_some_and(|known| known.running > 0 || known.unread_ms > 0);
            if has_requests && named.binary_search(group).is_err() {
                observations.clear_requests(number);
            }
        }
        for activity in activities {
            self.record_activity(now, number, activity);
        }
        activities
            .iter()
            .filter(|activity| activity.suspect)
            .map(|activity| activity.group)
            .collect()
    }

    fn record_activity(&mut self, now: TimePoint, entry: EntryNumber, activity: &GroupActivity) {
        let observation = EntryObservation {
            reported_at: now,
            quiet_for: activity.quiet_ms.map(Duration::from_millis),
            running: activity.running,
            unread_ms: activity.unread_ms,
            suspect: activity.suspect,
        };
        let observations =
            self.groups.get_or_insert_with(activity.group, GroupObservations::default);
        observations.replace(entry, Some(observation));
    }

    fn number_of(&mut self, entry: &NodeName) -> EntryNumber {
        let next = self.next_number;
        let number = *self.entry_numbers.get_or_insert_with(entry.clone(), || next);
        self.next_number += u32::from(number == next);
        number
    }

    /// Whether an entry got bytes of the group within `limit` before its newest observation.
    pub fn is_active(&self, now: TimePoint, group: GroupId, limit: Duration) -> bool {
        let lifetime = report_interval(self.entry_count) + REPORT_GRACE;
        self.observations(group).any(|observation| {
            let is_current = now.since(observation.reported_at) < lifetime;
            is_current
                && !observation.suspect
                && observation.quiet_for.is_some_and(|quiet_for| quiet_for < limit)
        })
    }

    /// Whether an entry finds the group silent and no entry gets bytes of it.
    pub fn is_suspect(&self, now: TimePoint, group: GroupId, limit: Duration) -> bool {
        let silent = |observation: &EntryObservation| {
            observation.suspect && now.since(observation.reported_at) < SUSPICION_LIFETIME
        };
        !self.is_active(now, group, limit) && self.observations(group).any(silent)
    }

    /// Removes the groups for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(GroupId) -> bool) {
        self.groups.retain(|group, _| keep(*group));
    }

    /// Removes the observations of `entry` with its running requests when it has left.
    pub fn forget(&mut self, entry: &NodeName) {
        let Some(number) = self.entry_numbers.remove(entry) else { return };
        for observations in self.groups.values_mut() {
            observations.replace(number, None);
        }
    }

    /// Removes unread prompts from the sums that their entries have not confirmed lately. An entry
    /// that is cut off has its prompts read within a second, but is forgotten only after several.
    pub fn expire_unread(&mut self, now: TimePoint) {
        let lifetime = report_interval(self.entry_count) * UNREAD_LIFETIME_INTERVALS;
        for observations in self.groups.values_mut().filter(|known| known.unread_ms > 0) {
            for observation in observations.by_entry.values_mut() {
                if now.since(observation.reported_at) >= lifetime {
                    let unread_ms = std::mem::take(&mut observation.unread_ms);
                    observations.unread_ms -= u64::from(unread_ms);
                }
            }
        }
    }

    /// Running requests and unread prompts of entries other than `entry`, for all observed groups;
    /// when these are many, for one `page` of them.
    pub fn loads_of_others(&self, entry: &NodeName, page: u64) -> Vec<GroupLoad> {
        let number = self.entry_numbers.get(entry);
        let load = |(group, observations): (&GroupId, &GroupObservations)| {
            let own = number.and_then(|number| observations.by_entry.get(number));
            let (running, unread_ms) =
                own.map_or((0, 0), |own| (own.running, u64::from(own.unread_ms)));
            GroupLoad {
                group: *group,
                others: observations.running - running,
                unread_ms: u32::try_from(observations.unread_ms - unread_ms).unwrap_or(u32::MAX),
            }
        };
        let page_count = self.groups.len().div_ceil(LOADS_PER_ANSWER).max(1);
        let page = usize::try_from(page % page_count as u64).unwrap_or(0);
        self.groups.iter().skip(page * LOADS_PER_ANSWER).take(LOADS_PER_ANSWER).map(load).collect()
    }

    fn observations(&self, group: GroupId) -> impl Iterator<Item = &EntryObservation> {
        self.groups.get(&group).into_iter().flat_map(|observations| observations.by_entry.values())
    }
}
