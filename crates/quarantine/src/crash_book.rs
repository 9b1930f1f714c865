//! Crashes known to a leader, by request.

use std::time::Duration;

use briartray_model::message::{RunEnd, RunEvent};
use briartray_model::names::{IncarnationId, RequestFingerprint, TeamName};
use briartray_model::{SortedTable, TimePoint};

use super::reported_crash::{
    EVIDENCE_LIFETIME, ReportedCrash, count_distinct, ran_alike, time_before,
};
use super::{FATAL_CRASHES, LONE_FATAL_CRASHES, QuarantineRecord, SUSPECT_CRASHES};

/// Maximum number of requests that are kept. One crash adds up to a whole batch of them, most of
/// which never recur.
const MAX_FINGERPRINTS: usize = 2_048;

/// Maximum number of crashes that are kept for each request.
const MAX_CRASHES: usize = 8;

/// Maximum number of suspects that are sent to entries.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of crashed endpoints that are kept.
const MAX_ENDPOINTS: usize = 512;

/// Time in which entries report all requests that ran on a crashed endpoint, those included that
/// they had given up.
const REPORT_TIME: Duration = Duration::from_millis(500);

/// The requests that ran on a crashed endpoint.
#[derive(Debug, Clone)]
struct CrashedEndpoint {
    /// When its crash was first reported.
    learned: TimePoint,
    print: RequestFingerprint,
    /// Whether any other request ran there as well.
    is_shared: bool,
}

#[derive(Debug, Clone, Default)]
struct FingerprintRecord {
    /// Crashes since the last complete run, oldest first; at most one for each endpoint.
    crashes: Vec<ReportedCrash>,
    whole_at: Option<TimePoint>,
    rule: String,
    team: Option<TeamName>,
    /// Whether the quarantine command has been proposed to the replicated log.
    proposed: bool,
}

/// Crashes by request.
#[derive(Debug, Clone, Default)]
pub struct CrashBook {
    records: SortedTable<RequestFingerprint, FingerprintRecord>,
    endpoints: SortedTable<IncarnationId, CrashedEndpoint>,
}

impl CrashBook {
    /// Records a run reported by an entry; returns whether it changes anything.
    pub fn record_run(&mut self, now: TimePoint, event: &RunEvent) -> bool {
        let age = Duration::from_millis(event.age_ms);
        if age >= EVIDENCE_LIFETIME {
            return false;
        }
        let at = time_before(now, age);
        match &event.end {
            RunEnd::Whole => self.record_whole_run(event.print, at),
            RunEnd::Crashed { endpoint, ran_ms, rule, team } => {
                self.note_endpoint(now, endpoint, event.print);
                let record = self.record(event.print);
                let started_at = time_before(now, age + Duration::from_millis(*ran_ms));
                let reported = ReportedCrash { at, started_at, endpoint: endpoint.clone() };
                let is_new = record.add_crash(reported);
                if is_new {
                    record.rule.clone_from(rule);
                    record.team.clone_from(team);
                }
                is_new
            }
        }
    }

    /// Returns the requests to quarantine now. Each request is returned once, until
    /// [`Self::forget`] or [`Self::lost`].
    pub fn take_fatal(&mut self, now: TimePoint) -> Vec<QuarantineRecord> {
        let mut fatal = Vec::new();
        let endpoints = &self.endpoints;
        for (fingerprint, record) in self.records.iter_mut() {
            if record.proposed || !record.is_fatal(now, endpoints) {
                continue;
            }
            record.proposed = true;
            fatal.push(QuarantineRecord {
                print: *fingerprint,
                rule: record.rule.clone(),
                team: record.team.clone(),
                endpoints: record.crashes.iter().map(|crash| crash.endpoint.clone()).collect(),
            });
        }
        fatal
    }

    /// Records that `print` ran on `endpoint` when it crashed, also if the crash does not count against it.
    pub fn note_endpoint(
        &mut self,
        now: TimePoint,
        endpoint: &IncarnationId,
        print: RequestFingerprint,
    ) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.is_shared |= known.print != print;
            return;
        }
        if self.endpoints.len() >= MAX_ENDPOINTS {
            let oldest = self.endpoints.iter().min_by_key(|(_, known)| known.learned);
            if let Some(oldest) = oldest.map(|(endpoint, _)| endpoint.clone()) {
                self.endpoints.remove(&oldest);
            }
        }
        let crashed = CrashedEndpoint { learned: now, print, is_shared: false };
        self.endpoints.insert(endpoint.clone(), crashed);
    }

    /// Suspects that were involved in the crashes of all `endpoints`, since their last complete runs. A crash
    /// that entries may still report requests of counts as one of them all.
    pub(super) fn common_requests(
        &self,
        now: TimePoint,
        endpoints: &[&IncarnationId],
    ) -> impl Iterator<Item = RequestFingerprint> {
        let is_settled = |endpoint: &IncarnationId| {
            self.endpoints.get(endpoint).is_none_or(|known| is_settled(now, known))
        };
        let settled: Vec<&IncarnationId> =
            endpoints.iter().copied().filter(|endpoint| is_settled(endpoint)).collect();
        let is_common = move |record: &FingerprintRecord| {
            record.distinct_crashes() >= SUSPECT_CRASHES
                && settled.iter().all(|endpoint| record.involves(endpoint))
        };
        let common = self.records.iter().filter(move |(_, record)| is_common(record));
        common.map(|(fingerprint, _)| *fingerprint)
    }

    /// Whether the quarantine of `fingerprint` has been proposed.
    pub fn is_proposed(&self, fingerprint: RequestFingerprint) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| record.proposed)
    }

    /// Records that the proposal to quarantine `fingerprint` was lost, so that it is repeated.
    pub fn lost(&mut self, fingerprint: RequestFingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.proposed = false;
        }
    }

    /// Ignores all crashes of `fingerprint` before `now`, including those that entries still
    /// report.
    pub fn clear(&mut self, now: TimePoint, fingerprint: RequestFingerprint) {
        self.record_whole_run(fingerprint, time_before(now, Duration::ZERO));
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.proposed = false;
        }
    }

    /// Forgets a request because it is now in quarantine.
    pub fn forget(&mut self, fingerprint: RequestFingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Drops the crash of `endpoint` because a quarantined prompt part explains it; returns whether
    /// it counted against any request.
    pub fn drop_crash(&mut self, endpoint: &IncarnationId) -> bool {
        let mut dropped = false;
        for (_, record) in self.records.iter_mut().filter(|(_, record)| !record.proposed) {
            let before = record.crashes.len();
            record.crashes.retain(|crash| crash.endpoint != *endpoint);
            dropped |= record.crashes.len() < before;
        }
        dropped
    }

    /// Requests that may have to be quarantined, in ascending order. If there are too many, those
    /// with the most recent crashes.
    pub fn suspects(&self) -> Vec<RequestFingerprint> {
        let mut suspects: Vec<(TimePoint, RequestFingerprint)> = self
            .records
            .iter()
            .filter(|(_, record)| record.distinct_crashes() >= SUSPECT_CRASHES)
            .map(|(fingerprint, record)| (record.newest(), *fingerprint))
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        suspects.truncate(MAX_SUSPECTS);
        let mut fingerprints: Vec<RequestFingerprint> =
            suspects.into_iter().map(|(_, fingerprint)| fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints
    }

    /// Removes expired crashes; returns whether there were any.
    pub fn prune(&mut self, now: TimePoint) -> bool {
        let before = self.records.len();
        let oldest = time_before(now, EVIDENCE_LIFETIME);
        self.records.retain(|_, record| record.newest() > oldest);
        self.endpoints.retain(|_, known| now.since(known.learned) < EVIDENCE_LIFETIME);
        self.records.len() < before
    }

    /// Number of requests that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record_whole_run(&mut self, fingerprint: RequestFingerprint, at: TimePoint) -> bool {
        let record = self.record(fingerprint);
        if record.whole_at.is_some_and(|whole| at <= whole) {
            return false;
        }
        let before = record.crashes.len();
        record.whole_at = Some(at);
        record.crashes.retain(|crash| crash.at > at);
        record.crashes.len() < before
    }

    fn record(&mut self, fingerprint: RequestFingerprint) -> &mut FingerprintRecord {
        if self.records.len() >= MAX_FINGERPRINTS && !self.records.contains_key(&fingerprint) {
            self.evict();
        }
        self.records.get_or_insert_with(fingerprint, FingerprintRecord::default)
    }

    /// Removes the request with the fewest crashes; among several, the one whose last crash is
    /// oldest.
    fn evict(&mut self) {
        let weight = |record: &FingerprintRecord| (record.distinct_crashes(), record.newest());
        let least = self.records.iter().min_by_key(|(_, record)| weight(record));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}

impl FingerprintRecord {
    /// Adds a crash; returns `false` if it is already known or older than a complete run.
    fn add_crash(&mut self, reported: ReportedCrash) -> bool {
        let cleared = self.whole_at.is_some_and(|whole| reported.at <= whole);
        if cleared || self.involves(&reported.endpoint) {
            return false;
        }
        let position = self.crashes.partition_point(|crash| crash.at <= reported.at);
        self.crashes.insert(position, reported);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    fn involves(&self, endpoint: &IncarnationId) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == *endpoint)
    }

    /// Whether the request is to be quarantined.
    fn is_fatal(
        &self,
        now: TimePoint,
        endpoints: &SortedTable<IncarnationId, CrashedEndpoint>,
    ) -> bool {
        let distinct = self.distinct_crashes();
        distinct >= FATAL_CRASHES
            || (distinct >= LONE_FATAL_CRASHES
                && ran_alike(&self.crashes)
                && self.crashes.iter().all(|crash| is_lone(now, endpoints.get(&crash.endpoint))))
    }

    /// Number of crashes with separate causes.
    fn distinct_crashes(&self) -> usize {
        count_distinct(self.crashes.iter())
    }

    fn newest(&self) -> TimePoint {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.whole_at).unwrap_or_default()
    }
}

/// Whether no other request ran on the endpoint.
fn is_lone(now: TimePoint, crashed: Option<&CrashedEndpoint>) -> bool {
    crashed.is_some_and(|known| !known.is_shared && is_settled(now, known))
}

/// Whether entries have had the time to report all requests that ran on the endpoint.
fn is_settled(now: TimePoint, crashed: &CrashedEndpoint) -> bool {
    now.since(crashed.learned) >= REPORT_TIME
}
