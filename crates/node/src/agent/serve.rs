//! Serving entries: one stream for each question, one endpoint call for each attempt.

use std::sync::Arc;
use std::time::Duration;

use briartray_link::{LinkError, LinkStream, LinkWriter};
use briartray_model::TimePoint;
use briartray_model::message::{
    AgentReply, CallOutcome, DispatchOrder, EntryRequest, RefusalReason, TombstoneState,
};
use briartray_model::names::AttemptId;
use briartray_routing::attempt::{AnswerEnd, AnswerHead, BeginDecision, BufferItem, BufferReader};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};

use crate::trace::{HopSpan, SpanHop, TraceScope};

use super::endpoint::{self, EndpointAnswer, EndpointError};
use super::running::{RESUME_GRACE, RunningAttempt};
use super::shared::{AgentShared, EngineSlot};

/// How long the first message of a stream may take.
const FIRST_WAIT: Duration = Duration::from_secs(10);

/// How long the entry may take to confirm that it has the whole answer.
const CONFIRM_WAIT: Duration = Duration::from_secs(3);

/// Serves one stream.
pub(super) fn serve(stream: &LinkStream, shared: &Arc<AgentShared>) {
    let request = match stream.reader.receive::<EntryRequest>(FIRST_WAIT) {
        Ok(request) => request,
        Err(error) => {
            log::debug!("a dispatch stream brought nothing: {error}");
            return;
        }
    };
    let served = match request {
        EntryRequest::Dispatch(order) => dispatch(order, shared, stream),
        EntryRequest::Resume { attempt, offset } => resume(attempt, offset, shared, stream),
        EntryRequest::Tombstone { attempt, age_ms } => {
            let age = Duration::from_millis(age_ms.into()) + stream.proof.age();
            let state = shared.attempts().tombstone(shared.clock.now(), attempt, age);
            tell_state(&stream.writer, shared, attempt, state)
        }
        EntryRequest::Cancel { attempt } => {
            let state = cancel(attempt, shared);
            tell_state(&stream.writer, shared, attempt, state)
        }
        EntryRequest::Received { attempt } => {
            shared.held().remove(&attempt);
            Ok(())
        }
    };
    if let Err(error) = served {
        log::debug!("an entry went before its answer: {error}");
    }
}

fn dispatch(
    order: DispatchOrder,
    shared: &Arc<AgentShared>,
    stream: &LinkStream,
) -> Result<(), LinkError> {
    let attempt = order.attempt;
    let _scope = TraceScope::enter(order.trace.trace_id);
    let mut span = shared.traces.span(SpanHop::Agent, order.trace);
    span.set("attempt", attempt);
    if let Some(reason) = shared.refusal(&order) {
        return refuse(&stream.writer, shared, attempt, reason);
    }
    let slot = match shared.take_slot(&order) {
        Ok(slot) => slot,
        Err(reason) => return refuse(&stream.writer, shared, attempt, reason),
    };
    // The order is counted now, and the gate is asked again: an order that waited, or that came as
    // the group began to leave, must not slip in after the group was found without work.
    if let Some(reason) = shared.refusal(&order) {
        return refuse(&stream.writer, shared, attempt, reason);
    }
    let begun = shared.attempts().begin(shared.clock.now(), attempt, stream.proof.age());
    let reason = match begun {
        BeginDecision::Start => return start(order, slot, shared, stream, span),
        BeginDecision::Duplicate => {
            let detail = "the attempt came before".to_owned();
            let outcome = CallOutcome::Unknown;
            let crashed = None;
            return stream.writer.send(&AgentReply::Failed { attempt, outcome, detail, crashed });
        }
        BeginDecision::Tombstoned => RefusalReason::Tombstoned,
        BeginDecision::TooOld => RefusalReason::TooOld,
        BeginDecision::Full => RefusalReason::QueueFull,
    };
    refuse(&stream.writer, shared, attempt, reason)
}

/// Calls the endpoint on a thread of its own, so that the call outlives this stream.
fn start(
    mut order: DispatchOrder,
    slot: EngineSlot,
    shared: &Arc<AgentShared>,
    stream: &LinkStream,
    mut span: HopSpan,
) -> Result<(), LinkError> {
    let attempt = order.attempt;
    let call_span = shared.traces.span(SpanHop::Engine, span.context());
    order.trace = call_span.context();
    let running = Arc::new(RunningAttempt::new(order, shared.clock));
    let reader = running.change(|buffer| buffer.attach(0));
    shared.held().insert(attempt, Arc::clone(&running));
    let (owner, task) = (Arc::clone(shared), Arc::clone(&running));
    let call = move || {
        let _scope = TraceScope::enter(task.order.trace.trace_id);
        let end = run_endpoint(&owner, &task);
        drop(call_span);
        if let AnswerEnd::Failed { detail, .. } = &end {
            span.fail(detail);
        }
        drop(span);
        let started = !matches!(end, AnswerEnd::Refused(_));
        owner.attempts().end(owner.clock.now(), attempt, started);
        drop(slot);
        if task.is_unwanted() {
            endpoint::cancel(&owner.settings.endpoint, attempt);
        }
        task.finish(end);
    };
    if let Err(error) = spawn_worker("agent-call", WORKER_STACK_BYTES, call) {
        log::error!("cannot start a call: {error}; raise the thread limit");
        shared.attempts().end(shared.clock.now(), attempt, false);
        running.finish(AnswerEnd::Refused(RefusalReason::QueueFull));
    }
    stream.writer.send(&AgentReply::Accepted { attempt })?;
    match reader {
        Some(reader) => relay(&running, reader, shared, stream),
        None => Ok(()),
    }
}

fn resume(
    attempt: AttemptId,
    offset: u64,
    shared: &Arc<AgentShared>,
    stream: &LinkStream,
) -> Result<(), LinkError> {
    let running = shared.held().get(&attempt).cloned();
    let reader = running.as_ref().and_then(|held| held.change(|buffer| buffer.attach(offset)));
    match (running, reader) {
        (Some(running), Some(reader)) => relay(&running, reader, shared, stream),
        _ => stream.writer.send(&AgentReply::NotHeld { attempt }),
    }
}

fn cancel(attempt: AttemptId, shared: &AgentShared) -> TombstoneState {
    let running = shared.held().get(&attempt).cloned();
    let Some(running) = running else { return TombstoneState::CannotTell };
    running.cancel();
    endpoint::cancel(&shared.settings.endpoint, attempt);
    TombstoneState::Running
}

fn tell_state(
    writer: &LinkWriter,
    shared: &AgentShared,
    attempt: AttemptId,
    state: TombstoneState,
) -> Result<(), LinkError> {
    let incarnation = shared.incarnation;
    writer.send(&AgentReply::Tombstone { attempt, state, incarnation })
}

fn refuse(
    writer: &LinkWriter,
    shared: &AgentShared,
    attempt: AttemptId,
    reason: RefusalReason,
) -> Result<(), LinkError> {
    writer.send(&AgentReply::Refused { attempt, reason, load: shared.load() })
}

/// Sends the answer from the reader's position on; holds it for a while when the stream breaks.
fn relay(
    running: &Arc<RunningAttempt>,
    mut reader: BufferReader,
    shared: &AgentShared,
    stream: &LinkStream,
) -> Result<(), LinkError> {
    let attempt = running.order.attempt;
    let sent = send_all(running, &mut reader, shared, stream);
    if matches!(sent, Ok(true)) {
        shared.held().remove(&attempt);
        return Ok(());
    }
    running.detach(&reader);
    std::thread::sleep(RESUME_GRACE);
    if running.is_over() {
        shared.held().remove(&attempt);
    }
    sent.map(drop)
}

/// Sends until the end; `true` when the entry has the whole answer.
fn send_all(
    running: &RunningAttempt,
    reader: &mut BufferReader,
    shared: &AgentShared,
    stream: &LinkStream,
) -> Result<bool, LinkError> {
    let attempt = running.order.attempt;
    loop {
        let reply = match running.next(reader) {
            BufferItem::Head(AnswerHead { status, content_type }) => {
                AgentReply::Head { attempt, status, content_type }
            }
            BufferItem::Chunk { sequence, data } => AgentReply::Chunk { attempt, sequence, data },
            BufferItem::Nothing => {
                AgentReply::Progress { attempt, next_sequence: reader.next_sequence() }
            }
            BufferItem::Superseded => return Ok(false),
            BufferItem::End { count, end } => {
                stream.writer.send(&end_reply(attempt, count, end, shared))?;
                return Ok(is_confirmed(stream));
            }
        };
        stream.writer.send(&reply)?;
    }
}

fn end_reply(attempt: AttemptId, count: u64, end: AnswerEnd, shared: &AgentShared) -> AgentReply {
    let load = shared.load();
    match end {
        AnswerEnd::Whole => AgentReply::End { attempt, count, load },
        AnswerEnd::Refused(reason) => AgentReply::Refused { attempt, reason, load },
        AnswerEnd::Failed { outcome, detail, crashed } => {
            AgentReply::Failed { attempt, outcome, detail, crashed }
        }
    }
}

/// Whether the entry confirmed the end, or closed the stream in order.
fn is_confirmed(stream: &LinkStream) -> bool {
    match stream.reader.receive::<EntryRequest>(CONFIRM_WAIT) {
        Ok(_) | Err(LinkError::Ended) => true,
        Err(_) => false,
    }
}

/// Calls the endpoint and fills the buffer.
fn run_endpoint(shared: &AgentShared, running: &RunningAttempt) -> AnswerEnd {
    // Time may have passed since the gate was asked; the endpoint is called only under a lease.
    if !shared.still_whole(&running.order) {
        return AnswerEnd::Refused(RefusalReason::GroupNotWhole);
    }
    let began = shared.clock.now();
    let mut answer = match endpoint::call(&shared.settings.endpoint, &running.order) {
        Ok(answer) => answer,
        Err(EndpointError::Unreachable { detail }) => {
            log::warn!("endpoint unreachable: {detail}");
            return AnswerEnd::Refused(RefusalReason::EndpointUnreachable);
        }
        Err(error @ EndpointError::Broken { .. }) => {
            return broken(shared, began, &error.to_string());
        }
        Err(error) => return failed(&error.to_string()),
    };
    let (status, content_type) = (answer.status, answer.content_type.clone());
    running.change(|buffer| buffer.push_head(AnswerHead { status, content_type }));
    match fill(&mut answer, shared, running) {
        Ok(()) if shared.still_whole(&running.order) => AnswerEnd::Whole,
        Ok(()) => failed("the group lost a member"),
        Err(detail) => broken(shared, began, &detail),
    }
}

/// Moves the endpoint's answer into the buffer; returning early closes the endpoint's connection,
/// which stops its stream.
fn fill(
    answer: &mut EndpointAnswer,
    shared: &AgentShared,
    running: &RunningAttempt,
) -> Result<(), String> {
    if !answer.is_stream() {
        let data = answer.whole_body().map_err(|error| error.to_string())?;
        return push(running, data);
    }
    while let Some(data) = answer.next_event().map_err(|error| error.to_string())? {
        if !shared.still_whole(&running.order) {
            return Err("the group lost a member".to_owned());
        }
        push(running, data)?;
    }
    Ok(())
}

fn push(running: &RunningAttempt, data: Vec<u8>) -> Result<(), String> {
    if running.push(data) { Ok(()) } else { Err("nobody waits for the answer".to_owned()) }
}

fn failed(detail: &str) -> AnswerEnd {
    let detail = detail.to_owned();
    AnswerEnd::Failed { outcome: CallOutcome::Unknown, detail, crashed: None }
}

/// The end of a call that broke off, and whether the endpoint crashed under it.
fn broken(shared: &AgentShared, began: TimePoint, detail: &str) -> AnswerEnd {
    let (outcome, detail) = (CallOutcome::Unknown, detail.to_owned());
    AnswerEnd::Failed { outcome, detail, crashed: shared.endpoint_crash(began) }
}
