//! An admitted request, and the decisions on its attempts: which target gets it, whether it may go to another
//! one, and what follows the end of an attempt.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::deployment::{RequestWork, RouteBook, RouteRule};
use briartray_fleet::entry::{
    AttemptEnd, ChoiceRefusal, LatencyTerms, NextStep, RetryState, TargetChoice, TargetId,
    TargetQuery, WaitRefusal, admission_budget,
};
use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::{PartId, RequestFingerprint, ServiceName, TeamName};
use briartray_platform::CallerHead;
use briartray_quarantine::{FingerprintParts, QuarantineStatus};
use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;

use super::returns::RefusalDetail;
use super::state::EntryState;
use super::target_guard::TargetGuard;

/// Time reserved for returning the response to the caller before the deadline.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// An admitted request.
pub(super) struct ServedRequest {
    pub(super) state: Rc<EntryState>,
    pub(super) book: Rc<RouteBook>,
    pub(super) rule: RouteRule,
    pub(super) service: ServiceName,
    pub(super) team: Option<TeamName>,
    pub(super) priority: Option<u8>,
    pub(super) parts: Parts,
    pub(super) head: CallerHead,
    pub(super) body: Bytes,
    /// When its head had been read.
    pub(super) arrived: TimePoint,
    /// When the caller's deadline or the rule's timeout expires, whichever is earlier.
    pub(super) deadline: TimePoint,
    /// Number of idle connections that this entry keeps per endpoint of the service.
    pub(super) idle_connections: usize,
    /// Targets that the request was sent to.
    pub(super) tried: Vec<TargetId>,
    /// Target of the first attempt, if it was chosen before the attempt began.
    pub(super) reserved: Option<ReservedTarget>,
    /// Why the request did not get a turn in the admission queue.
    pub(super) wait_refusal: Option<WaitRefusal>,
    /// What the request is known by to the quarantine.
    pub(super) identity: Rc<RequestIdentity>,
    /// Work that the request asks of a group; `None` for services without engines.
    pub(super) work: Option<RequestWork>,
    /// Time since the caller's first attempt.
    pub(super) caller_age: Duration,
    /// Whether admission by latency applies to the service.
    pub(super) latency_bound: bool,
    /// What a refusal of the request is to tell the log.
    pub(super) refusal: Cell<RefusalDetail>,
    /// Number of replicas that may have run the request, without those where it is still in
    /// progress. A replica that reported that it did not run it does not count towards the rule's
    /// maximum number of attempts.
    pub(super) runs: u32,
}

/// Reason why a request is not sent to another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MoveRefusal {
    /// It must not run twice, or has used up its attempts.
    Attempts,
    /// It, or a part of its prompt, is suspected of crashing endpoints.
    Suspect,
    /// Too little time is left before its deadline.
    Deadline,
    /// The retry budget of its service is used up.
    Budget,
    /// No other replica can take it.
    NoTarget,
    /// It is a stream whose events have no IDs after which it could be resumed.
    NoPosition,
}

impl MoveRefusal {
    /// Stable code for metrics and logs.
    pub(super) fn code(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Suspect => "suspect",
            Self::Deadline => "deadline",
            Self::Budget => "budget",
            Self::NoTarget => "no_target",
            Self::NoPosition => "no_position",
        }
    }
}

/// Additional sends beyond the rule's maximum attempts, for replicas that did not accept the
/// request.
const EXTRA_SENDS: u32 = 1;

/// A target that was chosen for a request and counts it already.
pub(super) struct ReservedTarget {
    pub(super) choice: TargetChoice,
    pub(super) guard: TargetGuard,
}

/// Reason why an attempt did not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartFailure {
    /// No target was available.
    NoTarget(ChoiceRefusal),
    /// The request was quarantined meanwhile.
    Quarantined,
}

/// What a request is known by to the quarantine. Runs keep it until their ends are known.
#[derive(Debug)]
pub(super) struct RequestIdentity {
    pub(super) rule: String,
    pub(super) team: Option<TeamName>,
    /// Parts of the prompt that other requests may share.
    pub(super) shared_parts: Vec<PartId>,
    host: String,
    path: String,
    body: Bytes,
    /// Computed on first use.
    fingerprint: OnceCell<RequestFingerprint>,
}

impl RequestIdentity {
    /// The identity of a request under `rule` from `team`.
    pub(super) fn new(
        rule: &RouteRule,
        team: Option<TeamName>,
        parts: &Parts,
        head: &CallerHead,
        body: Bytes,
    ) -> Self {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        Self {
            rule: rule.name.clone(),
            team,
            shared_parts: head.shared_parts.clone(),
            host: head.host.clone(),
            path: path.to_owned(),
            body,
            fingerprint: OnceCell::new(),
        }
    }

    /// Size of the body, which the identity holds.
    pub(super) fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Fingerprint of the request, which does not depend on its ID.
    pub(super) fn fingerprint(&self, state: &EntryState) -> RequestFingerprint {
        let Self { host, path, body, .. } = self;
        let team = self.team.as_ref().map(TeamName::as_str);
        let parts = FingerprintParts { host, path, team, body };
        *self.fingerprint.get_or_init(|| state.fingerprint(&parts))
    }

    /// Whether the request is clear, suspected or quarantined.
    pub(super) fn status(&self, state: &EntryState) -> QuarantineStatus {
        let by_parts = state.parts_status(&self.shared_parts);
        by_parts.max(state.status(|| self.fingerprint(state)))
    }

    /// Whether the leader suspects the request or a part of its prompt, so that its completed runs
    /// count.
    pub(super) fn is_suspect(&self, state: &EntryState) -> bool {
        let status = state.status(|| self.fingerprint(state));
        status == QuarantineStatus::Suspect || state.has_suspected_part(&self.shared_parts)
    }

    /// Records that the request ran to completion and got a response with `status`. This clears the
    /// request of its crashes, and the parts of its prompt if they were suspected.
    pub(super) fn record_complete_run(&self, state: &EntryState, status: StatusCode) {
        // A server error does not prove that the request is harmless: a broken endpoint fails every
        // request.
        if status.is_server_error() {
            return;
        }
        if status.is_success() {
            state.record_completed_parts(&self.shared_parts);
        }
        let is_watched = state.status(|| self.fingerprint(state)) != QuarantineStatus::Clear;
        if is_watched || state.evidence_log.borrow().awaits_completion(|| self.fingerprint(state)) {
            let fingerprint = self.fingerprint(state);
            state.evidence_log.borrow_mut().note(state.now(), fingerprint, RunEnd::Whole);
            state.send_report();
        }
    }
}

impl ServedRequest {
    /// The caller's request ID for log lines; empty if there is none.
    pub(super) fn request_id(&self) -> &str {
        self.head.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("")
    }

    /// Whether the request is clear, suspected or quarantined.
    pub(super) fn status(&self) -> QuarantineStatus {
        self.identity.status(&self.state)
    }

    /// Records a complete response with `status`.
    ///
    /// An answer that is not framed proves less: only those of suspects were checked for a crash.
    pub(super) fn record_complete_run(&self, status: StatusCode, framed: bool) {
        if framed || self.identity.is_suspect(&self.state) {
            self.identity.record_complete_run(&self.state, status);
        }
    }

    /// Time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(self.state.now())
    }

    /// Why neither time nor the retry budget allow another attempt; `None` if they do.
    fn retry_refusal(&self) -> Option<MoveRefusal> {
        if self.time_left() <= ANSWER_MARGIN * 2 {
            return Some(MoveRefusal::Deadline);
        }
        (!self.state.has_retry(&self.service)).then_some(MoveRefusal::Budget)
    }

    /// Records and logs why the request is not sent to another replica.
    pub(super) fn note_move_refusal(&self, refusal: MoveRefusal) {
        self.state.metrics.count_move_refusal(refusal.code());
        if refusal == MoveRefusal::Budget {
            self.state.refuse_retry(&self.service);
        }
        if self.state.log_budget.allows(self.state.now()) {
            log::info!(
                request = self.request_id(), cause = refusal.code(), sends = self.tried.len(),
                runs = self.runs;
                "request is not sent to another replica"
            );
            if refusal == MoveRefusal::Budget {
                self.state.log_exhausted_budget(&self.service);
            }
        }
    }

    fn retry_state(&self) -> RetryState {
        let sends = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        RetryState {
            kind: self.rule.kind,
            runs: self.runs,
            max_attempts: self.rule.max_attempts,
            may_try: sends < self.rule.max_attempts.max(1) + EXTRA_SENDS,
        }
    }

    /// Whether the request has an attempt left for a second run beside the one in progress.
    pub(super) fn may_run_beside(&self) -> bool {
        self.retry_state().may_run_beside()
    }

    /// Chooses the target of a second run beside the one in progress, and takes one retry from the
    /// budget.
    ///
    /// # Errors
    /// A `MoveRefusal` if the run in progress has to go on alone.
    pub(super) fn choose_second(&self) -> Result<TargetChoice, MoveRefusal> {
        if !self.may_run_beside() {
            return Err(MoveRefusal::Attempts);
        }
        if self.status() != QuarantineStatus::Clear {
            return Err(MoveRefusal::Suspect);
        }
        if let Some(refusal) = self.retry_refusal() {
            return Err(refusal);
        }
        let choice = self.choose_for(true).map_err(|_| MoveRefusal::NoTarget)?;
        self.state.take_retry(&self.service);
        Ok(choice)
    }

    /// Counts a run that ended without a complete response, or was given up.
    pub(super) fn count_run(&mut self) {
        self.runs += 1;
    }

    /// Decides how to proceed after an attempt, when no other one is in progress.
    pub(super) fn next_move(&self, end: AttemptEnd) -> NextStep {
        let plan = self.retry_state();
        let next = plan.next(end);
        let refusal = match next {
            // A suspected request could crash a second endpoint.
            NextStep::RetryElsewhere if self.status() != QuarantineStatus::Clear => {
                Some(MoveRefusal::Suspect)
            }
            // The retry budget is charged only if all other conditions allow another attempt.
            NextStep::RetryElsewhere => self.retry_refusal(),
            _ => Some(MoveRefusal::Attempts),
        };
        match refusal {
            None => {
                self.state.take_retry(&self.service);
                next
            }
            Some(refusal) => {
                self.note_move_refusal(refusal);
                RetryState { may_try: false, ..plan }.next(end)
            }
        }
    }

    /// Terms of admission by latency; `None` where slots alone decide.
    fn latency_terms(&self, has_begun: bool) -> Option<LatencyTerms> {
        let entry = self.state.settings.entry.as_ref().filter(|_| self.latency_bound)?;
        let overload = entry.overload.as_ref().filter(|overload| overload.forecast)?;
        let work = self.work?;
        let target = self.rule.target_latency;
        let budget = admission_budget(target, self.state.now().since(self.arrived));
        // A stream that has begun goes on even if its next event is late. A route without a target
        // has no late answers.
        let is_bound = !has_begun && !target.is_zero();
        let gap = self.rule.target_gap;
        let headroom_within = (is_bound && overload.headroom).then_some(target);
        Some(LatencyTerms { work, budget: is_bound.then_some(budget), gap, headroom_within })
    }

    /// Chooses the target for the next attempt.
    pub(super) fn choose_target(&self) -> Result<TargetChoice, ChoiceRefusal> {
        self.choose_for(self.runs > 0 || self.head.last_event.is_some())
    }

    /// Chooses the target for the next attempt. A stream that has begun no longer has to begin in time.
    fn choose_for(&self, has_begun: bool) -> Result<TargetChoice, ChoiceRefusal> {
        let query = TargetQuery {
            service: &self.service,
            model: self.head.model.as_deref(),
            tried: &self.tried,
            latency: self.latency_terms(has_begun),
        };
        let mut table = self.state.table.borrow_mut();
        let choice = table.choose(self.state.now(), &self.book, &query);
        let share_requested = table.take_share_request();
        let known = table.choice_detail();
        drop(table);
        if let Err(refusal) = choice {
            self.refusal.set(RefusalDetail::of_choice(refusal, known));
        }
        if share_requested {
            self.state.send_report();
        }
        choice
    }
}
