//! A single attempt: sending the request to a target, and validating the response head.
//!
//! An attempt owns what it needs while it is sent, so that a request can have a second one beside
//! it: an endpoint that is silent may go on, so its run is given up only for one that delivers.

use std::net::SocketAddr;
use std::rc::Rc;

use briartray_fleet::deployment::RepeatKind;
use briartray_fleet::entry::{AttemptEnd, ChoiceRefusal, TargetChoice, TargetId};
use briartray_model::TimePoint;
use briartray_model::names::IncarnationId;
use briartray_platform::{DispatchHeaders, ResponseHead, dispatch_request};
use briartray_quarantine::QuarantineStatus;
use bytes::Bytes;
use http::StatusCode;

use super::crash_check;
use super::dispatch::{ANSWER_MARGIN, MoveRefusal, ReservedTarget, ServedRequest, StartFailure};
use super::given_up::{RunWatch, SendProgress, SendingExchange};
use super::state::EntryState;
use super::target_guard::TargetGuard;
use briartray_http::{EndpointConnection, Exchange, SendFailure};

/// Where and when a request was sent.
#[derive(Debug, Clone)]
pub(super) struct SentTo {
    pub(super) endpoint: IncarnationId,
    pub(super) address: SocketAddr,
    pub(super) at: TimePoint,
}

/// An attempt whose target is chosen and counts the request.
pub(super) struct PreparedAttempt {
    guard: TargetGuard,
    request: http::Request<Bytes>,
    /// Whether the request must not run twice.
    once: bool,
    watch: RunWatch,
}

/// A request on its way to an endpoint.
struct RequestSender {
    state: Rc<EntryState>,
    request: http::Request<Bytes>,
    sent_to: SentTo,
    /// Whether the request must not run twice.
    once: bool,
    progress: Rc<SendProgress>,
}

/// What came of sending a request.
pub(super) struct AttemptReply {
    outcome: Result<Exchange, SendFailure>,
    guard: TargetGuard,
    watch: RunWatch,
}

/// An attempt that is being sent. Dropping it gives the attempt up; its run is observed to its end.
pub(super) struct SendingAttempt {
    /// `None` once the response head has arrived.
    pending: Option<(SendingExchange, TargetGuard)>,
    progress: Rc<SendProgress>,
    watch: RunWatch,
}

/// A replica's response whose head has been validated and whose body has not been read.
pub(super) struct LiveAnswer {
    pub(super) exchange: Exchange,
    pub(super) head: ResponseHead,
    pub(super) sent_to: SentTo,
    pub(super) guard: TargetGuard,
}

impl PreparedAttempt {
    /// Starts sending the request; it is sent while [`SendingAttempt::reply`] is awaited.
    pub(super) fn start(self) -> SendingAttempt {
        let Self { guard, request, once, watch } = self;
        let progress = Rc::new(SendProgress::default());
        let sender = RequestSender {
            state: Rc::clone(&watch.state),
            request,
            sent_to: watch.sent_to.clone(),
            once,
            progress: Rc::clone(&progress),
        };
        let exchange: SendingExchange = Box::pin(async move { sender.send().await });
        SendingAttempt { pending: Some((exchange, guard)), progress, watch }
    }
}

impl RequestSender {
    async fn send(&self) -> Result<Exchange, SendFailure> {
        let Self { state, sent_to: SentTo { address, .. }, request, .. } = self;
        // A request that must not run twice uses a new connection: the endpoint may close a pooled
        // connection while the request is in flight, which would leave the outcome unknown.
        let idle =
            if self.once { None } else { state.pool.borrow_mut().take(state.now(), *address) };
        let pooled = idle.is_some();
        match self.send_on(idle, request.clone()).await {
            Err(SendFailure::NotSent) if pooled && !self.is_withheld() => {
                log::debug!("pooled connection to {address} was closed; opening a new one");
                self.send_on(None, request.clone()).await
            }
            sent => sent,
        }
    }

    /// Sends the request on the `idle` connection, or a new one, unless the endpoint has stopped
    /// accepting requests since it was chosen.
    async fn send_on(
        &self,
        idle: Option<EndpointConnection>,
        request: http::Request<Bytes>,
    ) -> Result<Exchange, SendFailure> {
        let connection = briartray_http::connect(idle, self.sent_to.address).await?;
        if self.is_withheld() {
            self.state.metrics.withheld.inc();
            return Err(SendFailure::NotSent);
        }
        self.progress.set_sent(Some(connection.sending_half()));
        let sent = connection.send(request).await;
        if matches!(sent, Err(SendFailure::NotSent)) {
            self.progress.set_sent(None);
        }
        sent
    }

    /// Whether the request must not be sent: the endpoint accepts none, or the attempt was given up.
    fn is_withheld(&self) -> bool {
        self.progress.is_given_up() || self.state.is_held(&self.sent_to.endpoint)
    }
}

impl SendingAttempt {
    /// Waits for the response head. May be cancelled and called again, but not after it returned.
    pub(super) async fn reply(&mut self) -> AttemptReply {
        if let Some((exchange, _)) = &mut self.pending {
            let outcome = exchange.await;
            if let Some((_, guard)) = self.pending.take() {
                return AttemptReply { outcome, guard, watch: self.watch.clone() };
            }
        }
        std::future::pending().await
    }

    /// Whether the endpoint may run the request.
    pub(super) fn may_run(&self) -> bool {
        self.progress.is_sent()
    }

    /// The target that the request is sent to.
    pub(super) fn target(&self) -> &TargetId {
        &self.watch.target
    }

    /// Where and when the request was sent.
    pub(super) fn sent_to(&self) -> &SentTo {
        &self.watch.sent_to
    }
}

impl Drop for SendingAttempt {
    fn drop(&mut self) {
        if let Some((exchange, _)) = self.pending.take() {
            self.watch.clone().observe_sending(exchange, Rc::clone(&self.progress));
        }
    }
}

/// Whether a rejection with `status` is due to the endpoint's load rather than to the request.
fn is_overload(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

impl ServedRequest {
    /// Prepares the next attempt. `last_event` is the ID of the event after which a stream is resumed.
    ///
    /// # Errors
    /// A `StartFailure` if there is no target, or the request is quarantined.
    pub(super) fn prepare(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<PreparedAttempt, StartFailure> {
        let (choice, reserved) = match self.reserved.take() {
            Some(ReservedTarget { choice, guard }) => (choice, Some(guard)),
            None => (self.choose_target().map_err(StartFailure::NoTarget)?, None),
        };
        let guard = reserved.unwrap_or_else(|| TargetGuard::new(self, &choice));
        // It may have waited for capacity meanwhile.
        if self.status() == QuarantineStatus::Quarantined {
            return Err(StartFailure::Quarantined);
        }
        self.prepare_for(choice, guard, last_event)
            .ok_or(StartFailure::NoTarget(ChoiceRefusal::NoReplica))
    }

    /// Prepares a second attempt beside the one in progress, as [`Self::prepare`].
    ///
    /// # Errors
    /// A `MoveRefusal` if the attempt in progress has to go on alone.
    pub(super) fn prepare_second(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<PreparedAttempt, MoveRefusal> {
        let choice = self.choose_second()?;
        let guard = TargetGuard::new(self, &choice);
        self.prepare_for(choice, guard, last_event).ok_or(MoveRefusal::NoTarget)
    }

    fn prepare_for(
        &mut self,
        choice: TargetChoice,
        guard: TargetGuard,
        last_event: Option<u64>,
    ) -> Option<PreparedAttempt> {
        let address = EntryState::parse_address(&choice.address)?;
        let (now, left) = (self.state.now(), self.time_left().saturating_sub(ANSWER_MARGIN));
        let request = dispatch_request(
            &self.parts,
            &DispatchHeaders {
                endpoint: &choice.endpoint,
                left,
                team: self.team.as_ref(),
                priority: self.priority,
                last_event,
            },
            self.body.clone(),
        );
        self.tried.push(choice.target);
        let watch = RunWatch {
            state: Rc::clone(&self.state),
            identity: Rc::clone(&self.identity),
            sent_to: SentTo { endpoint: choice.endpoint, address, at: now },
            target: guard.target.clone(),
            deadline: now.after(left),
        };
        Some(PreparedAttempt { guard, request, once: self.rule.kind == RepeatKind::Once, watch })
    }

    /// Validates the response head, and records the load and limit in it.
    ///
    /// # Errors
    /// How the attempt ended without a valid response head.
    pub(super) fn accept(&mut self, reply: AttemptReply) -> Result<LiveAnswer, AttemptEnd> {
        let AttemptReply { outcome, guard, watch } = reply;
        let sent_to = watch.sent_to.clone();
        match outcome {
            Ok(exchange) => self.check_head(exchange, watch, guard),
            Err(SendFailure::NotConnected) => {
                self.state.table.borrow_mut().failed(self.state.now(), &guard.target);
                Err(self.end_attempt(&sent_to, AttemptEnd::NotRun))
            }
            Err(SendFailure::NotSent) => Err(self.end_attempt(&sent_to, AttemptEnd::NotRun)),
            Err(SendFailure::Broken) => {
                crash_check::check(self, &sent_to);
                Err(self.end_attempt(&sent_to, AttemptEnd::MayHaveRun))
            }
        }
    }

    /// Checks that the response belongs to this request, and records the load and limit in its
    /// head.
    fn check_head(
        &mut self,
        mut exchange: Exchange,
        watch: RunWatch,
        mut guard: TargetGuard,
    ) -> Result<LiveAnswer, AttemptEnd> {
        let sent_to = watch.sent_to.clone();
        let status = exchange.head.status;
        let head = ResponseHead::read(status, &exchange.head.headers);
        if !head.not_run {
            let framed = exchange.is_framed();
            exchange.watch(move |unread| watch.observe_reading(unread, status, framed));
        }
        if !head.matches_request(self.head.request_id.as_ref()) {
            log::warn!(
                "response from {} has the ID of another request; dropping it",
                sent_to.address
            );
            return Err(self.end_attempt(&sent_to, AttemptEnd::MayHaveRun));
        }
        let now = self.state.now();
        self.record_answer_state(&sent_to.endpoint, status, &head);
        if let Some(load) = head.load {
            self.state.table.borrow_mut().sample(now, &guard.target, load);
        }
        if !head.other_endpoint {
            self.state.record_limit(Some(&sent_to.endpoint), head.limit);
        } else {
            self.state.table.borrow_mut().failed(now, &guard.target);
        }
        if head.not_run {
            return Err(self.end_attempt_with(&sent_to, AttemptEnd::NotRun, Some(status)));
        }
        if !head.stamped {
            log::warn!(status = status.as_u16(); "response lacks the replica's stamp; dropping it");
            return Err(self.end_attempt(&sent_to, AttemptEnd::MayHaveRun));
        }
        guard.note_accepted();
        Ok(LiveAnswer { exchange, head, sent_to, guard })
    }

    /// Records whether the endpoint accepts no requests for a time, or is leaving.
    fn record_answer_state(
        &self,
        endpoint: &IncarnationId,
        status: StatusCode,
        head: &ResponseHead,
    ) {
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

    /// Records and logs the end of an attempt without a complete response.
    pub(super) fn end_attempt(&mut self, sent_to: &SentTo, end: AttemptEnd) -> AttemptEnd {
        self.end_attempt_with(sent_to, end, None)
    }

    /// Records and logs the end of an attempt; `status` is that of a rejection.
    fn end_attempt_with(
        &mut self,
        sent_to: &SentTo,
        end: AttemptEnd,
        status: Option<StatusCode>,
    ) -> AttemptEnd {
        if end != AttemptEnd::NotRun {
            self.count_run();
        }
        let outcome = match end {
            AttemptEnd::NotRun => "not_run",
            AttemptEnd::MayHaveRun => "unknown",
            AttemptEnd::RunFailed => "failed",
        };
        self.state.metrics.count_attempt(outcome);
        if self.state.log_budget.allows(self.state.now()) {
            log::info!(
                request = self.request_id(), service = self.service.as_str(), outcome,
                endpoint = sent_to.endpoint.endpoint(),
                status = status.map(|status| status.as_u16()),
                sends = self.tried.len(), runs = self.runs,
                left_ms = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
                "attempt failed"
            );
        }
        end
    }
}

impl LiveAnswer {
    /// Returns the connection to the pool if the response was complete and the endpoint keeps it
    /// open.
    pub(super) fn release_connection(self, request: &ServedRequest) {
        if !self.head.closes_connection
            && let Some(connection) = self.exchange.into_connection()
        {
            let (now, limit) = (request.state.now(), self.head.idle_limit);
            let mut pool = request.state.pool.borrow_mut();
            pool.put(now, self.sent_to.address, connection, limit, request.idle_connections);
        }
    }
}
