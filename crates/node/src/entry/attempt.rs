//! One attempt at a request: the input and output around an [`AttemptTracker`].

use std::time::{Duration, Instant};

use briartray_link::{CallKind, LinkReader, LinkWriter};
use briartray_model::TimePoint;
use briartray_model::message::{
    AgentReply, CallOutcome, DispatchOrder, EntryRequest, GroupRecord, LoadReport, RefusalReason,
    TraceContext,
};
use briartray_model::names::{AttemptId, IncarnationId};
use briartray_routing::attempt::{AttemptTracker, TrackerAction, TrackerPlan};

use super::call::CallPlan;
use super::output::CallerOutput;
use super::refusal::{CallRefusal, RefusalCode};
use super::shared::{EntryShared, EntryView};
use crate::new_attempt_id;
use crate::trace::SpanHop;

/// How long an agent may take to take note that a caller has gone.
const CANCEL_WAIT: Duration = Duration::from_millis(500);

/// Age of a connection up to which it counts as new; shorter than any silence that is acted on, so
/// that the streams of one dead connection share its successor.
const FRESH_CONNECTION: Duration = Duration::from_millis(500);

/// Least status of an answer that tells of a failure of the endpoint.
const SERVER_ERROR: u16 = 500;

/// How one attempt ended.
pub(super) enum AttemptEnd {
    /// The caller has its whole answer, or went away.
    Answered(Option<LoadReport>),
    /// The caller has the endpoint's whole answer, which tells of a failure there.
    AnsweredFailure(LoadReport),
    /// Not run; another replica may be asked.
    Refused(RefusalReason, Option<LoadReport>),
    /// Ended without a whole answer.
    Failed {
        /// What the caller is told.
        refusal: CallRefusal,
        /// The start of the endpoint that crashed meanwhile, where it did.
        crashed: Option<IncarnationId>,
    },
}

/// An answer that is not a stream, collected before the caller sees any of it.
#[derive(Default)]
struct WholeAnswer {
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

/// The stream that the attempt uses now.
struct AttemptStream {
    writer: LinkWriter,
    reader: LinkReader,
}

/// Runs one attempt; hands the output back unless the caller was answered.
pub(super) fn run_attempt(
    shared: &EntryShared,
    view: &EntryView,
    plan: &CallPlan,
    record: &GroupRecord,
    deadline: TimePoint,
    output: CallerOutput,
) -> (AttemptEnd, Option<CallerOutput>) {
    let attempt = new_attempt_id();
    let mut span = shared.traces.span(SpanHop::Link, plan.trace);
    span.set_attribute("attempt", attempt);
    span.set_attribute("group", record.group);
    let order = order_for(shared, view, plan, record, attempt, deadline, span.context());
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
        // The reader tells why the stream is gone, and with it whether anything was sent.
        log::debug!("dispatch was not taken: {error}");
    }
    let run =
        AttemptRun { shared, record, attempt, tracker, stream, answer: WholeAnswer::default() };
    let (end, back) = run.follow(output);
    if let AttemptEnd::Failed { refusal, .. } = &end {
        span.fail(&refusal.message);
    } else if let AttemptEnd::Refused(reason, _) = &end {
        span.set_attribute("refused", format!("{reason:?}"));
    }
    (end, back)
}

struct AttemptRun<'a> {
    shared: &'a EntryShared,
    record: &'a GroupRecord,
    attempt: AttemptId,
    tracker: AttemptTracker,
    stream: AttemptStream,
    answer: WholeAnswer,
}

impl Drop for AttemptRun<'_> {
    fn drop(&mut self) {
        self.shared.metrics.doubled.inc_by(self.tracker.doubled());
    }
}

impl AttemptRun<'_> {
    fn follow(mut self, mut output: CallerOutput) -> (AttemptEnd, Option<CallerOutput>) {
        loop {
            let (action, quiet) = self.next_action();
            match action {
                TrackerAction::Wait => {
                    if quiet && output.check_caller().is_err() {
                        return (self.caller_gone(), None);
                    }
                }
                TrackerAction::Crossed => {
                    self.shared.metrics.crossed.inc();
                    log::warn!("an answer to another attempt was dropped");
                }
                TrackerAction::Head { status, content_type } => {
                    self.answer.status = status;
                    self.answer.content_type = content_type;
                }
                TrackerAction::Deliver(data) if !self.answer.is_event_stream() => {
                    self.answer.body.extend_from_slice(&data);
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
                    let failed = answer.status >= SERVER_ERROR;
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
                TrackerAction::Lost { outcome, detail, crashed } => {
                    self.cancel();
                    output.mark_may_have_run();
                    let refusal = lost(outcome, &detail);
                    return (AttemptEnd::Failed { refusal, crashed }, Some(output));
                }
                TrackerAction::Late => {
                    // The caller's time is up: it gets its answer now, the agent is told after.
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

    /// Waits for one event; tells also whether it was a progress mark.
    fn next_action(&mut self) -> (TrackerAction, bool) {
        let wait = self.tracker.wait(self.shared.clock.now());
        let received = self.stream.reader.receive::<AgentReply>(wait);
        let now = self.shared.clock.now();
        match received {
            Ok(reply) => {
                let quiet = matches!(reply, AgentReply::Progress { .. });
                (self.tracker.on_reply(now, reply), quiet)
            }
            Err(briartray_link::LinkError::TimedOut) => (self.tracker.on_timeout(now), false),
            Err(error) => {
                log::debug!("attempt {} lost its stream: {error}", self.attempt);
                (self.tracker.on_disconnect(now, error.nothing_sent()), false)
            }
        }
    }

    /// Asks again over a connection that is newer than the one that failed.
    fn reconnect(&mut self, request: &EntryRequest, wait: Duration) {
        self.shared.metrics.reconnects.inc();
        std::thread::sleep(wait);
        let now = Instant::now();
        let since = now.checked_sub(FRESH_CONNECTION).unwrap_or(now);
        let (writer, reader) =
            self.shared.link.open_since(self.record.link, CallKind::Dispatch, since);
        if let Err(error) = writer.send(request) {
            log::debug!("a question to an agent was not taken: {error}");
        }
        self.stream = AttemptStream { writer, reader };
    }

    fn caller_gone(&self) -> AttemptEnd {
        log::debug!("caller of attempt {} went away", self.attempt);
        self.cancel();
        AttemptEnd::Answered(None)
    }

    /// Tells the agent that nobody waits any more, so that the engine stops generating.
    fn cancel(&self) {
        let (link, address, attempt) = (self.shared.link.clone(), self.record.link, self.attempt);
        let ask = move || {
            let (writer, reader) = link.open(address, CallKind::Dispatch);
            let sent = writer.send(&EntryRequest::Cancel { attempt });
            let answered = sent.and_then(|()| reader.receive::<AgentReply>(CANCEL_WAIT));
            if let Err(error) = answered {
                log::debug!("attempt {attempt} was not cancelled: {error}");
            }
        };
        if let Err(error) =
            briartray_web::spawn_worker("cancel", briartray_web::WORKER_STACK_BYTES, ask)
        {
            log::error!("cannot cancel an attempt: {error}; raise the thread limit");
        }
    }
}

impl WholeAnswer {
    fn is_event_stream(&self) -> bool {
        self.status == 200 && self.content_type.starts_with("text/event-stream")
    }

    fn deliver(self, output: CallerOutput) {
        if !self.is_event_stream() {
            output.whole(self.status, &self.content_type, self.body);
        } else if let Err(error) = output.finish_events() {
            log::debug!("caller went away: {error}");
        }
    }
}

fn order_for(
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

fn lost(outcome: CallOutcome, detail: &str) -> CallRefusal {
    let message = format!("{detail}; look up whether it ran before you send it again");
    CallRefusal { code: RefusalCode::ReplicaFailed, message, outcome }
}
