//! Responses that are read completely before anything is sent to the caller.

use std::time::Duration;

use briartray_fleet::entry::{AttemptEnd, ChoiceRefusal, NextStep};
use briartray_platform::response_headers;
use bytes::Bytes;
use http::Response;
use http::response::Parts;

use super::crash_check;
use super::dispatch::{AttemptFailure, MoveRefusal, ServedRequest};
use super::refusal::{RefusalKind, refuse};
use briartray_http::ResponseBody;

/// Timeout of a first attempt that may be retried, as a multiple of the rule's target latency. A
/// hung replica gives no sign; the slowest 10 % of healthy responses take twice the target latency.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 3;

/// A complete response of a replica.
struct WholeAnswer {
    head: Parts,
    body: Bytes,
}

/// Serves `request`, with retries where they are allowed.
pub(super) async fn serve(mut request: ServedRequest) -> Response<ResponseBody> {
    let mut failed_answer = None;
    loop {
        let end = match attempt(&mut request).await {
            Ok(answer) if !answer.head.status.is_server_error() => return forward_answer(answer),
            Ok(answer) => {
                request.runs += 1;
                failed_answer = Some(answer);
                AttemptEnd::RunFailed
            }
            Err(AttemptFailure::Ended(end)) => end,
            Err(AttemptFailure::NoTarget(refusal)) => {
                if request.runs > 0 {
                    request.note_move_refusal(MoveRefusal::NoTarget);
                }
                return match failed_answer {
                    Some(answer) => forward_answer(answer),
                    None => request.refuse(refusal_without_target(&request, refusal)),
                };
            }
            Err(AttemptFailure::Quarantined) => {
                return match failed_answer {
                    Some(answer) => forward_answer(answer),
                    None => request.refuse(quarantine_refusal(&request)),
                };
            }
        };
        match (request.next_move(end), failed_answer.take()) {
            (NextStep::RetryElsewhere, answer) => failed_answer = answer,
            (_, Some(answer)) => return forward_answer(answer),
            (NextStep::Refuse, None) => return refuse(refusal_of_rejected(&request)),
            (_, None) if request.time_left() < LATE_MARGIN => return refuse(RefusalKind::TimedOut),
            (_, None) => return refuse(RefusalKind::Unknown),
        }
    }
}

/// If less time than this is left, a request without a response counts as timed out.
const LATE_MARGIN: Duration = Duration::from_millis(60);

async fn attempt(request: &mut ServedRequest) -> Result<WholeAnswer, AttemptFailure> {
    // A request that waits has not been sent, so its wait is not part of the attempt.
    request.reserve_target().await.map_err(AttemptFailure::NoTarget)?;
    let left = request.time_left();
    let first = request.tried.is_empty() && request.rule.max_attempts > 1;
    let attempt_timeout = request.rule.target_latency * ATTEMPT_TIMEOUT_FACTOR;
    let limit =
        if first && request.rule.kind.may_repeat() { left.min(attempt_timeout) } else { left };
    match tokio::time::timeout(limit, receive_whole(request)).await {
        Ok(outcome) => outcome,
        Err(_) => {
            log::debug!("attempt at target {:?} timed out", request.tried.last());
            Err(request.end_attempt(AttemptEnd::MayHaveRun))
        }
    }
}

async fn receive_whole(request: &mut ServedRequest) -> Result<WholeAnswer, AttemptFailure> {
    let answer = request.attempt(request.head.last_event).await?;
    answer.guard.note_progress();
    answer.guard.note_first_part();
    let (answer_head, address) = (answer.head, answer.address);
    let framed = answer.exchange.is_framed();
    match answer.exchange.whole().await {
        Ok(_) if !framed && crash_check::ended_in_crash(request).await => {
            Err(request.end_attempt(AttemptEnd::MayHaveRun))
        }
        Ok((head, body, connection)) => {
            request.record_complete_run(head.status, framed);
            if !answer_head.closes_connection {
                let state = &request.state;
                let now = state.now();
                let max_idle = request.idle_connections;
                state.pool.borrow_mut().put(
                    now,
                    address,
                    connection,
                    answer_head.idle_limit,
                    max_idle,
                );
            }
            Ok(WholeAnswer { head, body })
        }
        Err(_) => {
            crash_check::check(request);
            Err(request.end_attempt(AttemptEnd::MayHaveRun))
        }
    }
}

/// The refusal for a request without an available target. It depends on whether the request may
/// have run.
pub(super) fn refusal_without_target(
    request: &ServedRequest,
    refusal: ChoiceRefusal,
) -> RefusalKind {
    match refusal {
        _ if request.runs > 0 => RefusalKind::Unknown,
        ChoiceRefusal::Full | ChoiceRefusal::Late { .. } => RefusalKind::ReplicasFull,
        ChoiceRefusal::Limited { wait } => RefusalKind::EndpointLimit { wait },
        ChoiceRefusal::Backoff { wait } => RefusalKind::EndpointBackoff { wait },
        ChoiceRefusal::NoReplica => RefusalKind::NoReplica,
    }
}

/// The refusal for a request that was quarantined while it was in progress.
pub(super) fn quarantine_refusal(request: &ServedRequest) -> RefusalKind {
    if request.runs > 0 { RefusalKind::Unknown } else { RefusalKind::Quarantined }
}

/// The refusal for a request that the endpoints rejected and that is not sent again. It names the
/// end of their backoff if no other target is left for the caller's next attempt.
pub(super) fn refusal_of_rejected(request: &ServedRequest) -> RefusalKind {
    match request.choose_target() {
        Err(ChoiceRefusal::Backoff { wait }) => RefusalKind::EndpointBackoff { wait },
        _ => RefusalKind::NotRun,
    }
}

fn forward_answer(answer: WholeAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = response_headers(&answer.head.headers);
    response
}
