//! Replication progress of one follower, and flow control towards it.

use std::collections::VecDeque;

use briartray_model::TimePoint;
use briartray_model::names::LogIndex;

use super::FolderId;

/// Maximum size of unacknowledged entries per follower, in bytes.
const MAX_IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of unacknowledged messages per follower.
const MAX_IN_FLIGHT: usize = 8;

/// Replication progress of one follower.
#[derive(Debug)]
pub(super) struct PeerProgress {
    pub(super) folder: Option<FolderId>,
    pub(super) next: LogIndex,
    pub(super) matched: LogIndex,
    /// Sends entries without waiting for replies; if `false`, probes one message at a time.
    pub(super) pipelined: bool,
    pub(super) in_flight: VecDeque<(LogIndex, usize)>,
    pub(super) in_flight_bytes: usize,
    pub(super) awaiting_since: Option<TimePoint>,
    pub(super) last_contact: TimePoint,
    pub(super) round: u64,
    pub(super) snapshot_offset: Option<u64>,
    pub(super) pending_seat: Option<FolderId>,
    /// The host is considered permanently lost and may be replaced.
    pub(super) absent: bool,
}

impl PeerProgress {
    /// Progress of a follower with unknown state as of `now`; `first` is the next entry to send.
    pub(super) fn new(now: TimePoint, first: LogIndex) -> Self {
        Self {
            folder: None,
            next: first,
            matched: LogIndex::default(),
            pipelined: false,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            awaiting_since: None,
            last_contact: now,
            round: 0,
            snapshot_offset: None,
            pending_seat: None,
            absent: false,
        }
    }

    pub(super) fn clear_in_flight(&mut self) {
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

    pub(super) fn can_send(&self) -> bool {
        if !self.pipelined {
            return self.awaiting_since.is_none();
        }
        self.in_flight.len() < MAX_IN_FLIGHT && self.in_flight_bytes < MAX_IN_FLIGHT_BYTES
    }
}
