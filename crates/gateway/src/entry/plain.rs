//! Answers that are taken whole before the caller gets any of them.

use std::time::Duration;

use briartray_fleet::entry::{AttemptEnd, ChoiceRefusal, NextStep};
use briartray_platform::response_headers;
use bytes::Bytes;
use http::Response;
use http::response::Parts;

use super::crash_check;
use super::dispatch::{AttemptFailure, ServedRequest};
use super::refusal::{RefusalKind, refuse};
use briartray_http::ResponseBody;

/// Times the expected latency that an attempt which may be repeated is waited for. A replica that
/// hangs gives no sign; the slowest tenth of sound answers takes twice the expected time.
const PATIENCE: u32 = 3;

/// A replica's whole answer.
struct WholeAnswer {
    head: Parts,
    body: Bytes,
}

/// Serves `request`, sending it again where that is allowed.
pub(super) async fn serve(mut request: ServedRequest) -> Response<ResponseBody> {
    let mut failed_answer = None;
    loop {
        let end = match attempt(&mut request).await {
            Ok(answer) if !answer.head.status.is_server_error() => return pass_on(answer),
            Ok(answer) => {
                request.runs += 1;
                failed_answer = Some(answer);
                AttemptEnd::RunFailed
            }
            Err(AttemptFailure::Ended(end)) => end,
            Err(AttemptFailure::NoTarget(refusal)) => {
                return match failed_answer {
                    Some(answer) => pass_on(answer),
                    None => refuse(no_target(&request, refusal)),
                };
            }
        };
        match (request.next_move(end), failed_answer.take()) {
            (NextStep::RetryElsewhere, answer) => failed_answer = answer,
            (_, Some(answer)) => return pass_on(answer),
            (NextStep::Refuse, None) => return refuse(RefusalKind::NotRun),
            (_, None) if request.left() < TIMED_OUT => return refuse(RefusalKind::LateUnknown),
            (_, None) => return refuse(RefusalKind::Unknown),
        }
    }
}

/// Time left below which a request without an answer counts as out of time.
const TIMED_OUT: Duration = Duration::from_millis(60);

async fn attempt(request: &mut ServedRequest) -> Result<WholeAnswer, AttemptFailure> {
    let left = request.left();
    let first = request.tried.is_empty() && request.rule.max_attempts > 1;
    let patient = request.rule.target_latency * PATIENCE;
    let limit = if first && request.rule.kind.may_repeat() { left.min(patient) } else { left };
    match tokio::time::timeout(limit, take_whole(request)).await {
        Ok(outcome) => outcome,
        Err(_) => {
            log::debug!("an attempt at {:?} was given up", request.tried.last());
            Err(request.ended(AttemptEnd::MayHaveRun))
        }
    }
}

async fn take_whole(request: &mut ServedRequest) -> Result<WholeAnswer, AttemptFailure> {
    let answer = request.attempt(request.head.last_event).await?;
    answer.guard.moved();
    answer.guard.first_part();
    let (told, address) = (answer.told, answer.address);
    match answer.exchange.whole().await {
        Ok((head, body, connection)) => {
            // An endpoint that fails whatever it gets says nothing about the request.
            if !head.status.is_server_error() {
                request.ran_whole();
            }
            if !told.closes_connection {
                let state = &request.state;
                let now = state.now();
                let most = request.idle_connections;
                state.pool.borrow_mut().put(now, address, connection, told.idle_limit, most);
            }
            Ok(WholeAnswer { head, body })
        }
        Err(_) => {
            crash_check::check(request);
            Err(request.ended(AttemptEnd::MayHaveRun))
        }
    }
}

/// The truth about a request for which there is no target (any more).
pub(super) fn no_target(request: &ServedRequest, refusal: ChoiceRefusal) -> RefusalKind {
    match refusal {
        _ if request.runs > 0 => RefusalKind::Unknown,
        ChoiceRefusal::Full => RefusalKind::Full,
        ChoiceRefusal::Limited { wait } => RefusalKind::EndpointLimit { wait },
        ChoiceRefusal::NoReplica => RefusalKind::NoReplica,
    }
}

fn pass_on(answer: WholeAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = response_headers(&answer.head.headers);
    response
}
