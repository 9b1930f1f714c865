//! Test fixture: the simulated disk of a control host.

use briartray_control::agreement::{LogSnapshot, RecoveredState, StorageWrite, WriteBatch};
use briartray_model::TimePoint;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Longest time of a write and sync in steps, unless a test changes it.
pub const SYNC_STEPS: u32 = 4;

/// A simulated disk: synced contents, and batches that are not synced yet.
pub struct TestDisk {
    pub synced: RecoveredState,
    pub queued: Vec<(TimePoint, WriteBatch)>,
    /// A batch is synced after fewer steps than this.
    pub sync_steps: u32,
}

impl Default for TestDisk {
    fn default() -> Self {
        Self { synced: RecoveredState::default(), queued: Vec::new(), sync_steps: SYNC_STEPS }
    }
}

impl TestDisk {
    /// Stores the batches that are due; returns their tickets.
    pub fn finish_due(&mut self, now: TimePoint) -> Vec<u64> {
        let mut tickets = Vec::new();
        while self.queued.first().is_some_and(|(at, _)| *at <= now) {
            let (_, batch) = self.queued.remove(0);
            tickets.push(batch.ticket);
            batch.writes.into_iter().for_each(|change| write(&mut self.synced, change));
        }
        tickets
    }

    /// Stores a random number of whole batches and drops the others.
    pub fn keep_batches(&mut self, random: &mut ChaCha8Rng) {
        let queued = std::mem::take(&mut self.queued);
        let kept = random.random_range(0..=queued.len());
        let kept = queued.into_iter().take(kept).flat_map(|(_, batch)| batch.writes);
        kept.for_each(|change| write(&mut self.synced, change));
    }

    /// Stores a random number of writes and drops the others. Each write is synced before the next one
    /// begins, so at most one is torn; of a torn append, the first entries are kept.
    pub fn keep_writes(&mut self, random: &mut ChaCha8Rng) {
        let queued = std::mem::take(&mut self.queued);
        let writes: Vec<StorageWrite> =
            queued.into_iter().flat_map(|(_, batch)| batch.writes).collect();
        let kept = random.random_range(0..=writes.len());
        for (position, change) in writes.into_iter().enumerate().take(kept + 1) {
            match change {
                change if position < kept => write(&mut self.synced, change),
                StorageWrite::Append(mut entries) => {
                    entries.truncate(random.random_range(0..=entries.len()));
                    write(&mut self.synced, StorageWrite::Append(entries));
                }
                _ => {}
            }
        }
    }
}

/// Applies a write to the contents of a simulated disk.
fn write(synced: &mut RecoveredState, change: StorageWrite) {
    match change {
        StorageWrite::Founding(seats) => synced.founding = Some(seats),
        StorageWrite::Hard(hard) => synced.hard = hard,
        StorageWrite::Truncate(index) => synced.entries.retain(|entry| entry.index < index),
        StorageWrite::Append(entries) => synced.entries.extend(entries),
        StorageWrite::Snapshot { snapshot, keep_after } => {
            synced.entries.retain(|entry| entry.index > keep_after);
            keep(synced, snapshot);
        }
        StorageWrite::Install(snapshot) => {
            synced.entries.clear();
            keep(synced, snapshot);
        }
    }
}

fn keep(synced: &mut RecoveredState, snapshot: LogSnapshot) {
    synced.snapshot = Some(snapshot);
}
