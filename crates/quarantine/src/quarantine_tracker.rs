//! The leader's handling of requests and prompt parts that crash endpoints.

use std::time::Duration;

use briartray_model::message::{FingerprintView, PartCompletion, RunEnd, RunEvent, ViewVersion};
use briartray_model::names::{IncarnationId, PartId, RequestFingerprint, TermNumber};
use briartray_model::{SortedTable, TimePoint};

use super::{CrashBook, PartBook, PartRecord, QuarantineList, QuarantineRecord};

/// Time after which a quarantine is lifted for another try, since the endpoints may have been
/// replaced. A new leader starts the time again.
const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);

/// Crashes known to a leader, and the view for entries.
#[derive(Debug, Clone)]
pub struct QuarantineTracker {
    crashes: CrashBook,
    parts: PartBook,
    view: FingerprintView,
    /// Whether the view may be outdated.
    view_stale: bool,
    /// When this leader first saw each request in quarantine.
    since: SortedTable<RequestFingerprint, TimePoint>,
    /// When this leader first saw each prompt part in quarantine.
    parts_since: SortedTable<PartId, TimePoint>,
}

impl Default for QuarantineTracker {
    fn default() -> Self {
        Self {
            crashes: CrashBook::default(),
            parts: PartBook::default(),
            view: FingerprintView::default(),
            view_stale: true,
            since: SortedTable::new(),
            parts_since: SortedTable::new(),
        }
    }
}

impl QuarantineTracker {
    /// Creates the tracker of a new leader. The crashes that led to the quarantines in `list` are
    /// explained; entries report them again.
    pub fn new(now: TimePoint, list: &QuarantineList) -> Self {
        let mut tracker = Self::default();
        let of_parts = list.parts().iter().flat_map(|record| &record.endpoints);
        let of_requests = list.records().iter().flat_map(|record| &record.endpoints);
        of_parts.chain(of_requests).for_each(|endpoint| tracker.explain(now, endpoint));
        tracker
    }

    /// Records a run reported by an entry, unless it is explained by what is in quarantine.
    pub fn take(&mut self, now: TimePoint, event: &RunEvent, list: &QuarantineList) {
        let RunEnd::Crashed { endpoint, .. } = &event.end else {
            if !list.holds(event.print) {
                self.view_stale |= self.crashes.record_run(now, event);
            }
            return;
        };
        let is_guilty = |part: &PartId| list.holds_part(*part) || self.parts.is_proposed(*part);
        if event.parts.iter().any(is_guilty) {
            self.crashes.note_endpoint(now, endpoint, event.print);
            return self.explain(now, endpoint);
        }
        if list.holds(event.print) || self.crashes.is_proposed(event.print) {
            self.crashes.note_endpoint(now, endpoint, event.print);
            return self.explain_parts(now, endpoint);
        }
        if self.parts.is_explained(endpoint) {
            return self.crashes.note_endpoint(now, endpoint, event.print);
        }
        self.view_stale |= self.crashes.record_run(now, event);
        self.view_stale |= self.parts.record_crash(now, event);
    }

    /// Records a completed run of a suspected prompt part.
    pub fn take_completion(&mut self, now: TimePoint, completion: &PartCompletion) {
        self.view_stale |= self.parts.record_completion(now, completion);
    }

    /// Returns the requests to quarantine now, each of them once. Their crashes no longer count against
    /// prompt parts.
    pub fn take_fatal(&mut self, now: TimePoint) -> Vec<QuarantineRecord> {
        let fatal = self.crashes.take_fatal(now);
        for endpoint in fatal.iter().flat_map(|record| &record.endpoints) {
            self.explain_parts(now, endpoint);
        }
        fatal
    }

    /// Returns the prompt parts to quarantine now, each of them once. Their crashes no longer count
    /// against requests, so this comes before [`Self::take_fatal`].
    pub fn take_fatal_parts(&mut self, now: TimePoint) -> Vec<PartRecord> {
        let fatal = self.parts.take_fatal(now, &self.crashes);
        for endpoint in fatal.iter().flat_map(|record| &record.endpoints) {
            self.crashes.drop_crash(endpoint);
            self.view_stale = true;
        }
        fatal
    }

    /// Records that the command for `fingerprint` was lost, so that it is repeated.
    pub fn lost(&mut self, fingerprint: RequestFingerprint) {
        self.crashes.lost(fingerprint);
    }

    /// Records that the command for `part` was lost, so that it is repeated.
    pub fn lost_part(&mut self, part: PartId) {
        self.parts.lost(part);
    }

    /// Records that `fingerprint` was put into quarantine.
    pub fn added(&mut self, fingerprint: RequestFingerprint) {
        self.crashes.forget(fingerprint);
        self.view_stale = true;
    }

    /// Records that a prompt part was put into quarantine.
    pub fn added_part(&mut self, now: TimePoint, record: &PartRecord) {
        self.parts.forget(record.part);
        record.endpoints.iter().for_each(|endpoint| self.explain(now, endpoint));
        self.view_stale = true;
    }

    /// Records that the quarantine of `fingerprint` was lifted.
    pub fn lifted(&mut self, now: TimePoint, fingerprint: RequestFingerprint) {
        self.crashes.clear(now, fingerprint);
        self.view_stale = true;
    }

    /// Records that the quarantine of `part` was lifted.
    pub fn lifted_part(&mut self, now: TimePoint, part: PartId) {
        self.parts.clear(now, part);
        self.view_stale = true;
    }

    /// Removes expired crashes; returns the requests whose quarantine has expired.
    pub fn keep(&mut self, now: TimePoint, list: &QuarantineList) -> Vec<RequestFingerprint> {
        self.view_stale |= self.crashes.prune(now);
        let held = list.records().iter().map(|record| record.print);
        take_expired(now, &mut self.since, held)
    }

    /// As [`Self::keep`] for prompt parts.
    pub fn keep_parts(&mut self, now: TimePoint, list: &QuarantineList) -> Vec<PartId> {
        self.view_stale |= self.parts.prune(now);
        let held = list.parts().iter().map(|record| record.part);
        take_expired(now, &mut self.parts_since, held)
    }

    /// Whether the view for entries may be outdated.
    pub fn is_view_stale(&self) -> bool {
        self.view_stale
    }

    /// Updates the view if needed, for the leader's `term`, and returns it.
    pub fn refresh(&mut self, term: TermNumber, list: &QuarantineList) -> &FingerprintView {
        if std::mem::take(&mut self.view_stale) {
            let version = self.view.version;
            let view = FingerprintView {
                version,
                quarantined: list.fingerprints(),
                suspects: self.crashes.suspects(),
                quarantined_parts: list.part_ids(),
                suspected_parts: self.parts.suspects(),
            };
            if view != self.view || version.term != term {
                let version = ViewVersion { term, number: version.number + 1 };
                self.view = FingerprintView { version, ..view };
            }
        }
        &self.view
    }

    /// The current view.
    pub fn view(&self) -> &FingerprintView {
        &self.view
    }

    /// Records that a request in quarantine explains the crash of `endpoint`. Other requests that ran there
    /// keep what counts against them, but it no longer counts against those that are reported later.
    fn explain_parts(&mut self, now: TimePoint, endpoint: &IncarnationId) {
        self.view_stale |= self.parts.counts(endpoint);
        self.parts.explain(now, endpoint);
    }

    /// Records that a quarantined part explains the crash of `endpoint`.
    fn explain(&mut self, now: TimePoint, endpoint: &IncarnationId) {
        if self.parts.explain(now, endpoint) {
            self.crashes.drop_crash(endpoint);
            self.view_stale = true;
        }
    }
}

/// Those of `held` that have been in quarantine for its duration. A lift that gets lost is repeated
/// after the same time.
fn take_expired<K: Copy + Ord>(
    now: TimePoint,
    since: &mut SortedTable<K, TimePoint>,
    held: impl Iterator<Item = K>,
) -> Vec<K> {
    let known = std::mem::take(since);
    let mut expired = Vec::new();
    for key in held {
        let start = known.get(&key).copied().unwrap_or(now);
        let is_expired = now.since(start) >= QUARANTINE_DURATION;
        since.insert(key, if is_expired { now } else { start });
        if is_expired {
            expired.push(key);
        }
    }
    expired
}
