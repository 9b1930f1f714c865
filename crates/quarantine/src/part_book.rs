//! Crashes known to a leader, by prompt part.
//!
//! All parts of a prompt were involved in its crash, and so were those of every request that shared
//! the endpoint. A part is found guilty by elimination: it was involved in several crashes of
//! different requests, and no request with it has completed since. Sound traffic completes runs of
//! popular parts all the time, so entries are asked for the completed runs of every suspect before
//! it is quarantined. Once a part is quarantined, its crashes no longer count against other parts.
//!
//! A part is not blamed while one request without it was involved in all of its crashes: that request
//! is the simpler explanation, and its quarantine refuses nobody else.

use std::time::Duration;

use briartray_model::message::{PartCompletion, RunEnd, RunEvent};
use briartray_model::names::{IncarnationId, PartId, RequestFingerprint, TeamName};
use briartray_model::{SortedTable, TimePoint};

use super::reported_crash::{EVIDENCE_LIFETIME, ReportedCrash, count_distinct, time_before};
use super::{CrashBook, FATAL_CRASHES, PartRecord, SUSPECT_CRASHES};

/// Number of different requests that a part must have crashed endpoints with. A single request that
/// is repeated is quarantined by its own fingerprint.
const FATAL_REQUESTS: usize = 3;

/// Consecutive crashes after which a part is quarantined that completed runs before them. Such a
/// part may have been involved by chance.
const PROVEN_FATAL_CRASHES: usize = 8;

/// Crashes of a part without a completed run that are enough even if they came at the same time.
const BURST_FATAL_CRASHES: usize = 5;

/// Consecutive crashes after which one of several parts is quarantined that were involved in the
/// same crashes.
const TIED_FATAL_CRASHES: usize = 6;

/// Minimum time for which a part is suspected before it is quarantined: the suspects reach the
/// entries, and their reports with completed runs come back.
const CONFIRMATION_TIME: Duration = Duration::from_millis(250);

/// The same for crashes at the same time: requests that run elsewhere complete meanwhile.
const BURST_CONFIRMATION_TIME: Duration = Duration::from_millis(1_000);

/// Maximum number of parts that are kept.
const MAX_PARTS: usize = 2_048;

/// Maximum number of crashes that are kept for each part.
const MAX_CRASHES: usize = 16;

/// Maximum number of suspects that are sent to entries.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of requests with a part that are kept for each of its crashes.
const MAX_CRASH_REQUESTS: usize = 8;

/// Maximum number of crashes that are kept as explained by what is in quarantine.
const MAX_EXPLAINED: usize = 512;

#[derive(Debug, Clone)]
struct PartCrash {
    crash: ReportedCrash,
    /// The requests with the part, in the order in which they were reported.
    prints: Vec<RequestFingerprint>,
}

#[derive(Debug, Clone, Default)]
struct PartEvidence {
    /// Crashes since the last completed run, oldest first; at most one for each endpoint.
    crashes: Vec<PartCrash>,
    /// Earlier crashes do not count: the end of the last completed run, or a lifted quarantine.
    counts_after: Option<TimePoint>,
    /// Whether any entry has reported a completed run.
    has_completed: bool,
    /// Position in the prompt. Later parts are shared by fewer requests.
    position: usize,
    suspected_since: Option<TimePoint>,
    rule: String,
    team: Option<TeamName>,
    /// Whether the quarantine command has been proposed to the replicated log.
    proposed: bool,
}

/// Crashes by prompt part.
#[derive(Debug, Clone, Default)]
pub struct PartBook {
    records: SortedTable<PartId, PartEvidence>,
    /// Endpoints whose crashes are explained by a part or request in quarantine, with the times when they
    /// were learned.
    explained: Vec<(TimePoint, IncarnationId)>,
}

impl PartBook {
    /// Records a crash reported by an entry for all parts of the request; returns whether it
    /// changes anything.
    pub fn record_crash(&mut self, now: TimePoint, event: &RunEvent) -> bool {
        let age = Duration::from_millis(event.age_ms);
        let RunEnd::Crashed { endpoint, ran_ms, rule, team } = &event.end else { return false };
        if age >= EVIDENCE_LIFETIME || self.is_explained(endpoint) {
            return false;
        }
        let crash = ReportedCrash {
            at: time_before(now, age),
            started_at: time_before(now, age + Duration::from_millis(*ran_ms)),
            endpoint: endpoint.clone(),
        };
        let mut changed = false;
        for (position, part) in event.parts.iter().enumerate() {
            let evidence = self.evidence(*part);
            let added = PartCrash { crash: crash.clone(), prints: vec![event.print] };
            if !evidence.add_crash(added) {
                continue;
            }
            evidence.position = evidence.position.max(position);
            evidence.rule.clone_from(rule);
            evidence.team.clone_from(team);
            if evidence.is_suspect() {
                evidence.suspected_since.get_or_insert(now);
            }
            changed = true;
        }
        changed
    }

    /// Records a completed run of a suspect reported by an entry; returns whether it changes
    /// anything.
    pub fn record_completion(&mut self, now: TimePoint, completion: &PartCompletion) -> bool {
        let age = Duration::from_millis(completion.age_ms);
        let evidence = self.records.get_mut(&completion.part);
        let Some(evidence) = evidence.filter(|_| age < EVIDENCE_LIFETIME) else { return false };
        evidence.complete(time_before(now, age))
    }

    /// Returns the parts to quarantine now. Each part is returned once, until [`Self::lost`] or
    /// [`Self::forget`]. `requests` holds the crashes by request.
    pub fn take_fatal(&mut self, now: TimePoint, requests: &CrashBook) -> Vec<PartRecord> {
        let mut fatal = Vec::new();
        while let Some(part) = self.find_fatal(now, requests) {
            let Some(evidence) = self.records.get_mut(&part) else { break };
            evidence.proposed = true;
            let endpoints: Vec<IncarnationId> =
                evidence.crashes.iter().map(|known| known.crash.endpoint.clone()).collect();
            let (rule, team) = (evidence.rule.clone(), evidence.team.clone());
            for endpoint in &endpoints {
                self.explain_by(now, endpoint, Some(part));
            }
            fatal.push(PartRecord { part, rule, team, endpoints });
        }
        fatal
    }

    /// Records that the proposal to quarantine `part` was lost, so that it is repeated.
    pub fn lost(&mut self, part: PartId) {
        if let Some(evidence) = self.records.get_mut(&part) {
            evidence.proposed = false;
        }
    }

    /// Whether the quarantine of `part` has been proposed.
    pub fn is_proposed(&self, part: PartId) -> bool {
        self.records.get(&part).is_some_and(|evidence| evidence.proposed)
    }

    /// Forgets a part because it is now in quarantine.
    pub fn forget(&mut self, part: PartId) {
        self.records.remove(&part);
    }

    /// Ignores all crashes of `part` before `now`, including those that entries still report.
    pub fn clear(&mut self, now: TimePoint, part: PartId) {
        let evidence = self.evidence(part);
        evidence.ignore_before(time_before(now, Duration::ZERO));
        evidence.proposed = false;
    }

    /// Records that a part or request in quarantine explains the crash of `endpoint`: it no longer
    /// counts against other parts. Returns whether this is new.
    pub fn explain(&mut self, now: TimePoint, endpoint: &IncarnationId) -> bool {
        self.explain_by(now, endpoint, None)
    }

    /// Whether the crash of `endpoint` counts against any part.
    pub fn counts(&self, endpoint: &IncarnationId) -> bool {
        self.records.iter().any(|(_, evidence)| evidence.involves(endpoint))
    }

    /// Whether a part or request in quarantine explains the crash of `endpoint`.
    pub fn is_explained(&self, endpoint: &IncarnationId) -> bool {
        self.explained.iter().any(|(_, known)| known == endpoint)
    }

    /// Parts that may have to be quarantined, in ascending order. If there are too many, those that
    /// are most likely guilty.
    pub fn suspects(&self) -> Vec<PartId> {
        let mut suspects: Vec<(Suspicion, PartId)> = self
            .records
            .iter()
            .filter(|(_, evidence)| evidence.is_suspect())
            .map(|(part, evidence)| (evidence.suspicion(), *part))
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        suspects.truncate(MAX_SUSPECTS);
        let mut parts: Vec<PartId> = suspects.into_iter().map(|(_, part)| part).collect();
        parts.sort_unstable();
        parts
    }

    /// Removes expired evidence; returns whether there was any.
    pub fn prune(&mut self, now: TimePoint) -> bool {
        let before = self.records.len();
        let oldest = time_before(now, EVIDENCE_LIFETIME);
        self.records.retain(|_, evidence| evidence.newest() > oldest);
        self.explained.retain(|(learned, _)| now.since(*learned) < EVIDENCE_LIFETIME);
        self.records.len() < before
    }

    /// Number of parts that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no part is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The part that is most likely guilty among those with sufficient evidence.
    fn find_fatal(&self, now: TimePoint, requests: &CrashBook) -> Option<PartId> {
        let is_clear = |part: PartId, evidence: &PartEvidence| {
            evidence.crashes.len() >= TIED_FATAL_CRASHES || !self.is_tied(part, evidence)
        };
        self.records
            .iter()
            .filter(|(part, evidence)| evidence.is_fatal(now) && is_clear(**part, evidence))
            .filter(|(_, evidence)| !evidence.is_explained_by_other(now, requests))
            .max_by_key(|(_, evidence)| evidence.suspicion())
            .map(|(part, _)| *part)
    }

    /// Whether another part was involved in the same crashes, and as little speaks for it.
    fn is_tied(&self, part: PartId, evidence: &PartEvidence) -> bool {
        let others = self.records.iter().filter(|(other, _)| **other != part);
        others.into_iter().any(|(_, other)| {
            !other.proposed
                && other.has_completed == evidence.has_completed
                && evidence.crashes.iter().all(|known| other.involves(&known.crash.endpoint))
        })
    }

    /// Records that the crash of `endpoint` is explained; only `guilty` keeps it.
    fn explain_by(
        &mut self,
        now: TimePoint,
        endpoint: &IncarnationId,
        guilty: Option<PartId>,
    ) -> bool {
        if self.is_explained(endpoint) {
            return false;
        }
        if self.explained.len() == MAX_EXPLAINED {
            self.explained.remove(0);
        }
        self.explained.push((now, endpoint.clone()));
        for (_, evidence) in self.records.iter_mut().filter(|(part, _)| Some(**part) != guilty) {
            evidence.crashes.retain(|known| known.crash.endpoint != *endpoint);
            evidence.update_suspicion();
        }
        true
    }

    fn evidence(&mut self, part: PartId) -> &mut PartEvidence {
        if self.records.len() >= MAX_PARTS && !self.records.contains_key(&part) {
            self.evict();
        }
        self.records.get_or_insert_with(part, PartEvidence::default)
    }

    /// Removes the part with the fewest crashes; among several, the one whose last event is oldest.
    fn evict(&mut self) {
        let weight = |evidence: &PartEvidence| (evidence.crashes.len(), evidence.newest());
        let least = self.records.iter().min_by_key(|(_, evidence)| weight(evidence));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.records.remove(&part);
        }
    }
}

impl PartCrash {
    fn add_prints(&mut self, prints: &[RequestFingerprint]) {
        for print in prints {
            if self.prints.len() < MAX_CRASH_REQUESTS && !self.prints.contains(print) {
                self.prints.push(*print);
            }
        }
    }
}

/// How likely a part is guilty, compared field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Suspicion {
    never_completed: bool,
    crashes: usize,
    position: usize,
}

impl PartEvidence {
    /// Adds a crash; returns `false` if it is already known or older than a completed run.
    fn add_crash(&mut self, added: PartCrash) -> bool {
        if self.counts_after.is_some_and(|ignored| added.crash.at <= ignored) {
            return false;
        }
        let same = |known: &&mut PartCrash| known.crash.endpoint == added.crash.endpoint;
        if let Some(known) = self.crashes.iter_mut().find(same) {
            // The run that began last shows best whether an earlier crash has the same cause.
            known.crash.started_at = known.crash.started_at.max(added.crash.started_at);
            known.add_prints(&added.prints);
            return false;
        }
        let place = self.crashes.partition_point(|known| known.crash.at <= added.crash.at);
        self.crashes.insert(place, added);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Records that a run ended whole at `at`; returns whether this is news.
    fn complete(&mut self, at: TimePoint) -> bool {
        let before = (self.has_completed, self.crashes.len());
        self.has_completed = true;
        self.ignore_before(at);
        before != (true, self.crashes.len())
    }

    fn ignore_before(&mut self, at: TimePoint) {
        self.counts_after = self.counts_after.max(Some(at));
        self.crashes.retain(|known| known.crash.at > at);
        self.update_suspicion();
    }

    fn update_suspicion(&mut self) {
        if !self.is_suspect() {
            self.suspected_since = None;
        }
    }

    fn is_suspect(&self) -> bool {
        self.crashes.len() >= SUSPECT_CRASHES
    }

    fn is_fatal(&self, now: TimePoint) -> bool {
        let Some(since) = self.suspected_since.filter(|_| !self.proposed) else { return false };
        if self.requests() < FATAL_REQUESTS {
            return false;
        }
        let distinct = count_distinct(self.crashes.iter().map(|known| &known.crash));
        let suspected = now.since(since);
        let consecutive = |needed| distinct >= needed && suspected >= CONFIRMATION_TIME;
        if self.has_completed {
            return consecutive(PROVEN_FATAL_CRASHES);
        }
        let is_burst = self.crashes.len() >= BURST_FATAL_CRASHES;
        consecutive(FATAL_CRASHES) || (is_burst && suspected >= BURST_CONFIRMATION_TIME)
    }

    /// Whether a request without the part was involved in all of its crashes.
    fn is_explained_by_other(&self, now: TimePoint, requests: &CrashBook) -> bool {
        let endpoints: Vec<&IncarnationId> =
            self.crashes.iter().map(|known| &known.crash.endpoint).collect();
        let has_part = |print| self.crashes.iter().any(|known| known.prints.contains(&print));
        requests.common_requests(now, &endpoints).any(|print| !has_part(print))
    }

    fn involves(&self, endpoint: &IncarnationId) -> bool {
        self.crashes.iter().any(|known| known.crash.endpoint == *endpoint)
    }

    fn suspicion(&self) -> Suspicion {
        Suspicion {
            never_completed: !self.has_completed,
            crashes: self.crashes.len(),
            position: self.position,
        }
    }

    /// Number of different requests among the crashes.
    fn requests(&self) -> usize {
        let mut prints: Vec<RequestFingerprint> =
            self.crashes.iter().filter_map(|known| known.prints.first().copied()).collect();
        prints.sort_unstable();
        prints.dedup();
        prints.len()
    }

    fn newest(&self) -> TimePoint {
        let crash = self.crashes.last().map(|known| known.crash.at);
        crash.max(self.counts_after).unwrap_or_default()
    }
}
