//! The entry's side of quarantine: refuses requests known to crash endpoints, and collects evidence
//! about runs for the control host.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{FingerprintView, RunEnd, RunEvent, ViewVersion};
use briartray_model::names::{IncarnationId, RequestFingerprint, RuleName, TeamName};
use briartray_quarantine::{
    EvidenceLog, FingerprintKey, FingerprintParts, QuarantineGuard, QuarantineStatus,
};
use crossbeam::channel::{Receiver, Sender, bounded};

use super::call::CallPlan;

/// The quarantined and suspected requests known to this entry, and the run events to report.
#[derive(Debug)]
pub(super) struct QuarantineClient {
    key: FingerprintKey,
    state: Mutex<QuarantineState>,
    /// Wakes the renewal when there is an event to report at once.
    wake_up: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct QuarantineState {
    guard: QuarantineGuard,
    runs: EvidenceLog,
}

impl QuarantineClient {
    /// Creates a client that computes fingerprints with the key `secret`.
    pub(super) fn new(secret: &str) -> Self {
        Self { key: FingerprintKey::new(secret), state: Mutex::default(), wake_up: bounded(1) }
    }

    /// Blocks for `pause`, or until there is an event to report at once.
    pub(super) fn wait(&self, pause: Duration) {
        let _ = self.wake_up.1.recv_timeout(pause);
    }

    /// Status of a request.
    ///
    /// A fingerprint costs a pass over the body, so none is computed while no request is
    /// quarantined or suspected.
    pub(super) fn status(&self, path: &str, team: &TeamName, body: &[u8]) -> QuarantineStatus {
        if !self.state().guard.is_watching() {
            return QuarantineStatus::Clear;
        }
        let fingerprint = self.fingerprint(path, team, body);
        self.state().guard.status(fingerprint)
    }

    /// Status of the request of `plan`.
    pub(super) fn status_of(&self, plan: &CallPlan) -> QuarantineStatus {
        self.status(&plan.target.path, &plan.team, &plan.body)
    }

    /// Records that the endpoint crashed while running the request of `plan`, in an attempt that
    /// began at `started_at`.
    pub(super) fn record_crash(
        &self,
        now: TimePoint,
        started_at: TimePoint,
        plan: &CallPlan,
        endpoint: IncarnationId,
    ) {
        let print = self.fingerprint_of(plan);
        let rule = plan.rule.as_ref().map_or("", RuleName::as_str).to_owned();
        log::warn!(print:%, endpoint:% = endpoint, rule; "endpoint crashed during a request");
        let ran_ms = u64::try_from(now.since(started_at).as_millis()).unwrap_or(u64::MAX);
        let end = RunEnd::Crashed { endpoint, ran_ms, rule, team: Some(plan.team.clone()) };
        self.record_event(now, print, end);
    }

    /// Records that the request of `plan` ran to its end, which clears it if it was suspected.
    pub(super) fn record_completion(&self, now: TimePoint, plan: &CallPlan) {
        if self.status_of(plan) != QuarantineStatus::Clear {
            let fingerprint = self.fingerprint_of(plan);
            self.record_event(now, fingerprint, RunEnd::Whole);
        }
    }

    /// Notes that renewals after `nonce` may go to another leader.
    pub(super) fn begin_leader(&self, nonce: u64) {
        self.state().runs.begin_leader(nonce);
    }

    /// The run events for the next renewal, and the version of the quarantine view held here.
    pub(super) fn events_to_report(&self, now: TimePoint) -> (Vec<RunEvent>, ViewVersion) {
        let state = self.state();
        (state.runs.events_to_report(now), state.guard.version())
    }

    /// Handles the answer of a confirmed leader to the renewal with `nonce`.
    pub(super) fn on_renewal_answer(&self, nonce: u64, view: Option<FingerprintView>) {
        let mut state = self.state();
        state.runs.confirmed(nonce);
        let Some(view) = view else { return };
        let (quarantined, suspects) = (view.quarantined.len(), view.suspects.len());
        log::info!(quarantined, suspects; "adopted a new quarantine view");
        for fingerprint in state.guard.adopt(view) {
            state.runs.forget(fingerprint);
        }
    }

    fn record_event(&self, now: TimePoint, fingerprint: RequestFingerprint, end: RunEnd) {
        self.state().runs.note(now, fingerprint, end);
        // One pending wake-up is enough, so a full channel is no error.
        let _ = self.wake_up.0.try_send(());
    }

    fn fingerprint_of(&self, plan: &CallPlan) -> RequestFingerprint {
        self.fingerprint(&plan.target.path, &plan.team, &plan.body)
    }

    fn fingerprint(&self, path: &str, team: &TeamName, body: &[u8]) -> RequestFingerprint {
        // Callers may use any host name for an entry, so only the team distinguishes them.
        self.key.fingerprint(&FingerprintParts { host: "", path, team: Some(team.as_str()), body })
    }

    fn state(&self) -> MutexGuard<'_, QuarantineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
