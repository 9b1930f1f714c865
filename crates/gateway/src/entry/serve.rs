//! Handling of a caller's request, from its head to the response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::deployment::{RouteBook, RouteRule};
use briartray_fleet::entry::{caller_age, has_returned};
use briartray_model::TimePoint;
use briartray_model::names::{ServiceName, TeamName};
use briartray_platform::CallerHead;
use briartray_quarantine::QuarantineStatus;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Request, Response, header};
use hyper::body::Incoming;

use super::dispatch::{RequestIdentity, ServedRequest};
use super::refusal::{RefusalKind, refuse};
use super::returns::{CallerFacts, RefusalDetail};
use super::state::EntryState;
use super::unanswered::UnansweredGuard;
use super::{stream_relay, whole_answer};
use briartray_http::{BodyFailure, ResponseBody, discard_body, read_request_body};

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Deadline for callers that do not name one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Serves one request. Its guards exist before the first poll: the server drops the future unpolled if
/// the caller has already left.
pub(super) fn handle(
    state: Rc<EntryState>,
    request: Request<Incoming>,
) -> impl Future<Output = Response<ResponseBody>> {
    let running = state.begin_request();
    let (parts, body) = request.into_parts();
    let head = CallerHead::read(&parts);
    let unanswered = UnansweredGuard::new(&state, head.request_id.as_ref());
    async move {
        let answer = answer_counted(&state, parts, head, body, unanswered).await;
        drop(running);
        answer
    }
}

/// The response to a request, which is counted and logged.
async fn answer_counted(
    state: &Rc<EntryState>,
    parts: Parts,
    head: CallerHead,
    body: Incoming,
    mut unanswered: UnansweredGuard,
) -> Response<ResponseBody> {
    let arrived = state.now();
    let id = head.request_id.clone();
    let (mut answer, facts) = tokio::select! {
        biased;
        answer = answer_to(state, parts, head, body, &mut unanswered) => answer,
        // It may have run, and its answer would come too late.
        () = state.cut_off.wait() => (refuse(RefusalKind::Unknown), None),
    };
    unanswered.disarm();
    record_answer(state, id.as_ref(), arrived, facts.as_ref(), &answer);
    if state.is_draining() {
        // The caller's next request should go to an entry that is not draining.
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// The response to a request, and facts about its caller if it was admitted.
async fn answer_to(
    state: &Rc<EntryState>,
    parts: Parts,
    head: CallerHead,
    mut body: Incoming,
    unanswered: &mut UnansweredGuard,
) -> (Response<ResponseBody>, Option<CallerFacts>) {
    let awaits_continue = parts.headers.contains_key(header::EXPECT);
    let admitted = admit(state, parts, head, &mut body).await;
    if admitted.as_ref().is_err_and(|kind| kind.awaits_body(awaits_continue)) {
        discard_body(&mut body).await;
    }
    unanswered.set_read(admitted.is_ok());
    let facts = admitted.as_ref().ok().and_then(ServedRequest::caller_facts);
    let answer = match admitted {
        Ok(request) if request.rule.kind.is_stream() => stream_relay::serve(request).await,
        Ok(request) => whole_answer::serve(request).await,
        Err(kind) => refuse(kind),
    };
    (answer, facts)
}

/// Counts a response, and logs it if it is not a success.
fn record_answer(
    state: &EntryState,
    id: Option<&HeaderValue>,
    arrived: TimePoint,
    facts: Option<&CallerFacts>,
    answer: &Response<ResponseBody>,
) {
    let refused = answer.extensions().get::<RefusalKind>().map(|kind| kind.code());
    let outcome =
        refused.unwrap_or(if answer.status().is_success() { "answered" } else { "failed" });
    state.metrics.count_request(outcome);
    let detail = answer.extensions().get::<RefusalDetail>().copied().unwrap_or_default();
    if let Some(facts) = facts {
        if has_returned(facts.age) && (refused.is_some() || answer.status().is_success()) {
            let outcome = if refused.is_some() { "refused" } else { "answered" };
            state.metrics.count_return(outcome);
        }
        if let Some(cause) = detail.cause {
            state.metrics.count_refusal(&facts.model, cause);
        }
    }
    let took = state.now().since(arrived);
    if answer.status().is_success() {
        return state.metrics.first_part.observe(took.as_secs_f64());
    }
    if state.log_budget.allows(state.now()) {
        let view = state.table.borrow().version();
        log::info!(
            request = id.and_then(|id| id.to_str().ok()).unwrap_or(""),
            status = answer.status().as_u16(), outcome,
            ms = millis(took),
            model = facts.map(|facts| facts.model.as_str()),
            team = facts.and_then(|facts| facts.team.as_ref()).map(TeamName::as_str),
            priority = facts.and_then(|facts| facts.priority),
            age_ms = facts.map(|facts| millis(facts.age)),
            cause = detail.cause, best_ms = detail.best.map(millis),
            known_ms = detail.known.map(millis), retry_ms = detail.retry.map(millis),
            plan = state.held_plan(), lease_left_ms = state.lease_left_ms(),
            view_term = view.term.0, view = view.number;
            "request refused or failed"
        );
    }
}

/// Whole milliseconds of `time`.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Admits a request: checks the rule, API key, body and quarantine, and picks a service.
async fn admit(
    state: &Rc<EntryState>,
    parts: Parts,
    head: CallerHead,
    body: &mut Incoming,
) -> Result<ServedRequest, RefusalKind> {
    let arrived = state.now();
    let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let book = state.wait_for_book(deadline).await.ok_or(RefusalKind::RulesUnconfirmed)?;
    let limits = &book.plan().limits;
    if head_bytes(&parts) > limits.max_head_bytes {
        return Err(RefusalKind::HeadTooLarge);
    }
    let rule = book.find(&head.host, parts.uri.path()).ok_or(RefusalKind::NoRoute)?.clone();
    let team = check_key(&book, &rule, &head)?;
    let max_wait = deadline.min(rule.timeout);
    let left = arrived.after(max_wait).since(state.now());
    let body = read_body(body, limits.max_body_bytes, left).await?;
    let priority = team.as_ref().and_then(|(_, priority)| *priority).or(Some(rule.priority));
    let team = team.map(|(team, _)| team);
    let identity = RequestIdentity::new(&rule, team.clone(), &parts, &head, body.clone());
    if identity.status(state) == QuarantineStatus::Quarantined {
        return Err(RefusalKind::Quarantined);
    }
    let service = state.table.borrow_mut().pick_service(&rule).ok_or(RefusalKind::NoReplica)?;
    state.count_request(&service);
    let work = state.count_demand(&book, &service, &head, &rule);
    let overload = state.overload(&book, &service).filter(|_| work.is_some());
    let latency_bound = overload.is_some();
    // Callers that choose their deadlines themselves would all be taken for returning ones.
    let caller_age = match overload {
        Some(overload) if overload.full_deadlines => caller_age(rule.timeout, head.deadline),
        _ => Duration::ZERO,
    };
    state.wait_for_replica(&service, head.model.as_deref(), deadline).await;
    let idle_connections = idle_connections(state, &book, &service);
    Ok(ServedRequest {
        idle_connections,
        state: Rc::clone(state),
        arrived,
        deadline: arrived.after(max_wait),
        book,
        rule,
        service,
        team,
        priority,
        parts,
        head,
        body,
        tried: Vec::new(),
        reserved: None,
        wait_refusal: None,
        identity: Rc::new(identity),
        work,
        caller_age,
        latency_bound,
        refusal: Cell::default(),
        runs: 0,
    })
}

/// Size of the request line and headers, in bytes, including separators.
fn head_bytes(parts: &Parts) -> usize {
    const SEPARATOR_BYTES: usize = 4;
    let line = parts.method.as_str().len() + parts.uri.to_string().len();
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.as_bytes().len() + SEPARATOR_BYTES
    };
    line + parts.headers.iter().map(header).sum::<usize>()
}

/// Number of idle connections to keep per endpoint of `service`: this entry's share of half of the
/// connections that the endpoint accepts, which leaves room for new ones.
fn idle_connections(state: &EntryState, book: &RouteBook, service: &ServiceName) -> usize {
    let accepted = book.service(service).map_or(0, |spec| spec.max_connections as usize);
    let entries = state.table.borrow().entries().max(1);
    (accepted / entries / 2).clamp(1, MAX_IDLE_CONNECTIONS)
}

/// The caller's team and priority, if the rule requires an API key.
fn check_key(
    book: &RouteBook,
    rule: &RouteRule,
    head: &CallerHead,
) -> Result<Option<(TeamName, Option<u8>)>, RefusalKind> {
    if !book.needs_key(rule) {
        return Ok(None);
    }
    let key = head.key.as_deref().ok_or(RefusalKind::NoKey)?;
    let access = book.access(key).ok_or(RefusalKind::NoKey)?;
    Ok(Some((access.team.clone(), access.priority)))
}

async fn read_body(
    body: &mut Incoming,
    limit: usize,
    left: Duration,
) -> Result<Bytes, RefusalKind> {
    let reading = tokio::time::timeout(left, read_request_body(body, limit));
    reading.await.map_err(|_| RefusalKind::BodyTimeout)?.map_err(|failure| match failure {
        BodyFailure::TooLarge => RefusalKind::BodyTooLarge,
        BodyFailure::Incomplete => RefusalKind::BadBody,
        BodyFailure::NoRoom => RefusalKind::NoRoom,
    })
}
