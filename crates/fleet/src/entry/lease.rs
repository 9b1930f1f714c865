//! How long an entry may act on what it knows.
//!
//! A key that was taken away must open nothing a few seconds later, on every host, also on one
//! that is cut off and cannot learn of it. So an entry serves callers with keys only while it
//! holds a lease: a leader that a majority confirmed answered a report that was sent less than the
//! lease's length ago. Whatever was accepted before that report was sent, the entry knows.

use std::time::Duration;

use briartray_model::{SortedTable, TimePoint};

/// Part of the revocation bound that a lease lasts.
///
/// A request counts by when its caller sent it, which is before it is checked here, so the rest only
/// covers clocks that run at different speeds. The longer the lease, the longer entries serve on while
/// they are cut off or no control host leads.
const LEASE_PART: f64 = 0.9;

/// Reports that may wait for an answer.
const MAX_OPEN: usize = 64;

/// The lease of one entry.
#[derive(Debug, Clone)]
pub struct EntryLease {
    length: Duration,
    sent: SortedTable<u64, TimePoint>,
    until: TimePoint,
    next_nonce: u64,
}

impl EntryLease {
    /// No lease yet; `revocation` is the time within which a removed key must be refused.
    pub fn new(revocation: Duration) -> Self {
        let length = revocation.mul_f64(LEASE_PART);
        Self { length, sent: SortedTable::new(), until: TimePoint(0), next_nonce: 1 }
    }

    /// A nonce for a report that is sent at `now`.
    pub fn ask(&mut self, now: TimePoint) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.sent.insert(nonce, now);
        while self.sent.len() > MAX_OPEN {
            let oldest = *self.sent.keys().next().expect("the table is not empty");
            self.sent.remove(&oldest);
        }
        nonce
    }

    /// Takes the answer to the report with `nonce`; the lease runs from when it was sent.
    pub fn grant(&mut self, nonce: u64) -> TimePoint {
        if let Some(sent) = self.sent.remove(&nonce) {
            self.until = self.until.max(sent.after(self.length));
        }
        self.until
    }

    /// Nonce of the newest report; zero before the first one.
    pub fn last_nonce(&self) -> u64 {
        self.next_nonce - 1
    }

    /// When the lease ends.
    pub fn until(&self) -> TimePoint {
        self.until
    }
}
