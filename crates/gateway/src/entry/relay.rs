//! Answers that are streams of events: passed on as they come, and resumed at another replica.
//!
//! The caller gets nothing before the first whole event, so a replica that dies before it costs
//! no more than time. Afterwards the stream goes on at another replica behind the last event that
//! was passed on, or it is cut off so that it does not look complete.

use std::pin::Pin;

use briartray_fleet::entry::{AttemptEnd, EventSplitter, NextStep, StreamEvent};
use briartray_platform::response_headers;
use bytes::Bytes;
use http::Response;
use http::response::Parts;
use tokio::time::Sleep;

use super::crash_check;
use super::dispatch::{AttemptFailure, LiveAnswer, ServedRequest};
use super::plain::no_target;
use super::refusal::{RefusalKind, refuse};
use super::stream_clock::StreamClock;
use briartray_http::{BodySender, ResponseBody, TruncatedStream};

/// A stream in progress.
struct LiveStream {
    answer: LiveAnswer,
    splitter: EventSplitter,
    /// Fires when the request's time is over; one timer serves all events.
    over: Pin<Box<Sleep>>,
}

/// What came of waiting for the next event.
enum StreamStep {
    Event(StreamEvent),
    /// The replica ended its answer as whole.
    End,
    /// It broke off, or nothing more is to be expected of it.
    Broken,
}

/// Why there is no stream.
enum OpenFailure {
    Refused(RefusalKind),
    /// The replica answered with something else than a stream.
    Other(Box<LiveAnswer>),
}

/// Serves `request` as a stream.
pub(super) async fn serve(mut request: ServedRequest) -> Response<ResponseBody> {
    let last = request.head.last_event;
    match open(&mut request, last).await {
        Ok((stream, first)) => {
            let head = answer_head(&stream.answer.exchange.head);
            let (sender, body) = ResponseBody::parts();
            let last = first.as_ref().and_then(|event| event.id).or(last);
            let position = Position { last, clock: StreamClock::new(request.arrived) };
            tokio::task::spawn_local(pump(request, stream, first, position, sender));
            let mut response = Response::new(body);
            *response.status_mut() = head.0;
            *response.headers_mut() = head.1;
            response
        }
        Err(OpenFailure::Refused(kind)) => refuse(kind),
        Err(OpenFailure::Other(answer)) => pass_other(&request, *answer).await,
    }
}

/// How far the caller has got.
struct Position {
    last: Option<u64>,
    clock: StreamClock,
}

fn answer_head(head: &Parts) -> (http::StatusCode, http::HeaderMap) {
    (head.status, response_headers(&head.headers))
}

/// A failure of the replica's own, passed on as it is.
async fn pass_other(request: &ServedRequest, answer: LiveAnswer) -> Response<ResponseBody> {
    let LiveAnswer { exchange, guard, .. } = answer;
    let limit = request.left();
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

/// Brings a stream to its first event; `None` for a stream that has no event.
async fn open(
    request: &mut ServedRequest,
    last: Option<u64>,
) -> Result<(LiveStream, Option<StreamEvent>), OpenFailure> {
    loop {
        let end = match attempt(request, last).await {
            Ok(answer) if !answer.exchange.head.status.is_success() => {
                return Err(OpenFailure::Other(Box::new(answer)));
            }
            Ok(answer) => {
                let over = Box::pin(tokio::time::sleep(request.left()));
                let mut stream = LiveStream { answer, splitter: EventSplitter::default(), over };
                match next_step(request, &mut stream).await {
                    StreamStep::Event(event) if follows(last, event.id) => {
                        stream.answer.guard.first_part();
                        return Ok((stream, Some(event)));
                    }
                    StreamStep::End => return Ok((stream, None)),
                    StreamStep::Event(_) | StreamStep::Broken => {
                        request.runs += 1;
                        AttemptEnd::MayHaveRun
                    }
                }
            }
            Err(AttemptFailure::Ended(end)) => end,
            Err(AttemptFailure::NoTarget(refusal)) => {
                return Err(OpenFailure::Refused(no_target(request, refusal)));
            }
        };
        match request.next_move(end) {
            NextStep::RetryElsewhere => {}
            NextStep::Refuse => return Err(OpenFailure::Refused(RefusalKind::NotRun)),
            NextStep::Unknown | NextStep::ForwardFailure => {
                let late = request.left().is_zero();
                let kind = if late { RefusalKind::LateUnknown } else { RefusalKind::Unknown };
                return Err(OpenFailure::Refused(kind));
            }
        }
    }
}

/// Whether an event may follow the last one that the caller has.
fn follows(last: Option<u64>, id: Option<u64>) -> bool {
    match (last, id) {
        (Some(last), Some(id)) => id == last + 1,
        _ => true,
    }
}

/// Sends the request and waits for a head, until the target is given up.
async fn attempt(
    request: &mut ServedRequest,
    last: Option<u64>,
) -> Result<LiveAnswer, AttemptFailure> {
    let left = request.left();
    let sending = tokio::time::timeout(left, until_given_up(request, last)).await;
    sending.unwrap_or_else(|_| Err(request.ended(AttemptEnd::MayHaveRun)))
}

/// Waits for a head as long as the target may still be expected to send one.
async fn until_given_up(
    request: &mut ServedRequest,
    last: Option<u64>,
) -> Result<LiveAnswer, AttemptFailure> {
    let state = std::rc::Rc::clone(&request.state);
    let movable = request.rule.kind.may_repeat() && request.runs + 1 < request.rule.max_attempts;
    let chosen = std::rc::Rc::clone(&request.chosen);
    let abandoned = async {
        loop {
            state.silence.notified().await;
            let target = chosen.borrow().clone();
            let lost =
                target.is_some_and(|target| state.table.borrow().is_given_up(state.now(), &target));
            if lost && movable {
                return;
            }
        }
    };
    let outcome = tokio::select! {
        outcome = request.attempt(last) => Some(outcome),
        () = abandoned => None,
    };
    outcome.unwrap_or_else(|| Err(request.ended(AttemptEnd::MayHaveRun)))
}

/// The next whole event of `stream`.
///
/// It is woken when a target goes silent and does not look by itself: a timer for each stream costs an entry
/// a good part of the processor time that it spends on streams.
async fn next_step(request: &ServedRequest, stream: &mut LiveStream) -> StreamStep {
    loop {
        if let Some(event) = stream.splitter.next_event() {
            return StreamStep::Event(event);
        }
        let LiveStream { answer, splitter, over } = &mut *stream;
        let read = tokio::select! {
            read = answer.exchange.next_bytes() => read,
            () = request.state.silence.notified() => {
                if answer.guard.is_given_up() && can_move(request) {
                    return StreamStep::Broken;
                }
                continue;
            }
            () = over.as_mut() => return StreamStep::Broken,
        };
        match read {
            Ok(Some(bytes)) => {
                answer.guard.moved();
                if !splitter.push(&bytes) {
                    return StreamStep::Broken;
                }
            }
            Ok(None) if !splitter.has_partial_event() => return StreamStep::End,
            Ok(None) => return StreamStep::Broken,
            Err(_) => {
                crash_check::check(request);
                return StreamStep::Broken;
            }
        }
    }
}

/// Whether the stream could go on elsewhere.
fn can_move(request: &ServedRequest) -> bool {
    let sent = u32::try_from(request.tried.len()).unwrap_or(u32::MAX);
    request.rule.kind.may_repeat() && sent < request.rule.max_attempts && request.choose().is_ok()
}

/// Passes events on until the stream is whole, cannot go on, or the caller has left.
async fn pump(
    mut request: ServedRequest,
    mut stream: LiveStream,
    first: Option<StreamEvent>,
    mut position: Position,
    sender: BodySender,
) {
    let state = std::rc::Rc::clone(&request.state);
    let _running = state.begin_request();
    let whole = {
        let relayed = relay(&mut request, &mut stream, first, &mut position, &sender);
        tokio::select! {
            whole = relayed => whole,
            // The caller is gone: dropping the stream closes the replica's connection.
            () = sender.closed() => return,
        }
    };
    position.clock.note(&request);
    if whole {
        request.ran_whole();
        stream.answer.release(&request);
    } else {
        state.metrics.cut.inc();
        if state.lines.allows(state.now()) {
            let after = position.last.unwrap_or(0);
            log::warn!(request = request.id(), after; "a stream is cut off");
        }
        let _ = sender.send(Err(TruncatedStream)).await;
    }
}

/// Whether the stream was passed on to its end.
async fn relay(
    request: &mut ServedRequest,
    stream: &mut LiveStream,
    first: Option<StreamEvent>,
    position: &mut Position,
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
                position.clock.event(request.state.now());
                if sender.send(Ok(Bytes::from(event.bytes))).await.is_err() {
                    return false;
                }
            }
            StreamStep::End => return true,
            StreamStep::Broken => {
                request.runs += 1;
                if request.next_move(AttemptEnd::MayHaveRun) != NextStep::RetryElsewhere {
                    return false;
                }
                let Ok((resumed, event)) = open(request, position.last).await else {
                    return false;
                };
                request.state.metrics.resumed.inc();
                if request.state.lines.allows(request.state.now()) {
                    let after = position.last.unwrap_or(0);
                    log::info!(request = request.id(), after; "a stream goes on elsewhere");
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
