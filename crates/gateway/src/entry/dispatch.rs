//! A single attempt: choosing a target, sending the request, and validating the response head.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::deployment::{RepeatKind, RequestWork, RouteBook, RouteRule};
use briartray_fleet::entry::{
    AttemptEnd, ChoiceRefusal, LatencyTerms, NextStep, RetryState, TargetChoice, TargetId,
    TargetQuery, WaitRefusal, admission_budget,
};
use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::{IncarnationId, RequestFingerprint, ServiceName, TeamName};
use briartray_platform::{CallerHead, DispatchHeaders, ResponseHead, dispatch_request};
use briartray_quarantine::{FingerprintParts, QuarantineStatus};
use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;

use super::crash_check;
use super::returns::RefusalDetail;
use super::state::EntryState;
use super::target_guard::TargetGuard;
use briartray_http::{Exchange, SendFailure};

/// Time reserved for returning the response to the caller before the deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

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
    /// Target of the attempt in progress.
    pub(super) chosen: Rc<RefCell<Option<TargetId>>>,
    /// Targets that the request was sent to.
    pub(super) tried: Vec<TargetId>,
    /// Target of the first attempt, if it was chosen before the attempt began.
    pub(super) reserved: Option<ReservedTarget>,
    /// Why the request did not get a turn in the admission queue.
    pub(super) wait_refusal: Option<WaitRefusal>,
    /// Endpoint that the request was last sent to.
    pub(super) sent_to: Option<SentTo>,
    /// Fingerprint of the request, computed on first use.
    pub(super) fingerprint: OnceCell<RequestFingerprint>,
    /// Work that the request asks of a group; `None` for services without engines.
    pub(super) work: Option<RequestWork>,
    /// Time since the caller's first attempt.
    pub(super) caller_age: Duration,
    /// Whether admission by latency applies to the service.
    pub(super) latency_bound: bool,
    /// What a refusal of the request is to tell the log.
    pub(super) refusal: Cell<RefusalDetail>,
    /// Number of replicas that may have run the request. A replica that reported that it did not
    /// run it does not count towards the rule's maximum number of attempts.
    pub(super) runs: u32,
}

/// Where and when a request was sent.
#[derive(Debug, Clone)]
pub(super) struct SentTo {
    pub(super) endpoint: IncarnationId,
    pub(super) address: SocketAddr,
    pub(super) at: TimePoint,
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

/// A replica's response whose head has been validated and whose body has not been read.
pub(super) struct LiveAnswer {
    pub(super) exchange: Exchange,
    pub(super) head: ResponseHead,
    pub(super) address: SocketAddr,
    pub(super) guard: TargetGuard,
}

/// Reason why an attempt produced no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptFailure {
    /// No target was available.
    NoTarget(ChoiceRefusal),
    /// The attempt failed while connecting or sending, or after the request was sent.
    Ended(AttemptEnd),
    /// The request was quarantined before the attempt began.
    Quarantined,
}

/// Computes the fingerprint of a request from `team`.
pub(super) fn request_fingerprint(
    state: &EntryState,
    parts: &Parts,
    head: &CallerHead,
    team: Option<&TeamName>,
    body: &[u8],
) -> RequestFingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let team = team.map(TeamName::as_str);
    state.fingerprint(&FingerprintParts { host: &head.host, path, team, body })
}

/// Whether a rejection with `status` is due to the endpoint's load rather than to the request.
fn is_overload(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

impl ServedRequest {
    /// The caller's request ID for log lines; empty if there is none.
    pub(super) fn request_id(&self) -> &str {
        self.head.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("")
    }

    /// Fingerprint of the request, which does not depend on its ID.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            request_fingerprint(
                &self.state,
                &self.parts,
                &self.head,
                self.team.as_ref(),
                &self.body,
            )
        })
    }

    /// Whether the request is clear, suspected or quarantined.
    fn status(&self) -> QuarantineStatus {
        let by_parts = self.state.parts_status(&self.head.shared_parts);
        by_parts.max(self.state.status(|| self.fingerprint()))
    }

    /// Whether the leader suspects the request or a part of its prompt, so that its completed runs
    /// count.
    pub(super) fn is_suspect(&self) -> bool {
        let status = self.state.status(|| self.fingerprint());
        status == QuarantineStatus::Suspect
            || self.state.has_suspected_part(&self.head.shared_parts)
    }

    /// Records that the request ran to completion and got a response with `status`. This clears the
    /// request, and the parts of its prompt, if they were suspected of crashes.
    ///
    /// An answer that is not framed proves less: only those of suspects were checked for a crash.
    pub(super) fn record_complete_run(&self, status: StatusCode, framed: bool) {
        // A server error does not prove that the request is harmless: a broken endpoint fails every
        // request.
        if status.is_server_error() || !(framed || self.is_suspect()) {
            return;
        }
        if status.is_success() {
            self.state.record_completed_parts(&self.head.shared_parts);
        }
        if self.state.status(|| self.fingerprint()) != QuarantineStatus::Clear {
            let now = self.state.now();
            self.state.evidence_log.borrow_mut().note(now, self.fingerprint(), RunEnd::Whole);
            self.state.send_report();
        }
    }

    /// Time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(self.state.now())
    }

    /// Why neither time nor the retry budget allow another attempt; `None` if they do, which takes one
    /// retry from the budget.
    fn retry_refusal(&self) -> Option<MoveRefusal> {
        if self.time_left() <= ANSWER_MARGIN * 2 {
            return Some(MoveRefusal::Deadline);
        }
        (!self.state.take_retry(&self.service)).then_some(MoveRefusal::Budget)
    }

    /// Records and logs why the request is not sent to another replica.
    pub(super) fn note_move_refusal(&self, refusal: MoveRefusal) {
        self.state.metrics.count_move_refusal(refusal.code());
        if self.state.log_budget.allows(self.state.now()) {
            log::info!(
                request = self.request_id(), cause = refusal.code(), sends = self.tried.len(),
                runs = self.runs;
                "request is not sent to another replica"
            );
        }
    }

    /// Decides how to proceed after an attempt.
    pub(super) fn next_move(&self, end: AttemptEnd) -> NextStep {
        let sends = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        let may_send = sends < self.rule.max_attempts.max(1) + EXTRA_SENDS;
        let plan = RetryState {
            kind: self.rule.kind,
            runs: self.runs,
            max_attempts: self.rule.max_attempts,
            may_try: may_send,
        };
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
            None => next,
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

    /// Whether a target could resume the stream, which no longer has to begin in time.
    pub(super) fn has_target_to_resume(&self) -> bool {
        self.choose_for(true).is_ok()
    }

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

    /// Sends the request to a target and waits for the response head. `last_event` is the ID of the
    /// event after which a stream is resumed.
    pub(super) async fn attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<LiveAnswer, AttemptFailure> {
        let (choice, reserved) = match self.reserved.take() {
            Some(ReservedTarget { choice, guard }) => (choice, Some(guard)),
            None => (self.choose_target().map_err(AttemptFailure::NoTarget)?, None),
        };
        let Some(address) = EntryState::parse_address(&choice.address) else {
            return Err(AttemptFailure::NoTarget(ChoiceRefusal::NoReplica));
        };
        let guard = reserved.unwrap_or_else(|| TargetGuard::new(self, &choice));
        // It may have waited for capacity meanwhile.
        if self.status() == QuarantineStatus::Quarantined {
            return Err(AttemptFailure::Quarantined);
        }
        let request = dispatch_request(
            &self.parts,
            &DispatchHeaders {
                endpoint: &choice.endpoint,
                left: self.time_left().saturating_sub(ANSWER_MARGIN),
                team: self.team.as_ref(),
                priority: self.priority,
                last_event,
            },
            self.body.clone(),
        );
        *self.chosen.borrow_mut() = Some(choice.target.clone());
        self.tried.push(choice.target.clone());
        let endpoint = choice.endpoint.clone();
        self.sent_to = Some(SentTo { endpoint, address, at: self.state.now() });
        let outcome = self.send(address, request, &choice).await;
        match outcome {
            Ok(exchange) => self.check_head(exchange, address, guard),
            Err(failure) => {
                match failure {
                    SendFailure::NotConnected => {
                        self.state.table.borrow_mut().failed(self.state.now(), &choice.target);
                    }
                    SendFailure::Broken => crash_check::check(self),
                    SendFailure::NotSent => {}
                }
                let end = match failure {
                    SendFailure::NotConnected | SendFailure::NotSent => AttemptEnd::NotRun,
                    SendFailure::Broken => AttemptEnd::MayHaveRun,
                };
                Err(self.end_attempt(end))
            }
        }
    }

    async fn send(
        &mut self,
        address: SocketAddr,
        request: http::Request<Bytes>,
        choice: &TargetChoice,
    ) -> Result<Exchange, SendFailure> {
        let target = &choice.target;
        // A request that must not run twice uses a new connection: the endpoint may close a pooled
        // connection while the request is in flight, which would leave the outcome unknown.
        let once = self.rule.kind == RepeatKind::Once;
        let now = self.state.now();
        let idle = if once { None } else { self.state.pool.borrow_mut().take(now, address) };
        let pooled = idle.is_some();
        let connection = briartray_http::connect(idle, address).await?;
        self.check_hold(&choice.endpoint)?;
        let sent = connection.send(request.clone()).await;
        match sent {
            Err(SendFailure::NotSent) if pooled => {
                log::debug!(
                    "pooled connection to {address} ({target:?}) was closed; opening a new one"
                );
                let connection = briartray_http::connect(None, address).await?;
                self.check_hold(&choice.endpoint)?;
                connection.send(request).await
            }
            sent => sent,
        }
    }

    /// Fails if the endpoint has stopped accepting requests since it was chosen.
    fn check_hold(&self, endpoint: &IncarnationId) -> Result<(), SendFailure> {
        if self.state.is_held(endpoint) {
            self.state.metrics.withheld.inc();
            return Err(SendFailure::NotSent);
        }
        Ok(())
    }

    /// Checks that the response belongs to this request, and records the load and limit in its
    /// head.
    fn check_head(
        &mut self,
        exchange: Exchange,
        address: SocketAddr,
        mut guard: TargetGuard,
    ) -> Result<LiveAnswer, AttemptFailure> {
        let status = exchange.head.status;
        let head = ResponseHead::read(status, &exchange.head.headers);
        if !head.matches_request(self.head.request_id.as_ref()) {
            log::warn!("response from {address} has the ID of another request; dropping it");
            return Err(self.end_attempt(AttemptEnd::MayHaveRun));
        }
        let now = self.state.now();
        self.record_answer_state(status, &head);
        if let Some(load) = head.load {
            self.state.table.borrow_mut().sample(now, &guard.target, load);
        }
        if !head.other_endpoint {
            self.state.record_limit(self.sent_to.as_ref().map(|sent| &sent.endpoint), head.limit);
        } else {
            self.state.table.borrow_mut().failed(now, &guard.target);
        }
        if head.not_run {
            return Err(self.end_attempt_with(AttemptEnd::NotRun, Some(status)));
        }
        if !head.stamped {
            log::warn!(status = status.as_u16(); "response lacks the replica's stamp; dropping it");
            return Err(self.end_attempt(AttemptEnd::MayHaveRun));
        }
        guard.note_accepted();
        Ok(LiveAnswer { exchange, head, address, guard })
    }

    /// Records whether the endpoint accepts no requests for a time, or is leaving.
    fn record_answer_state(&self, status: StatusCode, head: &ResponseHead) {
        let Some(SentTo { endpoint, .. }) = &self.sent_to else { return };
        let is_other = head.endpoint.as_deref().is_some_and(|name| name != endpoint.endpoint());
        if head.other_endpoint || is_other {
            return;
        }
        if let Some(wait) = head.backoff {
            self.state.record_backoff(endpoint, wait, status, self.request_id());
        } else if head.not_run && is_overload(status) {
            self.state.record_rejection(endpoint, head.retry_after);
        }
        if head.leaving {
            self.state.record_leaving(endpoint);
        }
    }

    /// Records and logs the end of an attempt whose response had no valid head.
    pub(super) fn end_attempt(&mut self, end: AttemptEnd) -> AttemptFailure {
        self.end_attempt_with(end, None)
    }

    /// Records and logs the end of an attempt; `status` is that of a rejection.
    fn end_attempt_with(&mut self, end: AttemptEnd, status: Option<StatusCode>) -> AttemptFailure {
        self.runs += u32::from(end != AttemptEnd::NotRun);
        let outcome = match end {
            AttemptEnd::NotRun => "not_run",
            AttemptEnd::MayHaveRun => "unknown",
            AttemptEnd::RunFailed => "failed",
        };
        self.state.metrics.count_attempt(outcome);
        if self.state.log_budget.allows(self.state.now()) {
            log::info!(
                request = self.request_id(), service = self.service.as_str(), outcome,
                endpoint = self.sent_to.as_ref().map(|sent| sent.endpoint.endpoint()),
                status = status.map(|status| status.as_u16()),
                sends = self.tried.len(), runs = self.runs,
                left_ms = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
                "attempt failed at target {:?}", self.tried.last()
            );
        }
        AttemptFailure::Ended(end)
    }
}

impl LiveAnswer {
    /// Returns the connection to the pool if the response was complete and the endpoint keeps it
    /// open.
    pub(super) fn release_connection(self, request: &ServedRequest) {
        if !self.head.closes_connection {
            let connection = self.exchange.into_connection();
            let (now, limit) = (request.state.now(), self.head.idle_limit);
            let mut pool = request.state.pool.borrow_mut();
            pool.put(now, self.address, connection, limit, request.idle_connections);
        }
    }
}
