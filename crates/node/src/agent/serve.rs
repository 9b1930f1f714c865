//! Serves entries, with one stream per request of an entry and one endpoint call per attempt.

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

/// Timeout for the first message of a stream.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for the entry's confirmation that it has received the whole answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between checks whether expired leases are held again.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves one stream of an entry.
pub(super) fn serve(stream: &LinkStream, shared: &Arc<AgentShared>) {
    let request = match stream.reader.receive::<EntryRequest>(FIRST_MESSAGE_TIMEOUT) {
        Ok(request) => request,
        Err(error) => {
            log::debug!("received no request on a dispatch stream: {error}");
            return;
        }
    };
    let result = match request {
        EntryRequest::Dispatch(order) => dispatch(order, shared, stream),
        EntryRequest::Resume { attempt, offset } => resume(attempt, offset, shared, stream),
        EntryRequest::Tombstone { attempt, age_ms } => {
            let age = Duration::from_millis(age_ms.into()) + stream.liveness.age();
            let state = shared.attempts().tombstone(shared.clock.now(), attempt, age);
            send_tombstone_state(&stream.writer, shared, attempt, state)
        }
        EntryRequest::Cancel { attempt } => {
            let state = cancel(attempt, shared);
            send_tombstone_state(&stream.writer, shared, attempt, state)
        }
        EntryRequest::Received { attempt } => {
            shared.held_attempts().remove(&attempt);
            Ok(())
        }
    };
    if let Err(error) = result {
        log::debug!("a dispatch stream failed before its answer was complete: {error}");
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
    span.set_attribute("attempt", attempt);
    if let Some(reason) = shared.refusal_reason(&order) {
        return send_refusal(&stream.writer, shared, attempt, reason);
    }
    let slot = match shared.take_slot(&order) {
        Ok(slot) => slot,
        Err(reason) => return send_refusal(&stream.writer, shared, attempt, reason),
    };
    // Checks the gate again now that the order is counted: an order that waited for a slot, or
    // arrived just as the group began to leave, must not start after the group was reported as
    // drained.
    if let Some(reason) = shared.refusal_reason(&order) {
        return send_refusal(&stream.writer, shared, attempt, reason);
    }
    let begun = shared.attempts().begin(shared.clock.now(), attempt, stream.liveness.age());
    let reason = match begun {
        BeginDecision::Start => return start_call(order, slot, shared, stream, span),
        BeginDecision::Duplicate => {
            let detail = "the attempt was already received".to_owned();
            let outcome = CallOutcome::Unknown;
            let crashed = None;
            return stream.writer.send(&AgentReply::Failed { attempt, outcome, detail, crashed });
        }
        BeginDecision::Tombstoned => RefusalReason::Tombstoned,
        BeginDecision::TooOld => RefusalReason::TooOld,
        BeginDecision::Full => RefusalReason::QueueFull,
    };
    send_refusal(&stream.writer, shared, attempt, reason)
}

/// Calls the endpoint on a separate thread, so that the call outlives this stream.
fn start_call(
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
    let reader = running.update(|buffer| buffer.attach(0));
    shared.held_attempts().insert(attempt, Arc::clone(&running));
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
    // If this fails, so does the relay, which then holds the answer for a resume.
    let accepted = stream.writer.send(&AgentReply::Accepted { attempt });
    match reader {
        Some(reader) => relay_answer(&running, reader, shared, stream),
        None => accepted,
    }
}

fn resume(
    attempt: AttemptId,
    offset: u64,
    shared: &Arc<AgentShared>,
    stream: &LinkStream,
) -> Result<(), LinkError> {
    let running = shared.held_attempts().get(&attempt).cloned();
    let reader = running.as_ref().and_then(|held| held.update(|buffer| buffer.attach(offset)));
    match (running, reader) {
        (Some(running), Some(reader)) => relay_answer(&running, reader, shared, stream),
        _ => stream.writer.send(&AgentReply::NotHeld { attempt }),
    }
}

fn cancel(attempt: AttemptId, shared: &AgentShared) -> TombstoneState {
    let running = shared.held_attempts().get(&attempt).cloned();
    let Some(running) = running else { return TombstoneState::CannotTell };
    running.cancel();
    endpoint::cancel(&shared.settings.endpoint, attempt);
    TombstoneState::Running
}

fn send_tombstone_state(
    writer: &LinkWriter,
    shared: &AgentShared,
    attempt: AttemptId,
    state: TombstoneState,
) -> Result<(), LinkError> {
    let incarnation = shared.incarnation;
    writer.send(&AgentReply::Tombstone { attempt, state, incarnation })
}

fn send_refusal(
    writer: &LinkWriter,
    shared: &AgentShared,
    attempt: AttemptId,
    reason: RefusalReason,
) -> Result<(), LinkError> {
    writer.send(&AgentReply::Refused { attempt, reason, load: shared.load() })
}

/// Sends the answer from the reader's position on. If the stream fails, the answer is held for
/// `RESUME_GRACE`.
fn relay_answer(
    running: &Arc<RunningAttempt>,
    mut reader: BufferReader,
    shared: &AgentShared,
    stream: &LinkStream,
) -> Result<(), LinkError> {
    let attempt = running.order.attempt;
    let sent = send_answer(running, &mut reader, shared, stream);
    if matches!(sent, Ok(true)) {
        shared.held_attempts().remove(&attempt);
        return Ok(());
    }
    running.detach(&reader);
    std::thread::sleep(RESUME_GRACE);
    if running.can_discard() {
        shared.held_attempts().remove(&attempt);
    }
    sent.map(drop)
}

/// Sends the answer until its end; `true` when the entry has received all of it.
fn send_answer(
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
            BufferItem::Nothing if running.stall.is_set() => AgentReply::Stalled { attempt },
            BufferItem::Nothing => {
                AgentReply::Progress { attempt, next_sequence: reader.next_sequence() }
            }
            BufferItem::Superseded => return Ok(false),
            BufferItem::End { count, end } => {
                let is_whole = end == AnswerEnd::Whole;
                stream.writer.send(&end_reply(attempt, count, end, shared))?;
                return Ok(is_confirmed(stream, is_whole && !running.is_cancelled()));
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

/// Whether the entry has received the end of the answer, or needs no `confirmation` and has closed
/// the stream properly.
///
/// An entry that was not reached for a while closes its stream too, and resumes on another one.
fn is_confirmed(stream: &LinkStream, confirmation: bool) -> bool {
    match stream.reader.receive::<EntryRequest>(CONFIRM_TIMEOUT) {
        Ok(_) => true,
        Err(LinkError::Ended) => !confirmation,
        Err(_) => false,
    }
}

/// Calls the endpoint, fills the buffer with its answer and returns how the answer ended.
fn run_endpoint(shared: &AgentShared, running: &RunningAttempt) -> AnswerEnd {
    // Time may have passed since the gate was checked; the endpoint is called only while the
    // leases are held.
    if !shared.is_still_whole(&running.order) {
        return AnswerEnd::Refused(RefusalReason::GroupNotWhole);
    }
    if let Some(reason) = shared.backoff_reason() {
        return AnswerEnd::Refused(reason);
    }
    let (began, refusals) = (shared.clock.now(), shared.lease_refusals());
    let answer = endpoint::call(&shared.settings.endpoint, &running.order, &running.stall);
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(EndpointError::Unreachable { detail }) => {
            log::warn!("endpoint unreachable; refusing the attempt: {detail}");
            return AnswerEnd::Refused(RefusalReason::EndpointUnreachable);
        }
        Err(error @ EndpointError::Broken { .. }) => {
            return broken_end(shared, began, &error.to_string());
        }
        Err(error) => return failed_end(&error.to_string()),
    };
    if let Some(wait) = answer.backoff {
        shared.record_backoff(wait);
    }
    let (status, content_type) = (answer.status, answer.content_type.clone());
    running.update(|buffer| buffer.push_head(AnswerHead { status, content_type }));
    let is_whole = || wait_until_whole(shared, running, began, refusals);
    match fill_buffer(&mut answer, running, is_whole) {
        Ok(()) if is_whole() => AnswerEnd::Whole,
        Ok(()) => failed_end("the group lost a member"),
        Err(detail) => broken_end(shared, began, &detail),
    }
}

/// Waits while the leases of the group have expired, so that no answer passes meanwhile; `false`
/// when the group has lost a member or the answer is no longer needed.
///
/// A member that was silent for a moment renews its lease afterwards. Ending the answer before
/// would lose it for good if the caller already has a part of it.
fn wait_until_whole(
    shared: &AgentShared,
    running: &RunningAttempt,
    began: TimePoint,
    refusals: u64,
) -> bool {
    let order = &running.order;
    let deadline = began.after(Duration::from_millis(order.deadline_ms.into()));
    while !shared.is_still_whole(order) {
        let is_over = running.is_unwanted() || shared.clock.now() >= deadline;
        if is_over || !shared.may_become_whole(order, refusals) {
            return false;
        }
        running.stall.set(true);
        std::thread::sleep(LEASE_POLL_INTERVAL);
    }
    running.stall.set(false);
    shared.may_become_whole(order, refusals)
}

/// Copies the endpoint's answer into the buffer. Returning early closes the connection to the
/// endpoint, which stops its stream.
fn fill_buffer(
    answer: &mut EndpointAnswer,
    running: &RunningAttempt,
    is_whole: impl Fn() -> bool,
) -> Result<(), String> {
    if !answer.is_stream() {
        let data = answer.read_body().map_err(|error| error.to_string())?;
        return push_chunk(running, data);
    }
    while let Some(data) = answer.next_event().map_err(|error| error.to_string())? {
        if !is_whole() {
            return Err("the group lost a member".to_owned());
        }
        push_chunk(running, data)?;
    }
    Ok(())
}

fn push_chunk(running: &RunningAttempt, data: Vec<u8>) -> Result<(), String> {
    if running.push(data) {
        Ok(())
    } else {
        Err("the attempt was cancelled or abandoned".to_owned())
    }
}

fn failed_end(detail: &str) -> AnswerEnd {
    let detail = detail.to_owned();
    AnswerEnd::Failed { outcome: CallOutcome::Unknown, detail, crashed: None }
}

/// The end of a call that broke off; it states whether the endpoint crashed during the call.
fn broken_end(shared: &AgentShared, began: TimePoint, detail: &str) -> AnswerEnd {
    let (outcome, detail) = (CallOutcome::Unknown, detail.to_owned());
    AnswerEnd::Failed { outcome, detail, crashed: shared.endpoint_crash(began) }
}
