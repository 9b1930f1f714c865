//! The entry's side of quarantine: refuses requests known to crash endpoints, and collects evidence
//! about runs for the control host.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{FingerprintView, PartCompletion, RunEnd, RunEvent, ViewVersion};
use briartray_model::names::{IncarnationId, PartId, RequestFingerprint, RuleName, TeamName};
use briartray_quarantine::{
    CompletedParts, EvidenceLog, FingerprintKey, FingerprintParts, QuarantineGuard,
    QuarantineStatus,
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
    completed_parts: CompletedParts,
}

/// What an entry reports about runs with a renewal.
#[derive(Debug)]
pub(super) struct RunReport {
    /// Runs that may lead to a quarantine or speak against one.
    pub(super) runs: Vec<RunEvent>,
    /// Last completed runs of suspected prompt parts.
    pub(super) whole_parts: Vec<PartCompletion>,
    /// Version of the quarantine view held here.
    pub(super) prints: ViewVersion,
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

    /// Ids of the `messages` of a chat that other requests may share: all but the last. Each
    /// message is given by its role and the JSON text of its content.
    pub(super) fn shared_parts(&self, messages: &[(&str, &str)]) -> Vec<PartId> {
        let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut parts = Vec::with_capacity(shared.len());
        for (role, content) in shared {
            let part = self.key.part_id(role, content.as_bytes());
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        parts
    }

    /// Status of a request.
    ///
    /// A fingerprint costs a pass over the body, so none is computed while no request is
    /// quarantined or suspected.
    pub(super) fn status(
        &self,
        path: &str,
        team: &TeamName,
        body: &[u8],
        parts: &[PartId],
    ) -> QuarantineStatus {
        let (by_parts, watching) = {
            let state = self.state();
            (state.guard.parts_status(parts), state.guard.is_watching())
        };
        if !watching {
            return by_parts;
        }
        let fingerprint = self.fingerprint(path, team, body);
        by_parts.max(self.state().guard.status(fingerprint))
    }

    /// Status of the request of `plan`. A suspected part whose requests this entry has seen
    /// complete counts as clear.
    pub(super) fn status_of(&self, now: TimePoint, plan: &CallPlan) -> QuarantineStatus {
        let unproven: Vec<PartId> = {
            let state = self.state();
            let is_unproven = |part: &&PartId| state.completed_parts.age(now, **part).is_none();
            plan.parts.iter().filter(is_unproven).copied().collect()
        };
        self.status(&plan.target.path, &plan.team, &plan.body, &unproven)
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
        self.state().runs.note_with_parts(now, print, &plan.parts, end);
        self.wake_up();
    }

    /// Records that the request of `plan` ran to its end, which clears it and the parts of its
    /// prompt if they were suspected.
    pub(super) fn record_completion(&self, now: TimePoint, plan: &CallPlan) {
        let mut state = self.state();
        let is_suspected = state.guard.parts_status(&plan.parts) == QuarantineStatus::Suspect;
        state.completed_parts.record(now, &plan.parts);
        let awaited = state.runs.awaits_completion(|| self.fingerprint_of(plan));
        drop(state);
        let status = self.status(&plan.target.path, &plan.team, &plan.body, &[]);
        if awaited || status != QuarantineStatus::Clear {
            let fingerprint = self.fingerprint_of(plan);
            self.state().runs.note(now, fingerprint, RunEnd::Whole);
            self.wake_up();
        } else if is_suspected {
            self.wake_up();
        }
    }

    /// Notes that renewals after `nonce` may go to another leader.
    pub(super) fn begin_leader(&self, nonce: u64) {
        self.state().runs.begin_leader(nonce);
    }

    /// What the next renewal reports.
    pub(super) fn run_report(&self, now: TimePoint) -> RunReport {
        let state = self.state();
        RunReport {
            runs: state.runs.events_to_report(now),
            whole_parts: state.completed_parts.completions(now, state.guard.suspected_parts()),
            prints: state.guard.version(),
        }
    }

    /// Handles the answer of a confirmed leader to the renewal with `nonce`.
    pub(super) fn on_renewal_answer(&self, nonce: u64, view: Option<FingerprintView>) {
        let mut state = self.state();
        state.runs.confirmed(nonce);
        let Some(view) = view else { return };
        let (quarantined, suspects) = (view.quarantined.len(), view.suspects.len());
        let (parts, suspected_parts) = (view.quarantined_parts.len(), view.suspected_parts.len());
        log::info!(quarantined, suspects, parts, suspected_parts; "adopted a new quarantine view");
        let lifted = state.guard.adopt(view);
        lifted.requests.iter().for_each(|fingerprint| state.runs.forget(*fingerprint));
        lifted.parts.iter().for_each(|part| state.runs.forget_part(*part));
        drop(state);
        // The leader asks for the completed runs of suspects before it decides.
        if suspected_parts > 0 {
            self.wake_up();
        }
    }

    fn wake_up(&self) {
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
