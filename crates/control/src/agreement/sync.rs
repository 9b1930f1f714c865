//! Tracks which writes are synced, and defers messages until they are.

use std::collections::VecDeque;

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{LogIndex, NodeName};

use super::{PeerMessage, StorageWrite, WriteBatch};

/// A batch that was handed out for writing.
#[derive(Debug)]
struct UnsyncedBatch {
    ticket: u64,
    /// Last log index as of this batch.
    last: LogIndex,
    handed_out_at: TimePoint,
}

/// Tracks writes by ticket; all writes between two drains share one ticket.
#[derive(Debug, Default)]
pub(super) struct SyncTracker {
    writes: Vec<StorageWrite>,
    next_ticket: u64,
    synced_ticket: u64,
    hard_state_ticket: u64,
    unsynced: VecDeque<UnsyncedBatch>,
    durable: LogIndex,
    deferred: Vec<(u64, NodeName, PeerMessage)>,
}

impl SyncTracker {
    pub(super) fn new(durable: LogIndex) -> Self {
        Self { next_ticket: 1, durable, ..Self::default() }
    }

    /// Index of the last synced entry.
    pub(super) fn durable(&self) -> LogIndex {
        self.durable
    }

    /// Ticket of the batch that is being collected.
    pub(super) fn pending_ticket(&self) -> u64 {
        self.next_ticket
    }

    /// Ticket of the last write of term and vote.
    pub(super) fn hard_state_ticket(&self) -> u64 {
        self.hard_state_ticket
    }

    pub(super) fn is_synced(&self, ticket: u64) -> bool {
        ticket <= self.synced_ticket
    }

    /// Adds a write to the batch that is being collected.
    pub(super) fn write(&mut self, write: StorageWrite) {
        match (&write, self.writes.last_mut()) {
            // A newer term and vote replaces the previous one; entries are merged with earlier
            // ones.
            (StorageWrite::Hard(_), Some(last @ StorageWrite::Hard(_))) => *last = write,
            (StorageWrite::Append(more), Some(StorageWrite::Append(entries))) => {
                entries.extend_from_slice(more);
            }
            _ => self.writes.push(write),
        }
    }

    /// Adds a write of term and vote.
    pub(super) fn write_hard_state(&mut self, write: StorageWrite) {
        self.hard_state_ticket = self.next_ticket;
        self.write(write);
    }

    /// Marks entries from `index` on as neither written nor synced.
    pub(super) fn truncate(&mut self, index: LogIndex) {
        let last = LogIndex(index.0.saturating_sub(1));
        self.durable = self.durable.min(last);
        for batch in &mut self.unsynced {
            batch.last = batch.last.min(last);
        }
    }

    /// Defers `message` until `ticket` is synced; returns it at once if that is already the case.
    pub(super) fn defer(
        &mut self,
        ticket: u64,
        to: NodeName,
        message: PeerMessage,
    ) -> Option<(NodeName, PeerMessage)> {
        if self.is_synced(ticket) {
            return Some((to, message));
        }
        self.deferred.push((ticket, to, message));
        None
    }

    /// Takes the collected batch, if not empty; `last` is the last index of the log.
    pub(super) fn take_batch(&mut self, now: TimePoint, last: LogIndex) -> Option<WriteBatch> {
        if self.writes.is_empty() {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.unsynced.push_back(UnsyncedBatch { ticket, last, handed_out_at: now });
        Some(WriteBatch { ticket, writes: std::mem::take(&mut self.writes) })
    }

    /// Time since the oldest unsynced batch was handed out.
    pub(super) fn oldest_wait(&self, now: TimePoint) -> Duration {
        self.unsynced.front().map_or(Duration::ZERO, |batch| now.since(batch.handed_out_at))
    }

    /// Marks all batches up to `ticket` as synced; returns the messages that waited for them.
    pub(super) fn mark_synced(&mut self, ticket: u64) -> Vec<(NodeName, PeerMessage)> {
        self.synced_ticket = self.synced_ticket.max(ticket);
        while let Some(batch) = self.unsynced.front().filter(|batch| batch.ticket <= ticket) {
            self.durable = self.durable.max(batch.last);
            self.unsynced.pop_front();
        }
        let (released, deferred) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|(number, ..)| *number <= ticket);
        self.deferred = deferred;
        let released: Vec<(u64, NodeName, PeerMessage)> = released;
        released.into_iter().map(|(_, to, message)| (to, message)).collect()
    }
}
