//! Responses that are event streams: forwarded event by event, and resumed at another replica.
//!
//! The caller gets nothing before the first complete event, so a replica failure before that point
//! only costs time. A later failure makes the stream resume at another replica after the last
//! forwarded event. If that is impossible, the stream is cut off so that it does not appear
//! complete.

use std::pin::Pin;

use briartray_fleet::entry::{AttemptEnd, EventSplitter, NextStep, StreamEvent};
use briartray_platform::response_headers;
use bytes::Bytes;
use http::Response;
use http::response::Parts;
use tokio::time::Sleep;

use super::crash_check;
use super::dispatch::{AttemptFailure, LiveAnswer, MoveRefusal, ServedRequest};
use super::refusal::{RefusalKind, refuse};
use super::stream_clock::StreamClock;
use super::whole_answer::{quarantine_refusal, refusal_of_rejected, refusal_without_target};
use briartray_http::{BodySender, ResponseBody, TruncatedStream};

/// A stream in progress.
struct LiveStream {
    answer: LiveAnswer,
    splitter: EventSplitter,
    /// Fires at the request's deadline; one timer serves all events of the stream.
    deadline_timer: Pin<Box<Sleep>>,
}

/// Result of waiting for the next event.
enum StreamStep {
    Event(StreamEvent),
    /// The replica completed its response.
    End,
    /// The connection broke, the deadline passed, or the target is considered failed.
    Broken,
}

/// Reason why no stream was opened.
enum OpenFailure {
    Refused(RefusalKind),
    /// The replica responded with an error instead of a stream.
    Other(Box<LiveAnswer>),
}

/// Serves `request` as an event stream.
pub(super) async fn serve(mut request: ServedRequest) -> Response<ResponseBody> {
    let last = request.head.last_event;
    match open_stream(&mut request, last).await {
        Ok((stream, first)) => {
            let head = status_and_headers(&stream.answer.exchange.head);
            let (sender, body) = ResponseBody::parts();
            let last = first.as_ref().and_then(|event| event.id).or(last);
            let position = StreamPosition { last, clock: StreamClock::new(request.arrived) };
            tokio::task::spawn_local(forward_stream(request, stream, first, position, sender));
            let mut response = Response::new(body);
            *response.status_mut() = head.0;
            *response.headers_mut() = head.1;
            response
        }
        Err(OpenFailure::Refused(kind)) => request.refuse(kind),
        Err(OpenFailure::Other(answer)) => forward_other_answer(&request, *answer).await,
    }
}

/// Progress of the caller's stream.
struct StreamPosition {
    last: Option<u64>,
    clock: StreamClock,
}

fn status_and_headers(head: &Parts) -> (http::StatusCode, http::HeaderMap) {
    (head.status, response_headers(&head.headers))
}

/// Forwards a replica's error response unchanged.
async fn forward_other_answer(
    request: &ServedRequest,
    answer: LiveAnswer,
) -> Response<ResponseBody> {
    let LiveAnswer { exchange, guard, .. } = answer;
    let limit = request.time_left();
    let whole = tokio::time::timeout(limit, exchange.whole()).await;
    drop(guard);
    match whole {
        Ok(Ok((head, body, _))) => {
            let mut response = Response::new(ResponseBody::whole(body));
            *response.status_mut() = head.status;
            *response.headers_mut() = response_headers(&head.headers);
            response
        }
        _ => refuse(RefusalKind::Unknown),
    }
}

/// Opens a stream and reads its first event; `None` if the stream is empty.
async fn open_stream(
    request: &mut ServedRequest,
    last: Option<u64>,
) -> Result<(LiveStream, Option<StreamEvent>), OpenFailure> {
    loop {
        let end = match attempt(request, last).await {
            Ok(answer) if !answer.exchange.head.status.is_success() => {
                return Err(OpenFailure::Other(Box::new(answer)));
            }
            Ok(answer) => {
                let deadline_timer = Box::pin(tokio::time::sleep(request.time_left()));
                let mut stream =
                    LiveStream { answer, splitter: EventSplitter::default(), deadline_timer };
                match next_step(request, &mut stream).await {
                    StreamStep::Event(event) if follows(last, event.id) => {
                        stream.answer.guard.note_first_part();
                        return Ok((stream, Some(event)));
                    }
                    StreamStep::End => return Ok((stream, None)),
                    StreamStep::Event(_) | StreamStep::Broken => {
                        stream.answer.guard.note_lost();
                        request.runs += 1;
                        AttemptEnd::MayHaveRun
                    }
                }
            }
            Err(AttemptFailure::Ended(end)) => end,
            Err(AttemptFailure::NoTarget(refusal)) => {
                if request.runs > 0 {
                    request.note_move_refusal(MoveRefusal::NoTarget);
                }
                return Err(OpenFailure::Refused(refusal_without_target(request, refusal)));
            }
            Err(AttemptFailure::Quarantined) => {
                return Err(OpenFailure::Refused(quarantine_refusal(request)));
            }
        };
        match request.next_move(end) {
            NextStep::RetryElsewhere => {}
            NextStep::Refuse => return Err(OpenFailure::Refused(refusal_of_rejected(request))),
            NextStep::Unknown | NextStep::ForwardFailure => {
                let late = request.time_left().is_zero();
                let kind = if late { RefusalKind::TimedOut } else { RefusalKind::Unknown };
                return Err(OpenFailure::Refused(kind));
            }
        }
    }
}

/// Whether an event with `id` may follow the last event that the caller received.
fn follows(last: Option<u64>, id: Option<u64>) -> bool {
    match (last, id) {
        (Some(last), Some(id)) => id == last + 1,
        _ => true,
    }
}

/// Sends the request and waits for a response head until the deadline.
async fn attempt(
    request: &mut ServedRequest,
    last: Option<u64>,
) -> Result<LiveAnswer, AttemptFailure> {
    // A request that waits has not been sent, so its wait is not part of the attempt.
    request.reserve_target().await.map_err(AttemptFailure::NoTarget)?;
    let left = request.time_left();
    let sending = tokio::time::timeout(left, attempt_until_given_up(request, last)).await;
    sending.unwrap_or_else(|_| Err(request.end_attempt(AttemptEnd::MayHaveRun)))
}

/// Waits for a response head until the target is given up, if the request may be moved elsewhere.
async fn attempt_until_given_up(
    request: &mut ServedRequest,
    last: Option<u64>,
) -> Result<LiveAnswer, AttemptFailure> {
    let state = std::rc::Rc::clone(&request.state);
    let may_move = request.rule.kind.may_repeat() && request.runs + 1 < request.rule.max_attempts;
    let chosen = std::rc::Rc::clone(&request.chosen);
    let abandoned = async {
        loop {
            state.silence_notify.notified().await;
            let target = chosen.borrow().clone();
            let given_up =
                target.is_some_and(|target| state.table.borrow().is_given_up(state.now(), &target));
            if given_up && may_move {
                return;
            }
        }
    };
    let outcome = tokio::select! {
        outcome = request.attempt(last) => Some(outcome),
        () = abandoned => None,
    };
    outcome.unwrap_or_else(|| Err(request.end_attempt(AttemptEnd::MayHaveRun)))
}

/// Waits for the next complete event of `stream`.
///
/// A notification wakes it when a target is silent. Polling with a timer for each stream would use
/// a large share of the processor time that an entry spends on streams.
async fn next_step(request: &ServedRequest, stream: &mut LiveStream) -> StreamStep {
    loop {
        if let Some(event) = stream.splitter.next_event() {
            return StreamStep::Event(event);
        }
        let LiveStream { answer, splitter, deadline_timer } = &mut *stream;
        let read = tokio::select! {
            read = answer.exchange.next_bytes() => read,
            () = request.state.silence_notify.notified() => {
                if answer.guard.is_given_up() && can_resume(request) {
                    return StreamStep::Broken;
                }
                continue;
            }
            () = deadline_timer.as_mut() => return StreamStep::Broken,
        };
        match read {
            Ok(Some(bytes)) => {
                answer.guard.note_progress();
                if !splitter.push(&bytes) {
                    return StreamStep::Broken;
                }
            }
            Ok(None) if !splitter.has_partial_event() => {
                let is_end =
                    answer.exchange.is_framed() || !crash_check::ended_in_crash(request).await;
                return if is_end { StreamStep::End } else { StreamStep::Broken };
            }
            Ok(None) | Err(_) => {
                crash_check::check(request);
                return StreamStep::Broken;
            }
        }
    }
}

/// Whether the stream could be resumed at another target.
fn can_resume(request: &ServedRequest) -> bool {
    let sent = u32::try_from(request.tried.len()).unwrap_or(u32::MAX);
    request.rule.kind.may_repeat()
        && sent < request.rule.max_attempts
        && request.has_target_to_resume()
}

/// Forwards events until the stream is complete, cannot be resumed, or the caller disconnects.
async fn forward_stream(
    mut request: ServedRequest,
    mut stream: LiveStream,
    first: Option<StreamEvent>,
    mut position: StreamPosition,
    sender: BodySender,
) {
    let state = std::rc::Rc::clone(&request.state);
    let _running = state.begin_request();
    let complete = {
        let forwarding = forward_events(&mut request, &mut stream, first, &mut position, &sender);
        tokio::select! {
            complete = forwarding => complete,
            // The caller disconnected; dropping the stream closes the replica's connection.
            () = sender.closed() => return,
        }
    };
    position.clock.log_if_late(&request);
    if complete {
        let exchange = &stream.answer.exchange;
        request.record_complete_run(exchange.head.status, exchange.is_framed());
        stream.answer.release_connection(&request);
    } else {
        state.metrics.cut.inc();
        if state.log_budget.allows(state.now()) {
            let after = position.last.unwrap_or(0);
            log::warn!(request = request.request_id(), after;
                "stream cannot be resumed; cutting it off");
        }
        let _ = sender.send(Err(TruncatedStream)).await;
    }
}

/// Forwards events, resuming as needed; returns whether the stream was completed.
async fn forward_events(
    request: &mut ServedRequest,
    stream: &mut LiveStream,
    first: Option<StreamEvent>,
    position: &mut StreamPosition,
    sender: &BodySender,
) -> bool {
    let mut next = first.map(StreamStep::Event);
    loop {
        let step = match next.take() {
            Some(step) => step,
            None => next_step(request, stream).await,
        };
        match step {
            StreamStep::Event(event) => {
                position.last = event.id.or(position.last);
                let now = request.state.now();
                position.clock.record_event(now);
                stream.answer.guard.note_event(now);
                if sender.send(Ok(Bytes::from(event.bytes))).await.is_err() {
                    return false;
                }
                stream.answer.guard.note_caller(request.state.now().since(now));
            }
            StreamStep::End => return true,
            StreamStep::Broken => {
                stream.answer.guard.note_lost();
                request.runs += 1;
                if request.next_move(AttemptEnd::MayHaveRun) != NextStep::RetryElsewhere {
                    return false;
                }
                let Ok((resumed, event)) = open_stream(request, position.last).await else {
                    return false;
                };
                request.state.metrics.resumed.inc();
                if request.state.log_budget.allows(request.state.now()) {
                    let after = position.last.unwrap_or(0);
                    log::info!(request = request.request_id(), after;
                        "resumed stream at another replica");
                }
                *stream = resumed;
                match event {
                    Some(event) => next = Some(StreamStep::Event(event)),
                    None => return true,
                }
            }
        }
    }
}
