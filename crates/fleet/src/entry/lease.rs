//! Lease that bounds how long an entry may act on its knowledge.
//!
//! A revoked key must be refused within a few seconds on every host, including one that is cut off
//! and cannot learn of the revocation. So an entry serves callers with keys only while it holds a
//! lease: a leader confirmed by a majority answered a report that was sent less than one lease
//! length ago. The entry then knows everything that was accepted before it sent that report.

use std::time::Duration;

use briartray_model::{SortedTable, TimePoint};

/// Fraction of the revocation time that a lease lasts.
///
/// A request counts by the time its caller sent it, which is before the entry checks the lease, so
/// the remainder only has to cover clocks that run at different speeds. A longer lease lets entries
/// serve longer while they are cut off or there is no leader.
const LEASE_FRACTION: f64 = 0.9;

/// Limit on unanswered reports that are remembered.
const MAX_UNANSWERED_REPORTS: usize = 64;

/// Lease of one entry.
#[derive(Debug, Clone)]
pub struct EntryLease {
    length: Duration,
    sent: SortedTable<u64, TimePoint>,
    until: TimePoint,
    next_nonce: u64,
}

impl EntryLease {
    /// Creates an entry's state without a lease; `revocation` is the time within which a revoked
    /// key must be refused.
    pub fn new(revocation: Duration) -> Self {
        let length = revocation.mul_f64(LEASE_FRACTION);
        Self { length, sent: SortedTable::new(), until: TimePoint(0), next_nonce: 1 }
    }

    /// Returns the nonce for a report that is sent at `now`.
    pub fn ask(&mut self, now: TimePoint) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.sent.insert(nonce, now);
        while self.sent.len() > MAX_UNANSWERED_REPORTS {
            let oldest = *self.sent.keys().next().expect("the table is not empty");
            self.sent.remove(&oldest);
        }
        nonce
    }

    /// When the report with `nonce` was sent; `None` if it was answered or is too old.
    pub fn sent_at(&self, nonce: u64) -> Option<TimePoint> {
        self.sent.get(&nonce).copied()
    }

    /// Processes the answer to the report with `nonce` and returns the end of the lease. The lease
    /// runs from when that report was sent.
    pub fn grant(&mut self, nonce: u64) -> TimePoint {
        if let Some(sent) = self.sent.remove(&nonce) {
            self.until = self.until.max(sent.after(self.length));
        }
        self.until
    }

    /// Nonce of the newest report; zero before the first.
    pub fn last_nonce(&self) -> u64 {
        self.next_nonce - 1
    }

    /// When the lease expires.
    pub fn until(&self) -> TimePoint {
        self.until
    }
}
