//! The HTTP interface for callers.

use std::borrow::Cow;
use std::sync::Arc;

use briartray_model::message::{CallTarget, HeaderField, TraceContext};
use briartray_model::names::{PartId, RequestId, RuleName, TeamName};
use briartray_model::rules::ServiceKind;
use briartray_quarantine::QuarantineStatus;
use briartray_routing::choice::PrefixDigest;
use briartray_web::{BodyError, JsonReply, header_value, read_body, reply_json, reply_text};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use tiny_http::{Method, Request};

use super::call::CallPlan;
use super::decide::{CallDecision, CallFacts};
use super::idempotency::{self, check_key};
use super::output::CallerOutput;
use super::refusal::{CallRefusal, RefusalCode};
use super::shared::{EntryShared, EntryView};
use crate::metrics::METRICS_TYPE;
use crate::new_request_id;
use crate::trace::{SpanHop, TraceScope};

/// Team of callers that send no team header.
const DEFAULT_TEAM: &str = "default";

/// HTTP methods that change nothing, so that requests to plain services may be repeated.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Headers that are forwarded to the endpoint.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", "idempotency-key"];

/// Paths that accept only GET and HEAD.
const READ_ONLY_PATHS: [&str; 4] = ["/healthz", "/readyz", "/metrics", "/v1/models"];

/// Header with the time that the caller allows for its request, in milliseconds.
const DEADLINE_HEADER: &str = "x-briartray-deadline-ms";

/// The fields of a completion request that the entry reads.
#[derive(Debug, Deserialize)]
struct CompletionFields<'a> {
    #[serde(default)]
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default, borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(default, borrow)]
    messages: Option<&'a RawValue>,
}

/// The fields of a chat message that identify it.
#[derive(Debug, Deserialize)]
struct MessageFields<'a> {
    #[serde(default, borrow)]
    role: Cow<'a, str>,
    #[serde(borrow)]
    content: &'a RawValue,
}

impl CompletionFields<'_> {
    /// Digest of the start of the prompt, taken over its raw JSON text.
    fn prefix(&self) -> Option<PrefixDigest> {
        let text = self.prompt.or(self.messages)?.get();
        PrefixDigest::of(text.as_bytes())
    }

    /// The messages of a chat; empty for any other prompt. The engine rejects malformed messages.
    fn messages(&self) -> Vec<MessageFields<'_>> {
        let Some(text) = self.messages else { return Vec::new() };
        serde_json::from_str(text.get()).unwrap_or_default()
    }
}

/// Handles one HTTP request and answers it.
pub(super) fn handle(request: Request, shared: &Arc<EntryShared>) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let is_read = matches!(request.method(), Method::Get | Method::Head);
    if READ_ONLY_PATHS.contains(&path.as_str()) && !is_read {
        let refusal = CallRefusal::not_run(RefusalCode::WrongMethod, "use GET for this path");
        shared.metrics.record_outcome(refusal.code.as_str());
        reply_json(request, &refusal.reply(new_request_id()));
        return;
    }
    match path.as_str() {
        "/healthz" => reply_json(request, &JsonReply::new(200, json!({ "alive": true }))),
        "/readyz" => reply_json(request, &readiness(shared)),
        "/metrics" => {
            reply_text(request, 200, METRICS_TYPE, shared.hub.render().into_bytes());
        }
        "/v1/models" => reply_json(request, &models(&shared.view())),
        _ => handle_call(request, &path, shared),
    }
}

fn readiness(shared: &EntryShared) -> JsonReply {
    let ready = shared.is_ready();
    let view = shared.view();
    let body = json!({
        "ready": ready,
        "whole_groups": view.snapshot.groups.iter().filter(|record| record.whole).count(),
        "revision": view.book.revision().0,
    });
    JsonReply::new(if ready { 200 } else { 503 }, body)
}

fn models(view: &EntryView) -> JsonReply {
    let names = view.book.document().services.iter().filter(|s| s.kind == ServiceKind::Engine);
    let data: Vec<_> = names
        .flat_map(|service| {
            std::iter::once(service.name.as_str()).chain(service.models.iter().map(String::as_str))
        })
        .map(|id| json!({ "id": id, "object": "model", "owned_by": "briartray" }))
        .collect();
    JsonReply::new(200, json!({ "object": "list", "data": data }))
}

fn handle_call(mut request: Request, path: &str, shared: &Arc<EntryShared>) {
    let id = new_request_id();
    let view = shared.view();
    let mut span = shared.traces.span(SpanHop::Entry, caller_trace(&request));
    let _scope = TraceScope::enter(span.context().trace_id);
    span.set_attribute("request", id);
    span.set_attribute("path", path);
    match plan_call(&mut request, path, id, shared, &view, span.context()) {
        Ok(plan) => idempotency::run(
            shared,
            &plan,
            CallerOutput::new(id, request).with_timer(
                &shared.admission_metrics,
                shared.clock,
                plan.arrived,
            ),
        ),
        Err(refusal) => {
            let keyed = header_value(&request, "idempotency-key").is_some();
            let refusal = if keyed { idempotency::refuse_before_claim(refusal) } else { refusal };
            span.fail(refusal.code.as_str());
            shared.metrics.record_outcome(refusal.code.as_str());
            reply_json(request, &refusal.reply(id));
        }
    }
}

fn plan_call(
    request: &mut Request,
    path: &str,
    id: RequestId,
    shared: &EntryShared,
    view: &EntryView,
    trace: TraceContext,
) -> Result<CallPlan, CallRefusal> {
    let arrived = shared.clock.now();
    if shared.is_stopped() {
        let message = "this entry is stopping; connect again through the balancer";
        return Err(CallRefusal::not_run(RefusalCode::Stopping, message));
    }
    if !shared.rules_usable(view) {
        return Err(CallRefusal::rules_unconfirmed());
    }
    let team = caller_team(request, view)?;
    let body = read_body(request, shared.settings.max_body_bytes).map_err(refuse_body)?;
    let (service, model, stream, prefix, parts, target_path) = match split_service_path(path) {
        Some((service, rest)) => {
            let known = view.book.document().service(service);
            let plain = known.filter(|declared| declared.kind == ServiceKind::Plain);
            let declared = plain.ok_or_else(|| {
                let message = format!("service {service:?} is not offered; see the rules");
                CallRefusal::not_run(RefusalCode::UnknownService, &message)
            })?;
            let query = request.url().split_once('?').map_or("", |(_, query)| query);
            let target = if query.is_empty() { rest.to_owned() } else { format!("{rest}?{query}") };
            (declared.name.clone(), None, false, None, Vec::new(), target)
        }
        None => {
            let fields = read_completion(request, path, &body)?;
            let declared =
                view.book.document().service_of_model(&fields.model).ok_or_else(|| {
                    let message =
                        format!("model {:?} is not offered; see /v1/models", fields.model);
                    CallRefusal::not_run(RefusalCode::UnknownModel, &message)
                })?;
            let prefix = fields.prefix();
            let parts = shared_parts(shared, &fields);
            let (name, target) = (declared.name.clone(), path.to_owned());
            (name, Some(fields.model), fields.stream, prefix, parts, target)
        }
    };
    let status = shared.quarantine.status(&target_path, &team, &body, &parts);
    if status == QuarantineStatus::Quarantined {
        return Err(CallRefusal::quarantined());
    }
    let facts = CallFacts {
        team: team.clone(),
        service: service.clone(),
        model: model.clone(),
        path: path.to_owned(),
        zone: shared.zone.clone(),
        stream,
        keyed: header_value(request, "idempotency-key").is_some(),
    };
    let CallDecision { rule, mut admit, retry, route } = facts.decide(&view.book)?;
    shared.admission_metrics.record_decision(rule.as_ref().map(RuleName::as_str));
    let requested_ms = header_value(request, DEADLINE_HEADER).and_then(|text| text.parse().ok());
    admit.deadline_ms =
        requested_ms.map_or(admit.deadline_ms, |requested_ms| admit.deadline_ms.min(requested_ms));
    let key = check_key(header_value(request, "idempotency-key"), admit.idempotency_key)?;
    let is_safe = model.is_some() || SAFE_METHODS.contains(&request.method().as_str());
    let repeatable = key.is_none() && retry.repeatable.unwrap_or(is_safe);
    Ok(CallPlan {
        id,
        service,
        team,
        trace,
        arrived,
        target: call_target(request, target_path),
        body,
        stream,
        prefix,
        parts,
        repeatable,
        rule,
        admit,
        retry,
        route,
        key,
        facts,
        revision: view.book.revision(),
    })
}

fn caller_team(request: &Request, view: &EntryView) -> Result<TeamName, CallRefusal> {
    let name = header_value(request, "x-briartray-team").unwrap_or(DEFAULT_TEAM);
    let teams = &view.book.document().teams;
    if teams.is_empty() || teams.iter().any(|team| team.name.as_str() == name) {
        return Ok(TeamName::new(name));
    }
    let message = format!("team {name:?} is not known; send x-briartray-team with a known team");
    Err(CallRefusal::not_run(RefusalCode::UnknownTeam, &message))
}

fn refuse_body(error: BodyError) -> CallRefusal {
    let code = match error {
        BodyError::TooLarge { .. } => RefusalCode::BodyTooLarge,
        BodyError::Broken { .. } => RefusalCode::BadRequest,
    };
    CallRefusal::not_run(code, &error.to_string())
}

/// Splits `/services/NAME/rest` into name and `/rest`.
fn split_service_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/services/")?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (name, tail) = rest.split_at(end);
    Some((name, if tail.is_empty() { "/" } else { tail }))
}

fn read_completion<'a>(
    request: &Request,
    path: &str,
    body: &'a [u8],
) -> Result<CompletionFields<'a>, CallRefusal> {
    if path != "/v1/completions" && path != "/v1/chat/completions" {
        let message = "this path is not served; see the guide for the calls";
        return Err(CallRefusal::not_run(RefusalCode::UnknownPath, message));
    }
    if *request.method() != Method::Post {
        let message = "use POST for this path";
        return Err(CallRefusal::not_run(RefusalCode::WrongMethod, message));
    }
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not a completion request: {error}");
        CallRefusal::not_run(RefusalCode::BadRequest, &message)
    })
}

/// Ids of the parts of the prompt that other requests may share.
fn shared_parts(shared: &EntryShared, fields: &CompletionFields<'_>) -> Vec<PartId> {
    let messages = fields.messages();
    let messages: Vec<(&str, &str)> =
        messages.iter().map(|message| (&*message.role, message.content.get())).collect();
    shared.quarantine.shared_parts(&messages)
}

/// The trace context of the caller; without a span id when it sends none.
fn caller_trace(request: &Request) -> TraceContext {
    let given = header_value(request, "traceparent").and_then(TraceContext::parse);
    given.unwrap_or(TraceContext { sampled: true, ..TraceContext::default() })
}

fn call_target(request: &Request, path: String) -> CallTarget {
    let headers = FORWARDED_HEADERS
        .iter()
        .filter_map(|name| {
            let value = header_value(request, name)?.to_owned();
            Some(HeaderField { name: (*name).to_owned(), value })
        })
        .collect();
    CallTarget { method: request.method().to_string(), path, headers }
}
