//! Runs that one entry keeps, so that every new leader learns of them.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{RunEnd, RunEvent};
use briartray_model::names::RequestPrint;

use super::crash_book::EVIDENCE_LASTS;

/// Events that are kept: about 10 KB in a report to a new leader.
const MAX_EVENTS: usize = 128;

/// Time for which an event is told with each report. One report may be lost, and the next ones follow within
/// a quarter of a second each.
const TOLD_FOR: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
struct KeptRun {
    ended: TimePoint,
    print: RequestPrint,
    end: RunEnd,
}

/// Runs of the last minutes that say something about their requests, the oldest first.
#[derive(Debug, Clone, Default)]
pub struct EvidenceLog {
    runs: Vec<KeptRun>,
    /// Nonce of the first report to the present leader; `None` once that leader has all of them.
    since_nonce: Option<u64>,
}

impl EvidenceLog {
    /// Keeps a run that ended at `now`.
    pub fn note(&mut self, now: TimePoint, print: RequestPrint, end: RunEnd) {
        self.runs.retain(|run| now.since(run.ended) < EVIDENCE_LASTS);
        if self.runs.len() == MAX_EVENTS {
            self.runs.remove(0);
        }
        self.runs.push(KeptRun { ended: now, print, end });
    }

    /// A conversation with another leader may begin with the report after `nonce`.
    pub fn begin_leader(&mut self, nonce: u64) {
        self.since_nonce = Some(nonce + 1);
    }

    /// A leader that a majority confirmed has the report with `nonce`.
    pub fn confirmed(&mut self, nonce: u64) {
        self.since_nonce = self.since_nonce.filter(|since| nonce < *since);
    }

    /// What the next report tells: everything until a new leader has it, then what is recent.
    pub fn events_to_report(&self, now: TimePoint) -> Vec<RunEvent> {
        let all = self.since_nonce.is_some();
        let due = |run: &&KeptRun| {
            let age = now.since(run.ended);
            age < TOLD_FOR || (all && age < EVIDENCE_LASTS)
        };
        let event = |run: &KeptRun| RunEvent {
            print: run.print,
            age_ms: u64::try_from(now.since(run.ended).as_millis()).unwrap_or(u64::MAX),
            end: run.end.clone(),
        };
        self.runs.iter().filter(due).map(event).collect()
    }

    /// Forgets the runs of a request whose quarantine was lifted: a later leader would quarantine it again.
    pub fn forget(&mut self, print: RequestPrint) {
        self.runs.retain(|run| run.print != print);
    }
}
