//! What a leader knows of one other host, and how much may be on the way to it.

use std::collections::VecDeque;

use briartray_model::TimePoint;
use briartray_model::names::LogIndex;

use super::FolderId;

/// Bytes of entries on the way to one host without an answer.
const MAX_IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;

/// Messages on the way to one host without an answer.
const MAX_IN_FLIGHT: usize = 8;

/// How far one other host is.
#[derive(Debug)]
pub(super) struct PeerProgress {
    pub(super) folder: Option<FolderId>,
    pub(super) next: LogIndex,
    pub(super) matched: LogIndex,
    /// Entries are sent ahead of answers; otherwise one message at a time finds the common point.
    pub(super) streaming: bool,
    pub(super) in_flight: VecDeque<(LogIndex, usize)>,
    pub(super) in_flight_bytes: usize,
    pub(super) asked_at: Option<TimePoint>,
    pub(super) heard_at: TimePoint,
    pub(super) round: u64,
    pub(super) piece: Option<u64>,
    pub(super) admitting: Option<FolderId>,
    /// The host counts as gone for good; another one may be added in its stead.
    pub(super) absent: bool,
}

impl PeerProgress {
    /// A host of which nothing is known, as of `now`; `first` is the next entry to be appended.
    pub(super) fn unknown(now: TimePoint, first: LogIndex) -> Self {
        Self {
            folder: None,
            next: first,
            matched: LogIndex::default(),
            streaming: false,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            asked_at: None,
            heard_at: now,
            round: 0,
            piece: None,
            admitting: None,
            absent: false,
        }
    }

    pub(super) fn forget_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    pub(super) fn acknowledge(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(index.next());
        while let Some((last, bytes)) = self.in_flight.front().copied() {
            if last > index {
                break;
            }
            self.in_flight_bytes -= bytes;
            self.in_flight.pop_front();
        }
    }

    pub(super) fn has_room(&self) -> bool {
        if !self.streaming {
            return self.asked_at.is_none();
        }
        self.in_flight.len() < MAX_IN_FLIGHT && self.in_flight_bytes < MAX_IN_FLIGHT_BYTES
    }
}
