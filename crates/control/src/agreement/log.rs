//! The in-memory part of the log, after the last compaction.

use std::collections::VecDeque;

use briartray_model::names::{LogIndex, TermNumber};

use super::{EntryPayload, LogEntry};

/// Contiguous log entries after `base`.
#[derive(Debug, Clone, Default)]
pub(super) struct EntryLog {
    base: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl EntryLog {
    /// Creates an empty log that continues after the entry at `base`.
    pub(super) fn after(base: LogIndex, base_term: TermNumber) -> Self {
        Self { base, base_term, ..Self::default() }
    }

    /// Index of the entry before the first one in memory.
    pub(super) fn base(&self) -> LogIndex {
        self.base
    }

    pub(super) fn last_index(&self) -> LogIndex {
        LogIndex(self.base.0 + self.entries.len() as u64)
    }

    pub(super) fn last_term(&self) -> TermNumber {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Approximate memory use of the entries, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of the entry at `index`; `None` if it is not in memory.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries after `index`, in order.
    pub(super) fn entries_after(&self, index: LogIndex) -> impl Iterator<Item = &LogEntry> {
        let covered = index.0.saturating_sub(self.base.0);
        self.entries.iter().skip(usize::try_from(covered).unwrap_or(usize::MAX))
    }

    /// Appends the entry that follows the last one.
    pub(super) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.bytes += entry_bytes(&entry);
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(super) fn truncate(&mut self, index: LogIndex) {
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else { return };
            self.bytes -= entry_bytes(&entry);
        }
    }

    /// Removes all entries up to and including `index`.
    pub(super) fn compact(&mut self, index: LogIndex) {
        while self.base < index {
            let Some(entry) = self.entries.pop_front() else { return };
            self.bytes -= entry_bytes(&entry);
            self.base = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Entries from `from` on, up to `limit` bytes in total but at least one.
    pub(super) fn slice(&self, from: LogIndex, limit: usize) -> Vec<LogEntry> {
        let mut used = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            used += entry_bytes(entry);
            if used > limit && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    /// First index of the run of entries that have the same term as the entry at `index`.
    pub(super) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base && self.term_at(LogIndex(first.0 - 1)) == term {
            first = LogIndex(first.0 - 1);
        }
        first
    }
}

/// Size of an entry as counted against the limits, in bytes.
pub(super) fn entry_bytes(entry: &LogEntry) -> usize {
    const ENTRY_OVERHEAD_BYTES: usize = 64;
    match &entry.payload {
        EntryPayload::Command(data) => ENTRY_OVERHEAD_BYTES + data.len(),
        EntryPayload::Blank | EntryPayload::Admit(_) | EntryPayload::Dismiss(_) => {
            ENTRY_OVERHEAD_BYTES
        }
    }
}
