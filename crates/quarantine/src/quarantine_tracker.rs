//! The leader's handling of requests that crash endpoints.

use std::time::Duration;

use briartray_model::message::{FingerprintView, RunEvent, ViewVersion};
use briartray_model::names::{RequestFingerprint, TermNumber};
use briartray_model::{SortedTable, TimePoint};

use super::{CrashBook, QuarantineList, QuarantineRecord};

/// Time after which a quarantine is lifted for another try, since the endpoints may have been
/// replaced. A new leader starts the time again.
const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);

/// Crashes known to a leader, and the view for entries.
#[derive(Debug, Clone)]
pub struct QuarantineTracker {
    crashes: CrashBook,
    view: FingerprintView,
    /// Whether the view may be outdated.
    view_stale: bool,
    /// When this leader first saw each request in quarantine.
    since: SortedTable<RequestFingerprint, TimePoint>,
}

impl Default for QuarantineTracker {
    fn default() -> Self {
        Self {
            crashes: CrashBook::default(),
            view: FingerprintView::default(),
            view_stale: true,
            since: SortedTable::new(),
        }
    }
}

impl QuarantineTracker {
    /// Records a run reported by an entry, unless its request is in quarantine.
    pub fn take(&mut self, now: TimePoint, event: &RunEvent, list: &QuarantineList) {
        if !list.holds(event.print) {
            self.view_stale |= self.crashes.record_run(now, event);
        }
    }

    /// Returns the requests to quarantine now, each of them once.
    pub fn take_fatal(&mut self) -> Vec<QuarantineRecord> {
        self.crashes.take_fatal()
    }

    /// Records that the command for `fingerprint` was lost, so that it is repeated.
    pub fn lost(&mut self, fingerprint: RequestFingerprint) {
        self.crashes.lost(fingerprint);
    }

    /// Records that `fingerprint` was put into quarantine.
    pub fn added(&mut self, fingerprint: RequestFingerprint) {
        self.crashes.forget(fingerprint);
        self.view_stale = true;
    }

    /// Records that the quarantine of `fingerprint` was lifted.
    pub fn lifted(&mut self, now: TimePoint, fingerprint: RequestFingerprint) {
        self.crashes.clear(now, fingerprint);
        self.view_stale = true;
    }

    /// Removes expired crashes; returns the requests whose quarantine has expired.
    pub fn keep(&mut self, now: TimePoint, list: &QuarantineList) -> Vec<RequestFingerprint> {
        self.view_stale |= self.crashes.prune(now);
        self.since.retain(|fingerprint, _| list.holds(*fingerprint));
        let mut expired = Vec::new();
        for record in list.records() {
            let since = self.since.get_or_insert_with(record.print, || now);
            if now.since(*since) >= QUARANTINE_DURATION {
                // A lift that gets lost is repeated after the same time.
                *since = now;
                expired.push(record.print);
            }
        }
        expired
    }

    /// Whether the view for entries may be outdated.
    pub fn is_view_stale(&self) -> bool {
        self.view_stale
    }

    /// Updates the view if needed, for the leader's `term`, and returns it.
    pub fn refresh(&mut self, term: TermNumber, list: &QuarantineList) -> &FingerprintView {
        if std::mem::take(&mut self.view_stale) {
            let (quarantined, suspects) = (list.fingerprints(), self.crashes.suspects());
            let known = &self.view;
            let same = known.quarantined == quarantined && known.suspects == suspects;
            if !same || known.version.term != term {
                let version = ViewVersion { term, number: known.version.number + 1 };
                self.view = FingerprintView { version, quarantined, suspects };
            }
        }
        &self.view
    }

    /// The current view.
    pub fn view(&self) -> &FingerprintView {
        &self.view
    }
}
