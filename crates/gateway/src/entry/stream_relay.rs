//! Responses that are event streams: forwarded event by event, and resumed at another replica.
//!
//! The caller gets nothing before the first complete event, so a replica failure before that point
//! only costs time. A later failure makes the stream resume at another replica after the last
//! forwarded event. If that is impossible, the stream is cut off so that it does not appear
//! complete.

use std::rc::Rc;

use briartray_fleet::entry::StreamEvent;
use briartray_platform::response_headers;
use bytes::Bytes;
use http::Response;

use super::attempt::LiveAnswer;
use super::dispatch::ServedRequest;
use super::refusal::{RefusalKind, refuse};
use super::stream_clock::StreamClock;
use super::stream_run::{StreamFailure, StreamRuns, StreamStep};
use briartray_http::{BodySender, ResponseBody, TruncatedStream};

/// Progress of the caller's stream.
struct StreamPosition {
    last: Option<u64>,
    clock: StreamClock,
}

/// How forwarding a stream ended.
enum ForwardEnd {
    Complete,
    CallerLeft,
    /// No run could go on, for the reason with this code.
    Cut(&'static str),
}

/// Serves `request` as an event stream.
pub(super) async fn serve(mut request: ServedRequest) -> Response<ResponseBody> {
    match open_stream(&mut request).await {
        Ok((runs, first)) => {
            let (sender, body) = ResponseBody::parts();
            let mut response = Response::new(body);
            if let Some(answer) = runs.answer() {
                let head = &answer.exchange.head;
                *response.status_mut() = head.status;
                *response.headers_mut() = response_headers(&head.headers);
            }
            let last = request.head.last_event;
            let position = StreamPosition { last, clock: StreamClock::new(request.arrived) };
            tokio::task::spawn_local(forward_stream(request, runs, first, position, sender));
            response
        }
        Err(StreamFailure::Refused(kind)) => request.refuse(kind),
        Err(StreamFailure::Answered(answer)) => forward_other_answer(&request, *answer).await,
    }
}

/// Opens a stream and waits for its first event or its end.
async fn open_stream(
    request: &mut ServedRequest,
) -> Result<(StreamRuns, StreamStep), StreamFailure> {
    let last = request.head.last_event;
    let mut runs = StreamRuns::start(request, last).await?;
    let first = runs.next(request, last).await?;
    Ok((runs, first))
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

/// Forwards events until the stream is complete, cannot go on, or the caller disconnects.
async fn forward_stream(
    mut request: ServedRequest,
    mut runs: StreamRuns,
    first: StreamStep,
    mut position: StreamPosition,
    sender: BodySender,
) {
    let state = Rc::clone(&request.state);
    let _running = state.begin_request();
    let end = {
        let forwarding = forward_events(&mut request, &mut runs, first, &mut position, &sender);
        tokio::select! {
            end = forwarding => end,
            // Dropping the runs closes their connections.
            () = sender.closed() => ForwardEnd::CallerLeft,
        }
    };
    if !matches!(end, ForwardEnd::CallerLeft) {
        position.clock.log_if_late(&request, runs.target());
    }
    match end {
        ForwardEnd::CallerLeft => {}
        ForwardEnd::Complete => {
            if let Some(answer) = runs.into_answer() {
                let exchange = &answer.exchange;
                request.record_complete_run(exchange.head.status, exchange.is_framed());
                answer.release_connection(&request);
            }
        }
        ForwardEnd::Cut(cause) => {
            state.metrics.cut.inc();
            if state.log_budget.allows(state.now()) {
                let after = position.last.unwrap_or(0);
                log::warn!(request = request.request_id(), after, cause;
                    "stream cannot be resumed; cutting it off");
            }
            let _ = sender.send(Err(TruncatedStream)).await;
        }
    }
}

/// Forwards events until the stream ends.
async fn forward_events(
    request: &mut ServedRequest,
    runs: &mut StreamRuns,
    first: StreamStep,
    position: &mut StreamPosition,
    sender: &BodySender,
) -> ForwardEnd {
    let mut step = first;
    loop {
        let StreamStep::Event(event) = step else { return ForwardEnd::Complete };
        if !forward_event(request, runs, event, position, sender).await {
            return ForwardEnd::CallerLeft;
        }
        step = match runs.next(request, position.last).await {
            Ok(step) => step,
            Err(StreamFailure::Refused(kind)) => return ForwardEnd::Cut(kind.code()),
            Err(StreamFailure::Answered(_)) => return ForwardEnd::Cut("failed"),
        };
    }
}

/// Forwards one event; returns whether the caller still receives.
async fn forward_event(
    request: &ServedRequest,
    runs: &StreamRuns,
    event: StreamEvent,
    position: &mut StreamPosition,
    sender: &BodySender,
) -> bool {
    position.last = event.id.or(position.last);
    let now = request.state.now();
    position.clock.record_event(now);
    if let Some(guard) = runs.guard() {
        guard.note_event(now);
    }
    if sender.send(Ok(Bytes::from(event.bytes))).await.is_err() {
        return false;
    }
    if let Some(guard) = runs.guard() {
        guard.note_caller(request.state.now().since(now));
    }
    true
}
