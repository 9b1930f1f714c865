//! Which targets are silent.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::GroupId;

use super::{SUSPECT_PERIOD, TargetId, TargetTable};
use crate::entry::TargetLoad;

/// Silence after which a group becomes suspect if its engine is not known.
const DEFAULT_SILENCE_LIMIT: Duration = Duration::from_millis(450);

/// Factor on the silence limit until this entry has received a first byte: the first request waits
/// for a slot and for its prefill.
const FIRST_BYTE_FACTOR: u32 = 2;

/// Upper bound of the silence of a sound group, which may last for a second or so; callers leave their
/// streams after two.
const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1_700);

impl TargetTable {
    /// Records that bytes arrived from `target`.
    pub fn moved(&mut self, now: TimePoint, target: &TargetId) {
        self.load(target).moved(now);
    }

    /// Whether bytes have arrived from `target` after `at`.
    pub fn has_moved_after(&self, at: TimePoint, target: &TargetId) -> bool {
        self.loads.get(target).is_some_and(|load| load.has_moved_after(at))
    }

    /// Makes groups suspect whose silence exceeds their limit, and returns those that were not
    /// suspect before.
    pub fn detect_silent_groups(&mut self, now: TimePoint) -> Vec<GroupId> {
        let mut silent = Vec::new();
        for (target, load) in self.loads.iter_mut() {
            let TargetId::Group(group) = target else { continue };
            if is_silent(now, load) && !load.is_suspect(now) {
                load.suspect_until = Some(now.after(SUSPECT_PERIOD));
                silent.push(*group);
            }
        }
        silent
    }

    /// Whether `target` has been silent for so long that a request there should look for another one. A
    /// target that only refuses new connections is not silent.
    ///
    /// This does not cover targets that accept no new work: a group that closes as planned finishes
    /// its running requests, and a request moved away from it might find no other target.
    pub fn is_silent(&self, now: TimePoint, target: &TargetId) -> bool {
        self.loads.get(target).is_some_and(|load| load.is_suspect(now) && is_silent(now, load))
    }

    /// Whether `target` is a group that the leader has dissolved, and that has been silent for longer
    /// than a sound one. A group that closes as planned stays in the view until its requests have ended.
    pub fn is_lost(&self, now: TimePoint, target: &TargetId) -> bool {
        let TargetId::Group(group) = target else { return false };
        let is_dissolved =
            self.is_settled() && !self.view.groups.iter().any(|known| known.group == *group);
        let silence = self.loads.get(target).and_then(|load| load.silence(now));
        is_dissolved && silence.is_some_and(|silence| silence >= MAX_SOUND_SILENCE)
    }

    /// Whether a request of this entry waits on a suspect target.
    pub fn waits_on_suspect(&self, now: TimePoint) -> bool {
        self.loads.values().any(|load| load.own_requests > 0 && load.is_suspect(now))
    }
}

/// Whether requests have waited for a byte of the target for longer than its limit.
fn is_silent(now: TimePoint, load: &TargetLoad) -> bool {
    let limit = load.silence_limit.unwrap_or(DEFAULT_SILENCE_LIMIT);
    let limit = if load.last_byte_at.is_some() { limit } else { limit * FIRST_BYTE_FACTOR };
    load.silence(now).is_some_and(|silence| silence >= limit)
}
