//! The prompt parts whose requests an entry has seen complete.

use std::time::Duration;

use briartray_model::message::PartCompletion;
use briartray_model::names::PartId;
use briartray_model::{SortedTable, TimePoint};

use super::reported_crash::EVIDENCE_LIFETIME;

/// Maximum number of parts that are kept.
const MAX_PARTS: usize = 2_048;

/// When the last run of each prompt part was completed.
///
/// Entries keep this for all parts, not only for suspects: a part that completed runs before it was
/// involved in crashes is probably sound.
#[derive(Debug, Clone, Default)]
pub struct CompletedParts {
    ended: SortedTable<PartId, TimePoint>,
}

impl CompletedParts {
    /// Records that a run of a request with `parts` completed at `now`.
    pub fn record(&mut self, now: TimePoint, parts: &[PartId]) {
        for part in parts {
            if self.ended.len() >= MAX_PARTS && !self.ended.contains_key(part) {
                self.evict_half();
            }
            self.ended.insert(*part, now);
        }
    }

    /// Time since the last completed run of `part`; `None` if none is known that still counts.
    pub fn age(&self, now: TimePoint, part: PartId) -> Option<Duration> {
        let age = now.since(*self.ended.get(&part)?);
        (age < EVIDENCE_LIFETIME).then_some(age)
    }

    /// The last completed runs of those of `parts` that have any.
    pub fn completions(&self, now: TimePoint, parts: &[PartId]) -> Vec<PartCompletion> {
        let completion = |part: &PartId| {
            let age = self.age(now, *part)?;
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            Some(PartCompletion { part: *part, age_ms })
        };
        parts.iter().filter_map(completion).collect()
    }

    /// Removes the half of the parts whose runs completed earliest.
    fn evict_half(&mut self) {
        let mut times: Vec<TimePoint> = self.ended.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_PARTS / 2);
        let median = *median;
        self.ended.retain(|_, at| *at > median);
    }
}
