//! Which writes are synced, and the messages that wait for them.

use std::collections::VecDeque;

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{LogIndex, NodeName};

use super::{PeerMessage, StorageWrite, WriteBatch};

/// A batch that was handed out.
#[derive(Debug)]
struct UnsyncedBatch {
    ticket: u64,
    /// End of the log with this batch.
    last: LogIndex,
    since: TimePoint,
}

/// Writes of the core by ticket; a ticket is given to all writes between two drains.
#[derive(Debug, Default)]
pub(super) struct SyncBook {
    writes: Vec<StorageWrite>,
    next_ticket: u64,
    done: u64,
    hard_ticket: u64,
    unsynced: VecDeque<UnsyncedBatch>,
    durable: LogIndex,
    held: Vec<(u64, NodeName, PeerMessage)>,
}

impl SyncBook {
    pub(super) fn new(durable: LogIndex) -> Self {
        Self { next_ticket: 1, durable, ..Self::default() }
    }

    /// Last entry that is synced.
    pub(super) fn durable(&self) -> LogIndex {
        self.durable
    }

    /// The ticket that writes made now will have.
    pub(super) fn current(&self) -> u64 {
        self.next_ticket
    }

    /// The ticket after which the term and vote are synced.
    pub(super) fn hard_ticket(&self) -> u64 {
        self.hard_ticket
    }

    pub(super) fn is_done(&self, ticket: u64) -> bool {
        ticket <= self.done
    }

    /// Adds a write to the batch in preparation.
    pub(super) fn write(&mut self, write: StorageWrite) {
        match (&write, self.writes.last_mut()) {
            // Only the newest term and vote count, and entries join those before them.
            (StorageWrite::Hard(_), Some(last @ StorageWrite::Hard(_))) => *last = write,
            (StorageWrite::Append(more), Some(StorageWrite::Append(entries))) => {
                entries.extend_from_slice(more);
            }
            _ => self.writes.push(write),
        }
    }

    /// Adds a term and vote.
    pub(super) fn write_hard(&mut self, write: StorageWrite) {
        self.hard_ticket = self.next_ticket;
        self.write(write);
    }

    /// Forgets that entries from `index` on were written or synced.
    pub(super) fn truncate(&mut self, index: LogIndex) {
        let last = LogIndex(index.0.saturating_sub(1));
        self.durable = self.durable.min(last);
        for batch in &mut self.unsynced {
            batch.last = batch.last.min(last);
        }
    }

    /// Holds `message` until `ticket` is synced; hands it back when that is the case.
    pub(super) fn hold(
        &mut self,
        ticket: u64,
        to: NodeName,
        message: PeerMessage,
    ) -> Option<(NodeName, PeerMessage)> {
        if self.is_done(ticket) {
            return Some((to, message));
        }
        self.held.push((ticket, to, message));
        None
    }

    /// The batch in preparation, when there is one; `last` is the end of the log.
    pub(super) fn take_batch(&mut self, now: TimePoint, last: LogIndex) -> Option<WriteBatch> {
        if self.writes.is_empty() {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.unsynced.push_back(UnsyncedBatch { ticket, last, since: now });
        Some(WriteBatch { ticket, writes: std::mem::take(&mut self.writes) })
    }

    /// How long the disk has been at work on the oldest batch.
    pub(super) fn waiting(&self, now: TimePoint) -> Duration {
        self.unsynced.front().map_or(Duration::ZERO, |batch| now.since(batch.since))
    }

    /// Takes note that `ticket` and all before it are synced; returns what waited for it.
    pub(super) fn finish(&mut self, ticket: u64) -> Vec<(NodeName, PeerMessage)> {
        self.done = self.done.max(ticket);
        while let Some(batch) = self.unsynced.front().filter(|batch| batch.ticket <= ticket) {
            self.durable = self.durable.max(batch.last);
            self.unsynced.pop_front();
        }
        let (free, held) =
            std::mem::take(&mut self.held).into_iter().partition(|(number, ..)| *number <= ticket);
        self.held = held;
        let free: Vec<(u64, NodeName, PeerMessage)> = free;
        free.into_iter().map(|(_, to, message)| (to, message)).collect()
    }
}
