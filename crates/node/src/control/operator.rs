//! The operator port: JSON over HTTP, protected by a bearer token.

use std::sync::Arc;
use std::time::Duration;

use briartray_control::agreement::ProposalRefusal;
use briartray_control::state::{CommandOutcome, ControlCommand, StopPlan, StopTarget};
use briartray_model::names::{
    ChangeId, GroupId, HostName, NodeName, ProviderName, RequestFingerprint, RevisionNumber,
    StopId, ZoneName,
};
use briartray_model::settings::ControlSettings;
use briartray_web::{
    HttpListener, JsonReply, ListenError, header_value, read_body, reply_json, reply_text,
};
use crossbeam::channel::{Sender, bounded};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use super::input::{ControlInput, InspectKind};
use super::origin::{InspectAnswer, ProposalAnswer};
use crate::metrics::{METRICS_TYPE, MetricsHub};

/// Maximum size of an operator request's body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// How long the control thread may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyRulesBody {
    change: String,
    expect: Option<u64>,
    text: String,
}

/// A stop to plan, with exactly one target.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanStopBody {
    change: String,
    target: StopTargetName,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StopTargetName {
    Host(String),
    Group(u64),
    Zone(String),
    Provider(String),
}

impl PlanStopBody {
    fn into_command(self) -> Result<ControlCommand, String> {
        let change = parse_change_id(&self.change)?;
        let target = match &self.target {
            StopTargetName::Host(host) => StopTarget::Host(HostName::new(host)),
            StopTargetName::Group(group) => StopTarget::Group(GroupId(*group), Vec::new()),
            StopTargetName::Zone(zone) => StopTarget::Zone(ZoneName::new(zone)),
            StopTargetName::Provider(provider) => StopTarget::Provider(ProviderName::new(provider)),
        };
        Ok(ControlCommand::PlanStop { expect: 0, plan: StopPlan { change, target } })
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelStopBody {
    stop: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ForgetClaimsBody {
    keep: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LiftQuarantineBody {
    print: String,
}

impl LiftQuarantineBody {
    fn into_command(self) -> Result<ControlCommand, String> {
        let fingerprint = RequestFingerprint::parse(&self.print);
        let remedy = "send a print as the list of the quarantine shows it";
        Ok(ControlCommand::LiftQuarantine { print: fingerprint.ok_or(remedy)? })
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ForgetEntryBody {
    node: String,
}

/// Starts the operator port, which serves up to `max_open` requests concurrently.
pub(super) fn listen(
    role: &ControlSettings,
    max_open: u32,
    inputs: Sender<ControlInput>,
    metrics: MetricsHub,
) -> Result<HttpListener, ListenError> {
    let token = role.operator_token.clone();
    let handler = Arc::new(move |request| handle(request, token.as_deref(), &inputs, &metrics));
    HttpListener::start(role.operator, max_open, handler)
}

fn handle(
    mut request: Request,
    token: Option<&str>,
    inputs: &Sender<ControlInput>,
    metrics: &MetricsHub,
) {
    if token.is_some_and(|token| !has_token(&request, token)) {
        let reply = error_reply(401, "unauthorized", "send the operator token as a bearer token");
        return reply_json(request, &reply);
    }
    if request.url() == "/metrics" {
        return reply_text(request, 200, METRICS_TYPE, metrics.render().into_bytes());
    }
    let reply = route(&mut request, inputs);
    reply_json(request, &reply);
}

fn has_token(request: &Request, token: &str) -> bool {
    header_value(request, "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .is_some_and(|presented| presented == token)
}

fn route(request: &mut Request, inputs: &Sender<ControlInput>) -> JsonReply {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/v1/status") => inspect(inputs, InspectKind::Status),
        (Method::Get, "/v1/groups") => inspect(inputs, InspectKind::Groups),
        (Method::Get, "/v1/groups/account") => inspect(inputs, InspectKind::Account),
        (Method::Get, "/v1/rules") => inspect(inputs, InspectKind::Rules),
        (Method::Post, "/v1/rules") => apply_rules(request, inputs),
        (Method::Get, "/v1/entries") => inspect(inputs, InspectKind::Entries),
        (Method::Post, "/v1/entries/forget") => match parse_body::<ForgetEntryBody>(request) {
            Ok(body) => {
                let node = NodeName::new(&body.node);
                propose(inputs, Ok(ControlCommand::ForgetEntry { node }))
            }
            Err(detail) => error_reply(400, "bad_request", &detail),
        },
        (Method::Get, "/v1/quarantine") => inspect(inputs, InspectKind::Quarantine),
        (Method::Post, "/v1/quarantine/lift") => match parse_body::<LiftQuarantineBody>(request) {
            Ok(body) => propose(inputs, body.into_command()),
            Err(detail) => error_reply(400, "bad_request", &detail),
        },
        (Method::Get, "/v1/stops") => inspect(inputs, InspectKind::Stops),
        (Method::Post, "/v1/stops") => match parse_body::<PlanStopBody>(request) {
            Ok(body) => propose(inputs, body.into_command()),
            Err(detail) => error_reply(400, "bad_request", &detail),
        },
        (Method::Post, "/v1/stops/cancel") => match parse_body::<CancelStopBody>(request) {
            Ok(body) => propose(inputs, Ok(ControlCommand::CancelStop { stop: StopId(body.stop) })),
            Err(detail) => error_reply(400, "bad_request", &detail),
        },
        (Method::Post, "/v1/claims/forget") => match parse_body::<ForgetClaimsBody>(request) {
            Ok(body) => propose(inputs, Ok(ControlCommand::ForgetClaims { keep: body.keep })),
            Err(detail) => error_reply(400, "bad_request", &detail),
        },
        _ => error_reply(404, "unknown_call", "see the operators' guide for the calls"),
    }
}

fn inspect(inputs: &Sender<ControlInput>, kind: InspectKind) -> JsonReply {
    let (reply, answer) = bounded(1);
    if inputs.send(ControlInput::Inspect { kind, reply }).is_err() {
        return no_answer_reply();
    }
    match answer.recv_timeout(ANSWER_TIMEOUT) {
        Ok(InspectAnswer::Body(body)) => JsonReply::new(200, body),
        Ok(InspectAnswer::NotLeader(leader)) => not_leader_reply(leader.as_ref()),
        Err(_) => no_answer_reply(),
    }
}

fn apply_rules(request: &mut Request, inputs: &Sender<ControlInput>) -> JsonReply {
    let body = match parse_body::<ApplyRulesBody>(request) {
        Ok(body) => body,
        Err(detail) => return error_reply(400, "bad_request", &detail),
    };
    let expect = body.expect.map(RevisionNumber);
    let command = parse_change_id(&body.change).map(|change| ControlCommand::ApplyRules {
        change,
        expect,
        text: body.text,
    });
    propose(inputs, command)
}

/// Proposes a command and waits for its outcome.
fn propose(inputs: &Sender<ControlInput>, command: Result<ControlCommand, String>) -> JsonReply {
    let command = match command {
        Ok(command) => command,
        Err(detail) => return error_reply(400, "bad_change_id", &detail),
    };
    let (reply, answer) = bounded(1);
    if inputs.send(ControlInput::Propose { command, reply }).is_err() {
        return no_answer_reply();
    }
    match answer.recv_timeout(ANSWER_TIMEOUT) {
        Ok(ProposalAnswer::Applied(outcome)) => outcome_reply(&outcome),
        Ok(ProposalAnswer::Committed { revision, waiting_for }) => {
            committed_reply(revision, &waiting_for)
        }
        Ok(ProposalAnswer::Refused(refusal)) => refusal_reply(&refusal),
        Ok(ProposalAnswer::Unknown) | Err(_) => no_answer_reply(),
    }
}

fn parse_change_id(text: &str) -> Result<ChangeId, String> {
    let remedy = "send a change id of 32 hexadecimal digits";
    ChangeId::parse(text).ok_or_else(|| remedy.to_owned())
}

fn parse_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    let body = read_body(request, MAX_BODY_BYTES).map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

fn outcome_reply(outcome: &CommandOutcome) -> JsonReply {
    match outcome {
        CommandOutcome::RulesAccepted { revision } => {
            JsonReply::new(200, json!({ "outcome": "accepted", "revision": revision.0 }))
        }
        CommandOutcome::RulesConflict { revision } => error_reply_with(
            409,
            "revision_conflict",
            "another change came first; look at the rules in force and try again",
            &json!({ "revision": revision.0 }),
        ),
        CommandOutcome::RulesInvalid { detail } => error_reply(422, "rules_invalid", detail),
        CommandOutcome::ChangeReused { .. } => {
            error_reply(409, "change_reused", "use a new change id for another document")
        }
        CommandOutcome::EntryForgotten { node } => {
            JsonReply::new(200, json!({ "outcome": "forgotten", "node": node }))
        }
        CommandOutcome::EntryUnknown { .. } => {
            error_reply(404, "entry_unknown", "there is no such entry; list the entries")
        }
        CommandOutcome::QuarantineLifted { print } => {
            JsonReply::new(200, json!({ "outcome": "lifted", "print": print.to_string() }))
        }
        CommandOutcome::PartLifted { part } => {
            JsonReply::new(200, json!({ "outcome": "lifted", "print": part.to_string() }))
        }
        CommandOutcome::StopPlanned { stop } => {
            JsonReply::new(200, json!({ "outcome": "planned", "stop": stop.0 }))
        }
        CommandOutcome::StopRefused { reason } => error_reply(409, "stop_refused", reason),
        CommandOutcome::StopCancelled { stop } => {
            JsonReply::new(200, json!({ "outcome": "cancelled", "stop": stop.0 }))
        }
        CommandOutcome::StopUnknown { .. } => {
            error_reply(404, "stop_unknown", "there never was such a stop; list the stops")
        }
        CommandOutcome::ClaimsForgotten { count } => {
            JsonReply::new(200, json!({ "outcome": "forgotten", "claims": count }))
        }
        CommandOutcome::ChangeTooOld { floor } => error_reply_with(
            409,
            "change_too_old",
            "the outcome of so old a change is no longer kept; look at the rules in force and send \
             a new change that names the revision it expects",
            &json!({ "floor": floor.0 }),
        ),
        other => error_reply(500, "unexpected", &format!("{other:?}")),
    }
}

/// The reply for a change that is committed for good but not yet in force on every entry.
fn committed_reply(revision: RevisionNumber, waiting_for: &[NodeName]) -> JsonReply {
    let message = "the change is committed, and the entries in waiting_for may still decide under \
                   older rules; send the same change id again to wait on, or strike off entries \
                   that you know to be gone";
    let body = json!({
        "outcome": "committed",
        "revision": revision.0,
        "waiting_for": waiting_for,
        "message": message,
    });
    JsonReply::new(202, body)
}

fn refusal_reply(refusal: &ProposalRefusal) -> JsonReply {
    let message = refusal.to_string();
    match refusal {
        ProposalRefusal::NotLeader { leader } => not_leader_reply(leader.as_ref()),
        ProposalRefusal::Busy => error_reply(503, "busy", &message),
        ProposalRefusal::TooLarge { .. } => error_reply(413, "too_large", &message),
    }
}

/// The reply of a host that does not lead; its code makes the command line client try the next
/// control host.
fn not_leader_reply(leader: Option<&NodeName>) -> JsonReply {
    let message = "this control host does not lead; ask the leader, or another control host";
    error_reply_with(503, "not_leader", message, &json!({ "leader": leader }))
}

fn no_answer_reply() -> JsonReply {
    error_reply(503, "no_answer", "the outcome is not known; send the same change id again")
}

fn error_reply(status: u16, code: &str, message: &str) -> JsonReply {
    JsonReply::new(status, json!({ "code": code, "message": message }))
}

fn error_reply_with(status: u16, code: &str, message: &str, details: &Value) -> JsonReply {
    JsonReply::new(status, json!({ "code": code, "message": message, "details": details }))
}
