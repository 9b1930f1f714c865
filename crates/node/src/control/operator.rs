//! The operators' port: HTTP and JSON behind a bearer token.

use std::sync::Arc;
use std::time::Duration;

use briartray_control::agreement::ProposalRefusal;
use briartray_control::state::{CommandOutcome, ControlCommand, StopPlan, StopTarget};
use briartray_model::names::{
    ChangeId, GroupId, HostName, NodeName, ProviderName, RequestPrint, RevisionNumber, StopId,
    ZoneName,
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

/// Largest operator request, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// How long the control thread may take to answer.
const ANSWER_WAIT: Duration = Duration::from_secs(20);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyCall {
    change: String,
    expect: Option<u64>,
    text: String,
}

/// A stop; exactly one of the targets is named.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StopCall {
    change: String,
    target: StopName,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StopName {
    Host(String),
    Group(u64),
    Zone(String),
    Provider(String),
}

impl StopCall {
    fn into_command(self) -> Result<ControlCommand, String> {
        let change = read_change(&self.change)?;
        let target = match &self.target {
            StopName::Host(host) => StopTarget::Host(HostName::new(host)),
            StopName::Group(group) => StopTarget::Group(GroupId(*group), Vec::new()),
            StopName::Zone(zone) => StopTarget::Zone(ZoneName::new(zone)),
            StopName::Provider(provider) => StopTarget::Provider(ProviderName::new(provider)),
        };
        Ok(ControlCommand::PlanStop { expect: 0, plan: StopPlan { change, target } })
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelCall {
    stop: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ForgetCall {
    keep: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LiftCall {
    print: String,
}

impl LiftCall {
    fn into_command(self) -> Result<ControlCommand, String> {
        let print = RequestPrint::parse(&self.print);
        let remedy = "send a print as the list of the quarantine shows it";
        Ok(ControlCommand::LiftQuarantine { print: print.ok_or(remedy)? })
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryCall {
    node: String,
}

/// Starts the operators' port.
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
    if token.is_some_and(|token| !shows_token(&request, token)) {
        let reply = problem(401, "unauthorized", "send the operator token as a bearer token");
        return reply_json(request, &reply);
    }
    if request.url() == "/metrics" {
        return reply_text(request, 200, METRICS_TYPE, metrics.render().into_bytes());
    }
    let reply = answer(&mut request, inputs);
    reply_json(request, &reply);
}

fn shows_token(request: &Request, token: &str) -> bool {
    header_value(request, "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .is_some_and(|shown| shown == token)
}

fn answer(request: &mut Request, inputs: &Sender<ControlInput>) -> JsonReply {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/v1/status") => inspect(inputs, InspectKind::Status),
        (Method::Get, "/v1/groups") => inspect(inputs, InspectKind::Groups),
        (Method::Get, "/v1/groups/account") => inspect(inputs, InspectKind::Account),
        (Method::Get, "/v1/rules") => inspect(inputs, InspectKind::Rules),
        (Method::Post, "/v1/rules") => apply_rules(request, inputs),
        (Method::Get, "/v1/entries") => inspect(inputs, InspectKind::Entries),
        (Method::Post, "/v1/entries/forget") => match read_call::<EntryCall>(request) {
            Ok(call) => {
                let node = NodeName::new(&call.node);
                propose(inputs, Ok(ControlCommand::ForgetEntry { node }))
            }
            Err(detail) => problem(400, "bad_request", &detail),
        },
        (Method::Get, "/v1/quarantine") => inspect(inputs, InspectKind::Quarantine),
        (Method::Post, "/v1/quarantine/lift") => match read_call::<LiftCall>(request) {
            Ok(call) => propose(inputs, call.into_command()),
            Err(detail) => problem(400, "bad_request", &detail),
        },
        (Method::Get, "/v1/stops") => inspect(inputs, InspectKind::Stops),
        (Method::Post, "/v1/stops") => match read_call::<StopCall>(request) {
            Ok(call) => propose(inputs, call.into_command()),
            Err(detail) => problem(400, "bad_request", &detail),
        },
        (Method::Post, "/v1/stops/cancel") => match read_call::<CancelCall>(request) {
            Ok(call) => propose(inputs, Ok(ControlCommand::CancelStop { stop: StopId(call.stop) })),
            Err(detail) => problem(400, "bad_request", &detail),
        },
        (Method::Post, "/v1/claims/forget") => match read_call::<ForgetCall>(request) {
            Ok(call) => propose(inputs, Ok(ControlCommand::ForgetClaims { keep: call.keep })),
            Err(detail) => problem(400, "bad_request", &detail),
        },
        _ => problem(404, "unknown_call", "see the operators' guide for the calls"),
    }
}

fn inspect(inputs: &Sender<ControlInput>, what: InspectKind) -> JsonReply {
    let (reply, answer) = bounded(1);
    if inputs.send(ControlInput::Inspect { what, reply }).is_err() {
        return no_answer();
    }
    match answer.recv_timeout(ANSWER_WAIT) {
        Ok(InspectAnswer::Shown(body)) => JsonReply::new(200, body),
        Ok(InspectAnswer::NotLeader(leader)) => not_leader(leader.as_ref()),
        Err(_) => no_answer(),
    }
}

fn apply_rules(request: &mut Request, inputs: &Sender<ControlInput>) -> JsonReply {
    let call = match read_call::<ApplyCall>(request) {
        Ok(call) => call,
        Err(detail) => return problem(400, "bad_request", &detail),
    };
    let expect = call.expect.map(RevisionNumber);
    let command = read_change(&call.change).map(|change| ControlCommand::ApplyRules {
        change,
        expect,
        text: call.text,
    });
    propose(inputs, command)
}

/// Proposes a command and waits for its outcome.
fn propose(inputs: &Sender<ControlInput>, command: Result<ControlCommand, String>) -> JsonReply {
    let command = match command {
        Ok(command) => command,
        Err(detail) => return problem(400, "bad_change_id", &detail),
    };
    let (reply, answer) = bounded(1);
    if inputs.send(ControlInput::Propose { command, reply }).is_err() {
        return no_answer();
    }
    match answer.recv_timeout(ANSWER_WAIT) {
        Ok(ProposalAnswer::Done(outcome)) => describe(&outcome),
        Ok(ProposalAnswer::Committed { revision, waiting_for }) => pending(revision, &waiting_for),
        Ok(ProposalAnswer::Refused(refusal)) => refuse(&refusal),
        Ok(ProposalAnswer::Unknown) | Err(_) => no_answer(),
    }
}

fn read_change(text: &str) -> Result<ChangeId, String> {
    let remedy = "send a change id of 32 hexadecimal digits";
    ChangeId::parse(text).ok_or_else(|| remedy.to_owned())
}

fn read_call<T: DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    let body = read_body(request, MAX_BODY).map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

fn describe(outcome: &CommandOutcome) -> JsonReply {
    match outcome {
        CommandOutcome::RulesAccepted { revision } => {
            JsonReply::new(200, json!({ "outcome": "accepted", "revision": revision.0 }))
        }
        CommandOutcome::RulesConflict { revision } => problem_with(
            409,
            "revision_conflict",
            "another change came first; look at the rules in force and try again",
            &json!({ "revision": revision.0 }),
        ),
        CommandOutcome::RulesInvalid { detail } => problem(422, "rules_invalid", detail),
        CommandOutcome::ChangeReused { .. } => {
            problem(409, "change_reused", "use a new change id for another document")
        }
        CommandOutcome::EntryForgotten { node } => {
            JsonReply::new(200, json!({ "outcome": "forgotten", "node": node }))
        }
        CommandOutcome::EntryUnknown { .. } => {
            problem(404, "entry_unknown", "there is no such entry; list the entries")
        }
        CommandOutcome::QuarantineLifted { print } => {
            JsonReply::new(200, json!({ "outcome": "lifted", "print": print.to_string() }))
        }
        CommandOutcome::StopPlanned { stop } => {
            JsonReply::new(200, json!({ "outcome": "planned", "stop": stop.0 }))
        }
        CommandOutcome::StopRefused { reason } => problem(409, "stop_refused", reason),
        CommandOutcome::StopCancelled { stop } => {
            JsonReply::new(200, json!({ "outcome": "cancelled", "stop": stop.0 }))
        }
        CommandOutcome::StopUnknown { .. } => {
            problem(404, "stop_unknown", "there never was such a stop; list the stops")
        }
        CommandOutcome::ClaimsForgotten { count } => {
            JsonReply::new(200, json!({ "outcome": "forgotten", "claims": count }))
        }
        CommandOutcome::ChangeTooOld { floor } => problem_with(
            409,
            "change_too_old",
            "the outcome of so old a change is no longer kept; look at the rules in force and send \
             a new change that names the revision it expects",
            &json!({ "floor": floor.0 }),
        ),
        other => problem(500, "unexpected", &format!("{other:?}")),
    }
}

/// The change is committed and will not be taken back; some entries may not have it yet.
fn pending(revision: RevisionNumber, waiting_for: &[NodeName]) -> JsonReply {
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

fn refuse(refusal: &ProposalRefusal) -> JsonReply {
    let message = refusal.to_string();
    match refusal {
        ProposalRefusal::NotLeader { leader } => not_leader(leader.as_ref()),
        ProposalRefusal::Busy => problem(503, "busy", &message),
        ProposalRefusal::TooLarge { .. } => problem(413, "too_large", &message),
    }
}

/// Nothing was done here; the command line goes on to the next control host by this code.
fn not_leader(leader: Option<&NodeName>) -> JsonReply {
    let message = "this control host does not lead; ask the leader, or another control host";
    problem_with(503, "not_leader", message, &json!({ "leader": leader }))
}

fn no_answer() -> JsonReply {
    problem(503, "no_answer", "the outcome is not known; send the same change id again")
}

fn problem(status: u16, code: &str, message: &str) -> JsonReply {
    JsonReply::new(status, json!({ "code": code, "message": message }))
}

fn problem_with(status: u16, code: &str, message: &str, more: &Value) -> JsonReply {
    JsonReply::new(status, json!({ "code": code, "message": message, "details": more }))
}
