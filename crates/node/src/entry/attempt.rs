//! One attempt at a request: performs the input and output that an [`AttemptTracker`] decides on.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use briartray_link::{CallKind, LinkReader, LinkWriter};
use briartray_model::TimePoint;
use briartray_model::message::{
    AgentReply, CallOutcome, DispatchOrder, EntryRequest, GroupRecord, LoadReport, RefusalReason,
    TraceContext,
};
use briartray_model::names::{AttemptId, IncarnationId};
use briartray_routing::attempt::{AttemptTracker, DisconnectCause, TrackerAction, TrackerPlan};

use super::call::CallPlan;
use super::output::CallerOutput;
use super::refusal::{CallRefusal, RefusalCode};
use super::shared::{EntryShared, EntryView};
use crate::new_attempt_id;
use crate::trace::{HopSpan, SpanHop};

#[cfg(test)]
#[path = "attempt_tests.rs"]
mod tests;

/// Timeout for an agent to acknowledge a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Age up to which a connection counts as new when an attempt reconnects.
///
/// Shorter than any silence that triggers a reconnect, so that all streams of one dead connection
/// share its replacement.
const FRESH_CONNECTION_AGE: Duration = Duration::from_millis(500);

/// Lowest HTTP status that reports a failure of the endpoint.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// How one attempt ended.
pub(super) enum AttemptEnd {
    /// The caller has its whole answer, or disconnected (then without a load report).
    Answered(Option<LoadReport>),
    /// The caller has the endpoint's whole answer, which is a server error.
    AnsweredFailure(LoadReport),
    /// Not run; another replica may be tried.
    Refused(RefusalReason, Option<LoadReport>),
    /// Not ended, but its agent is silent: another replica should be tried.
    Silent,
    /// Ended without a whole answer.
    Failed {
        /// The refusal for the caller.
        refusal: CallRefusal,
        /// Incarnation of the endpoint, if it crashed during the attempt.
        crashed: Option<IncarnationId>,
    },
}

/// Maximum total size of the answers that the process buffers, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// Size up to which an answer is buffered although the total is used up, in bytes, so that large answers do
/// not fail small ones.
const SMALL_ANSWER_BYTES: usize = 32 * 1024;

/// Total size of the answers that the process buffers, in bytes.
static BUFFERED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// An answer that is not a stream, buffered until it is complete.
#[derive(Default)]
struct BufferedAnswer {
    status: u16,
    content_type: String,
    body: Vec<u8>,
    counted: CountedBytes,
}

/// Part of the total that an answer counts for, until it has been delivered or dropped.
#[derive(Default)]
struct CountedBytes(usize);

impl Drop for CountedBytes {
    fn drop(&mut self) {
        BUFFERED_BYTES.fetch_sub(self.0, Ordering::Relaxed);
    }
}

/// The link stream that the attempt uses now.
struct AttemptStream {
    writer: LinkWriter,
    reader: LinkReader,
}

/// An attempt that has not ended.
pub(super) struct AttemptRun<'a> {
    shared: &'a EntryShared,
    link: SocketAddr,
    attempt: AttemptId,
    tracker: AttemptTracker,
    stream: AttemptStream,
    answer: BufferedAnswer,
    span: HopSpan,
}

impl Drop for AttemptRun<'_> {
    fn drop(&mut self) {
        self.shared.metrics.doubled.inc_by(self.tracker.doubled());
    }
}

impl<'a> AttemptRun<'a> {
    /// Sends the dispatch of a new attempt.
    pub(super) fn start(
        shared: &'a EntryShared,
        view: &EntryView,
        plan: &CallPlan,
        record: &GroupRecord,
        deadline: TimePoint,
    ) -> Self {
        let attempt = new_attempt_id();
        let mut span = shared.traces.span(SpanHop::Link, plan.trace);
        span.set_attribute("attempt", attempt);
        span.set_attribute("group", record.group);
        let order = build_order(shared, view, plan, record, attempt, deadline, span.context());
        let tracker = AttemptTracker::new(
            shared.clock.now(),
            TrackerPlan {
                attempt,
                incarnation: record.incarnation,
                repeatable: plan.repeatable,
                deadline,
            },
        );
        let (writer, reader) = shared.link.open(record.link, CallKind::Dispatch);
        let stream = AttemptStream { writer, reader };
        if let Err(error) = stream.writer.send(&EntryRequest::Dispatch(order)) {
            // The reader reports why the stream ended, and with it whether anything was sent.
            log::debug!("dispatch could not be sent: {error}");
        }
        let (link, answer) = (record.link, BufferedAnswer::default());
        Self { shared, link, attempt, tracker, stream, answer, span }
    }

    /// Follows the attempt to its end, or until its agent is silent.
    ///
    /// Returns the output unless the caller was answered or has disconnected.
    pub(super) fn follow(&mut self, output: CallerOutput) -> (AttemptEnd, Option<CallerOutput>) {
        let (end, returned) = self.relay(output);
        if let AttemptEnd::Failed { refusal, .. } = &end {
            self.span.fail(&refusal.message);
        } else if let AttemptEnd::Refused(reason, _) = &end {
            self.span.set_attribute("refused", format!("{reason:?}"));
        }
        (end, returned)
    }

    /// Follows a silent attempt to its end, because no other replica can take the request.
    pub(super) fn keep(&mut self, output: CallerOutput) -> (AttemptEnd, Option<CallerOutput>) {
        self.tracker.keep(self.shared.clock.now());
        self.follow(output)
    }

    fn relay(&mut self, mut output: CallerOutput) -> (AttemptEnd, Option<CallerOutput>) {
        loop {
            let (action, is_progress) = self.next_action();
            match action {
                TrackerAction::Wait => {
                    if is_progress && output.check_caller().is_err() {
                        return (self.caller_gone(), None);
                    }
                }
                TrackerAction::Crossed => {
                    self.shared.metrics.crossed.inc();
                    log::warn!("dropped an answer that belongs to another attempt");
                }
                TrackerAction::Head { status, content_type } => {
                    self.answer.status = status;
                    self.answer.content_type = content_type;
                }
                TrackerAction::Deliver(data) if !self.answer.is_event_stream() => {
                    if !self.answer.push(&data) {
                        self.cancel();
                        output.mark_may_have_run();
                        let detail = "the entry has no room for the answer";
                        let refusal = replica_failure(CallOutcome::Unknown, detail);
                        return (AttemptEnd::Failed { refusal, crashed: None }, Some(output));
                    }
                }
                TrackerAction::Deliver(data) => {
                    self.tracker.mark_delivered();
                    if output.event(&data).is_err() {
                        return (self.caller_gone(), None);
                    }
                }
                TrackerAction::Finish(load) => {
                    let _ =
                        self.stream.writer.send(&EntryRequest::Received { attempt: self.attempt });
                    let answer = std::mem::take(&mut self.answer);
                    let failed = answer.status >= MIN_SERVER_ERROR_STATUS;
                    answer.deliver(output);
                    let end = match failed {
                        true => AttemptEnd::AnsweredFailure(load),
                        false => AttemptEnd::Answered(Some(load)),
                    };
                    return (end, None);
                }
                TrackerAction::Reconnect { request, wait } => self.reconnect(&request, wait),
                TrackerAction::Refused(reason, load) => {
                    return (AttemptEnd::Refused(reason, load), Some(output));
                }
                TrackerAction::Silent => return (AttemptEnd::Silent, Some(output)),
                TrackerAction::Lost { outcome, detail, crashed } => {
                    self.cancel();
                    output.mark_may_have_run();
                    let refusal = replica_failure(outcome, &detail);
                    return (AttemptEnd::Failed { refusal, crashed }, Some(output));
                }
                TrackerAction::Late => {
                    // The caller is answered now; the agent's confirmation is not awaited.
                    let message =
                        "no whole answer came before the deadline; look up whether it ran";
                    let refusal = CallRefusal::unknown(RefusalCode::DeadlinePassed, message);
                    self.cancel();
                    output.mark_may_have_run();
                    return (AttemptEnd::Failed { refusal, crashed: None }, Some(output));
                }
            }
        }
    }

    /// Waits for one event; the flag is `true` for a progress message.
    fn next_action(&mut self) -> (TrackerAction, bool) {
        let wait = self.tracker.wait(self.shared.clock.now());
        let received = self.stream.reader.receive::<AgentReply>(wait);
        let now = self.shared.clock.now();
        match received {
            Ok(reply) => {
                let is_progress =
                    matches!(reply, AgentReply::Progress { .. } | AgentReply::Stalled { .. });
                (self.tracker.on_reply(now, reply), is_progress)
            }
            Err(briartray_link::LinkError::TimedOut) => (self.tracker.on_timeout(now), false),
            Err(error) => {
                log::debug!("stream of attempt {} ended: {error}", self.attempt);
                let cause = match error.is_silent() {
                    true => DisconnectCause::Silent,
                    false => DisconnectCause::Closed,
                };
                (self.tracker.on_disconnect(now, error.nothing_sent(), cause), false)
            }
        }
    }

    /// Sends `request` over a connection that is newer than the one that failed.
    fn reconnect(&mut self, request: &EntryRequest, wait: Duration) {
        self.shared.metrics.reconnects.inc();
        std::thread::sleep(wait);
        let now = Instant::now();
        let connected_after = now.checked_sub(FRESH_CONNECTION_AGE).unwrap_or(now);
        let (writer, reader) =
            self.shared.link.open_since(self.link, CallKind::Dispatch, connected_after);
        if let Err(error) = writer.send(request) {
            log::debug!("request could not be sent after a reconnect: {error}");
        }
        self.stream = AttemptStream { writer, reader };
    }

    fn caller_gone(&self) -> AttemptEnd {
        log::debug!("caller of attempt {} disconnected; cancelling it", self.attempt);
        self.cancel();
        AttemptEnd::Answered(None)
    }

    /// Cancels the attempt at the agent, so that the engine stops generating.
    pub(super) fn cancel(&self) {
        let (link, address, attempt) = (self.shared.link.clone(), self.link, self.attempt);
        let send_cancel = move || {
            let (writer, reader) = link.open(address, CallKind::Dispatch);
            let sent = writer.send(&EntryRequest::Cancel { attempt });
            let answered = sent.and_then(|()| reader.receive::<AgentReply>(CANCEL_TIMEOUT));
            if let Err(error) = answered {
                log::debug!("attempt {attempt} could not be cancelled: {error}");
            }
        };
        if let Err(error) =
            briartray_web::spawn_worker("cancel", briartray_web::WORKER_STACK_BYTES, send_cancel)
        {
            log::error!("cannot start the cancel thread: {error}; raise the thread limit");
        }
    }
}

impl BufferedAnswer {
    fn is_event_stream(&self) -> bool {
        self.status == 200 && self.content_type.starts_with("text/event-stream")
    }

    /// Appends `data`; returns `false` if there is no room for it.
    fn push(&mut self, data: &[u8]) -> bool {
        let total = BUFFERED_BYTES.fetch_add(data.len(), Ordering::Relaxed) + data.len();
        self.counted.0 += data.len();
        if self.body.len() + data.len() > SMALL_ANSWER_BYTES && total > MAX_BUFFERED_BYTES {
            return false;
        }
        self.body.extend_from_slice(data);
        true
    }

    fn deliver(self, output: CallerOutput) {
        if !self.is_event_stream() {
            output.finish_body(self.status, &self.content_type, self.body);
        } else if let Err(error) = output.finish_events() {
            log::debug!("caller disconnected during its answer: {error}");
        }
    }
}

fn build_order(
    shared: &EntryShared,
    view: &EntryView,
    plan: &CallPlan,
    record: &GroupRecord,
    attempt: AttemptId,
    deadline: TimePoint,
    trace: TraceContext,
) -> DispatchOrder {
    let left = deadline.since(shared.clock.now()).as_millis();
    DispatchOrder {
        attempt,
        request: plan.id,
        trace,
        group: record.group,
        fencing: record.fencing,
        incarnation: record.incarnation,
        revision: view.snapshot.revision,
        service: plan.service.clone(),
        team: plan.team.clone(),
        target: plan.target.clone(),
        body: plan.body.clone(),
        stream: plan.stream,
        priority: plan.admit.priority,
        deadline_ms: u32::try_from(left).unwrap_or(u32::MAX),
        once: !plan.repeatable,
    }
}

/// The refusal of a request whose replica is silent.
pub(super) fn silent_replica() -> CallRefusal {
    replica_failure(CallOutcome::Unknown, "replica is unreachable")
}

fn replica_failure(outcome: CallOutcome, detail: &str) -> CallRefusal {
    let message = format!("{detail}; look up whether it ran before you send it again");
    CallRefusal { code: RefusalCode::ReplicaFailed, message, outcome }
}
