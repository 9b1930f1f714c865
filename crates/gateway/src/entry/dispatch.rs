//! One attempt: choosing a target, sending, and judging the head of the answer.

use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::deployment::{RepeatKind, RouteBook, RouteRule};
use briartray_fleet::entry::{
    AttemptEnd, ChoiceRefusal, NextStep, RetryState, TargetChoice, TargetId, TargetQuery,
};
use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::{IncarnationId, RequestFingerprint, ServiceName, TeamName};
use briartray_platform::{CallerHead, DispatchHeaders, ResponseHead, dispatch_request};
use briartray_quarantine::{PrintParts, PrintStanding};
use bytes::Bytes;
use http::request::Parts;

use super::crash_check;
use super::state::EntryState;
use briartray_http::{Exchange, SendFailure};

/// Time that is kept back for the way to the caller and for answering in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// A request that is being served.
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
    /// When the caller or the rule gives up.
    pub(super) until: TimePoint,
    /// Idle connections that this entry keeps to one endpoint of the service.
    pub(super) idle_connections: usize,
    /// Target of the attempt in progress.
    pub(super) chosen: Rc<RefCell<Option<TargetId>>>,
    /// Targets it was sent to.
    pub(super) tried: Vec<TargetId>,
    /// Endpoint that it was sent to last.
    pub(super) sent_to: Option<SentTo>,
    /// What identifies it, once that was wanted.
    pub(super) print: OnceCell<RequestFingerprint>,
    /// Replicas that may have run it. One that said that it had not does not count towards the
    /// attempts that the rule allows.
    pub(super) runs: u32,
}

/// Where and when a request was sent.
#[derive(Debug, Clone)]
pub(super) struct SentTo {
    pub(super) endpoint: IncarnationId,
    pub(super) address: SocketAddr,
    pub(super) at: TimePoint,
}

/// Sends beyond the attempts that a rule allows, when replicas did not take the request.
const EXTRA_SENDS: u32 = 1;

/// Counts a request on its target until it is dropped.
pub(super) struct TargetGuard {
    state: Rc<EntryState>,
    began: TimePoint,
    pub(super) target: TargetId,
}

impl TargetGuard {
    fn new(state: &Rc<EntryState>, choice: &TargetChoice) -> Self {
        let mut table = state.table.borrow_mut();
        table.limits().send(state.now(), &choice.endpoint);
        table.begin(state.now(), &choice.target);
        drop(table);
        Self { state: Rc::clone(state), began: state.now(), target: choice.target.clone() }
    }

    /// Bytes came from the target.
    pub(super) fn moved(&self) {
        self.state.table.borrow_mut().moved(self.state.now(), &self.target);
    }

    /// The first part of the answer came.
    pub(super) fn first_part(&self) {
        let now = self.state.now();
        let took = now.since(self.began);
        self.state.table.borrow_mut().first_part(now, &self.target, took);
    }

    /// Whether nothing is to be expected of the target.
    pub(super) fn is_given_up(&self) -> bool {
        self.state.table.borrow().is_given_up(self.state.now(), &self.target)
    }
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.table.borrow_mut().end(now, &self.target);
    }
}

/// An answer of a replica whose head has been judged.
pub(super) struct LiveAnswer {
    pub(super) exchange: Exchange,
    pub(super) told: ResponseHead,
    pub(super) address: SocketAddr,
    pub(super) guard: TargetGuard,
}

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptFailure {
    /// There was nowhere to send it.
    NoTarget(ChoiceRefusal),
    /// It was sent, or nearly.
    Ended(AttemptEnd),
}

/// What identifies a request of `team`.
pub(super) fn request_print(
    state: &EntryState,
    parts: &Parts,
    head: &CallerHead,
    team: Option<&TeamName>,
    body: &[u8],
) -> RequestFingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let team = team.map(TeamName::as_str);
    state.print(&PrintParts { host: &head.host, path, team, body })
}

impl ServedRequest {
    /// The caller's id, for the log.
    pub(super) fn id(&self) -> &str {
        self.head.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("")
    }

    /// What identifies it, whatever its id.
    pub(super) fn print(&self) -> RequestFingerprint {
        *self.print.get_or_init(|| {
            request_print(&self.state, &self.parts, &self.head, self.team.as_ref(), &self.body)
        })
    }

    /// How it stands with the quarantine.
    fn standing(&self) -> PrintStanding {
        self.state.standing(|| self.print())
    }

    /// It ran to its end. A request that was at crashes is cleared by that.
    pub(super) fn ran_whole(&self) {
        if self.standing() != PrintStanding::Clear {
            let now = self.state.now();
            self.state.runs.borrow_mut().note(now, self.print(), RunEnd::Whole);
            self.state.send_report();
        }
    }

    /// Time that is left.
    pub(super) fn left(&self) -> Duration {
        self.until.since(self.state.now())
    }

    /// Whether a further attempt makes sense, apart from what it may do.
    pub(super) fn may_try(&self) -> bool {
        self.left() > ANSWER_MARGIN * 2 && self.state.take_repeat(&self.service)
    }

    /// What follows from the end of an attempt.
    pub(super) fn next_move(&self, end: AttemptEnd) -> NextStep {
        let sends = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        let may_send = sends < self.rule.max_attempts.max(1) + EXTRA_SENDS;
        let plan = RetryState {
            kind: self.rule.kind,
            runs: self.runs,
            max_attempts: self.rule.max_attempts,
            may_try: may_send,
        };
        match plan.next(end) {
            // A second endpoint would crash as well.
            NextStep::RetryElsewhere if self.standing() != PrintStanding::Clear => {
                RetryState { may_try: false, ..plan }.next(end)
            }
            // The budget is asked only when everything else allows another attempt.
            NextStep::RetryElsewhere if !self.may_try() => {
                RetryState { may_try: false, ..plan }.next(end)
            }
            next => next,
        }
    }

    /// Chooses a target.
    pub(super) fn choose(&self) -> Result<TargetChoice, ChoiceRefusal> {
        let query = TargetQuery {
            service: &self.service,
            model: self.head.model.as_deref(),
            tried: &self.tried,
        };
        let mut table = self.state.table.borrow_mut();
        let choice = table.choose(self.state.now(), &self.book, &query);
        let wants_share = table.take_share_request();
        drop(table);
        if wants_share {
            self.state.send_report();
        }
        choice
    }

    /// Sends the request to a target and waits for the head of its answer; `last_event` is where
    /// a stream goes on.
    pub(super) async fn attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<LiveAnswer, AttemptFailure> {
        let choice = self.choose().map_err(AttemptFailure::NoTarget)?;
        let Some(address) = EntryState::parse_address(&choice.address) else {
            return Err(AttemptFailure::NoTarget(ChoiceRefusal::NoReplica));
        };
        let guard = TargetGuard::new(&self.state, &choice);
        let request = dispatch_request(
            &self.parts,
            &DispatchHeaders {
                endpoint: &choice.endpoint,
                left: self.left().saturating_sub(ANSWER_MARGIN),
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
        let outcome = self.send(address, request, &choice.target).await;
        match outcome {
            Ok(exchange) => self.judge(exchange, address, guard),
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
                Err(self.ended(end))
            }
        }
    }

    async fn send(
        &mut self,
        address: SocketAddr,
        request: http::Request<Bytes>,
        target: &TargetId,
    ) -> Result<Exchange, SendFailure> {
        // A request that must not run twice goes over a new connection: one from the pool may be
        // closed by the endpoint while the request is on its way, and its outcome is then unknown.
        let once = self.rule.kind == RepeatKind::Once;
        let now = self.state.now();
        let idle = if once { None } else { self.state.pool.borrow_mut().take(now, address) };
        let pooled = idle.is_some();
        let connection = briartray_http::connect(idle, address).await?;
        let sent = connection.send(request.clone()).await;
        match sent {
            Err(SendFailure::NotSent) if pooled => {
                log::debug!("a kept connection to {address} was closed ({target:?})");
                briartray_http::connect(None, address).await?.send(request).await
            }
            sent => sent,
        }
    }

    /// Whether the answer is this request's, and what it says.
    fn judge(
        &mut self,
        exchange: Exchange,
        address: SocketAddr,
        guard: TargetGuard,
    ) -> Result<LiveAnswer, AttemptFailure> {
        let status = exchange.head.status;
        let told = ResponseHead::read(status, &exchange.head.headers);
        if !told.matches_request(self.head.request_id.as_ref()) {
            log::warn!("an answer at {address} belongs to another request and is dropped");
            return Err(self.ended(AttemptEnd::MayHaveRun));
        }
        let now = self.state.now();
        if let Some(load) = told.load {
            self.state.table.borrow_mut().sample(now, &guard.target, load);
        }
        if !told.other_endpoint {
            self.state.hear_limit(self.sent_to.as_ref().map(|sent| &sent.endpoint), told.limit);
        } else {
            self.state.table.borrow_mut().failed(now, &guard.target);
        }
        if told.not_run {
            log::debug!(status = status.as_u16(); "a replica did not take a request");
            return Err(self.ended(AttemptEnd::NotRun));
        }
        if !told.stamped {
            log::warn!(status = status.as_u16(); "an answer without a replica's proof is dropped");
            return Err(self.ended(AttemptEnd::MayHaveRun));
        }
        Ok(LiveAnswer { exchange, told, address, guard })
    }

    /// Notes how an attempt ended.
    pub(super) fn ended(&mut self, end: AttemptEnd) -> AttemptFailure {
        self.runs += u32::from(end != AttemptEnd::NotRun);
        let outcome = match end {
            AttemptEnd::NotRun => "not_run",
            AttemptEnd::MayHaveRun => "unknown",
            AttemptEnd::RunFailed => "failed",
        };
        self.state.metrics.attempt(outcome);
        if self.state.lines.allows(self.state.now()) {
            log::info!(
                request = self.id(), service = self.service.as_str(), outcome,
                sends = self.tried.len(), runs = self.runs,
                left_ms = u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX);
                "an attempt failed at {:?}", self.tried.last()
            );
        }
        AttemptFailure::Ended(end)
    }
}

impl LiveAnswer {
    /// Keeps the connection for later, when the answer was whole and allows it.
    pub(super) fn release(self, request: &ServedRequest) {
        if !self.told.closes_connection {
            let connection = self.exchange.into_connection();
            let (now, limit) = (request.state.now(), self.told.idle_limit);
            let mut pool = request.state.pool.borrow_mut();
            pool.put(now, self.address, connection, limit, request.idle_connections);
        }
    }
}
