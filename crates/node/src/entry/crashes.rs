//! What an entry knows of requests that crash endpoints, and what it reports.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{FingerprintView, RunEnd, RunEvent, ViewVersion};
use briartray_model::names::{IncarnationId, RequestFingerprint, RuleName, TeamName};
use briartray_quarantine::{EvidenceLog, PrintGuard, PrintKey, PrintParts, PrintStanding};
use crossbeam::channel::{Receiver, Sender, bounded};

use super::call::CallPlan;

/// Requests that are refused or suspected, and runs to report.
#[derive(Debug)]
pub(super) struct CrashDesk {
    key: PrintKey,
    state: Mutex<DeskState>,
    /// Told when there is something to report at once.
    news: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct DeskState {
    guard: PrintGuard,
    runs: EvidenceLog,
}

impl CrashDesk {
    /// A desk that makes prints under `secret`.
    pub(super) fn new(secret: &str) -> Self {
        Self { key: PrintKey::new(secret), state: Mutex::default(), news: bounded(1) }
    }

    /// Waits for `pause`, or until there is something to report at once.
    pub(super) fn wait(&self, pause: Duration) {
        let _ = self.news.1.recv_timeout(pause);
    }

    /// How a request stands. Prints cost a pass over the body, and are wanted only in times of crashes.
    pub(super) fn standing(&self, path: &str, team: &TeamName, body: &[u8]) -> PrintStanding {
        if !self.state().guard.is_watching() {
            return PrintStanding::Clear;
        }
        let print = self.print(path, team, body);
        self.state().guard.standing(print)
    }

    /// How the request of `plan` stands.
    pub(super) fn standing_of(&self, plan: &CallPlan) -> PrintStanding {
        self.standing(&plan.target.path, &plan.team, &plan.body)
    }

    /// The endpoint crashed while it ran the request of `plan`, in an attempt that began at `began`.
    pub(super) fn crashed(
        &self,
        now: TimePoint,
        began: TimePoint,
        plan: &CallPlan,
        endpoint: IncarnationId,
    ) {
        let print = self.print_of(plan);
        let rule = plan.rule.as_ref().map_or("", RuleName::as_str).to_owned();
        log::warn!(print:%, endpoint:% = endpoint, rule; "a request ran on an endpoint that crashed");
        let ran_ms = u64::try_from(now.since(began).as_millis()).unwrap_or(u64::MAX);
        let end = RunEnd::Crashed { endpoint, ran_ms, rule, team: Some(plan.team.clone()) };
        self.note(now, print, end);
    }

    /// The request of `plan` ran to its end, which clears it where it was suspected.
    pub(super) fn ran_whole(&self, now: TimePoint, plan: &CallPlan) {
        if self.standing_of(plan) != PrintStanding::Clear {
            let print = self.print_of(plan);
            self.note(now, print, RunEnd::Whole);
        }
    }

    /// A conversation with another leader may begin with the renewal after `nonce`.
    pub(super) fn begin_leader(&self, nonce: u64) {
        self.state().runs.begin_leader(nonce);
    }

    /// What the next renewal tells, and the view that is held.
    pub(super) fn events_to_report(&self, now: TimePoint) -> (Vec<RunEvent>, ViewVersion) {
        let state = self.state();
        (state.runs.events_to_report(now), state.guard.version())
    }

    /// A confirmed leader has answered the renewal with `nonce`.
    pub(super) fn answered(&self, nonce: u64, view: Option<FingerprintView>) {
        let mut state = self.state();
        state.runs.confirmed(nonce);
        let Some(view) = view else { return };
        let (quarantined, suspects) = (view.quarantined.len(), view.suspects.len());
        log::info!(quarantined, suspects; "the quarantine has changed");
        for print in state.guard.adopt(view) {
            state.runs.forget(print);
        }
    }

    fn note(&self, now: TimePoint, print: RequestFingerprint, end: RunEnd) {
        self.state().runs.note(now, print, end);
        // One word that waits is enough.
        let _ = self.news.0.try_send(());
    }

    fn print_of(&self, plan: &CallPlan) -> RequestFingerprint {
        self.print(&plan.target.path, &plan.team, &plan.body)
    }

    fn print(&self, path: &str, team: &TeamName, body: &[u8]) -> RequestFingerprint {
        // Callers reach every entry by any host name, and are told apart by their teams.
        self.key.print(&PrintParts { host: "", path, team: Some(team.as_str()), body })
    }

    fn state(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
