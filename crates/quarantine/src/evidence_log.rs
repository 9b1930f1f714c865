//! Log of runs that an entry keeps to report them to each new leader.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{RunEnd, RunEvent};
use briartray_model::names::{PartId, RequestFingerprint};

use super::reported_crash::EVIDENCE_LIFETIME;

/// Maximum number of events, about 10 KB in a report to a new leader.
const MAX_EVENTS: usize = 128;

/// Maximum number of prompt parts in all events, about 10 KB more.
const MAX_PARTS: usize = 512;

/// Time for which an event is repeated in every report. A report may be lost; reports follow each
/// other within a quarter of a second.
const REPEAT_PERIOD: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
struct LoggedRun {
    ended: TimePoint,
    fingerprint: RequestFingerprint,
    end: RunEnd,
    parts: Vec<PartId>,
}

/// Recent runs that are evidence for or against their requests, oldest first.
#[derive(Debug, Clone, Default)]
pub struct EvidenceLog {
    runs: Vec<LoggedRun>,
    /// Nonce of the first report to the current leader; `None` once that leader has all events.
    full_report_from: Option<u64>,
}

impl EvidenceLog {
    /// Records a run that ended at `now`.
    pub fn note(&mut self, now: TimePoint, fingerprint: RequestFingerprint, end: RunEnd) {
        self.note_with_parts(now, fingerprint, &[], end);
    }

    /// As [`Self::note`] for a request whose prompt has `parts` that other requests may share.
    pub fn note_with_parts(
        &mut self,
        now: TimePoint,
        fingerprint: RequestFingerprint,
        parts: &[PartId],
        end: RunEnd,
    ) {
        let parts = parts[..parts.len().min(MAX_PARTS)].to_vec();
        self.runs.retain(|run| now.since(run.ended) < EVIDENCE_LIFETIME);
        self.runs.push(LoggedRun { ended: now, fingerprint, end, parts });
        let part_count = |runs: &[LoggedRun]| runs.iter().map(|run| run.parts.len()).sum::<usize>();
        while self.runs.len() > MAX_EVENTS || part_count(&self.runs) > MAX_PARTS {
            self.runs.remove(0);
        }
    }

    /// Whether a completed run of the request is worth reporting: the log holds a crash of it, and no
    /// completed run since.
    pub fn awaits_completion(&self, compute: impl FnOnce() -> RequestFingerprint) -> bool {
        if self.runs.is_empty() {
            return false;
        }
        let fingerprint = compute();
        let last = self.runs.iter().rfind(|run| run.fingerprint == fingerprint);
        last.is_some_and(|run| matches!(run.end, RunEnd::Crashed { .. }))
    }

    /// Records that the report after `nonce` may be the first one to a new leader.
    pub fn begin_leader(&mut self, nonce: u64) {
        self.full_report_from = Some(nonce + 1);
    }

    /// Records that a leader confirmed by a majority has received the report with `nonce`.
    pub fn confirmed(&mut self, nonce: u64) {
        self.full_report_from = self.full_report_from.filter(|since| nonce < *since);
    }

    /// Events for the next report: all of them until a new leader has them, then only recent ones.
    pub fn events_to_report(&self, now: TimePoint) -> Vec<RunEvent> {
        let all = self.full_report_from.is_some();
        let due = |run: &&LoggedRun| {
            let age = now.since(run.ended);
            age < REPEAT_PERIOD || (all && age < EVIDENCE_LIFETIME)
        };
        let event = |run: &LoggedRun| RunEvent {
            print: run.fingerprint,
            age_ms: u64::try_from(now.since(run.ended).as_millis()).unwrap_or(u64::MAX),
            end: run.end.clone(),
            parts: run.parts.clone(),
        };
        self.runs.iter().filter(due).map(event).collect()
    }

    /// Removes the runs of a request whose quarantine was lifted. A later leader would otherwise
    /// quarantine it again.
    pub fn forget(&mut self, fingerprint: RequestFingerprint) {
        self.runs.retain(|run| run.fingerprint != fingerprint);
    }

    /// Removes a prompt part whose quarantine was lifted from all runs.
    pub fn forget_part(&mut self, part: PartId) {
        self.runs.iter_mut().for_each(|run| run.parts.retain(|known| *known != part));
    }
}
