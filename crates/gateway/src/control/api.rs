//! HTTP API of a control host for operators and endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use briartray_fleet::state::StoredPlan;
use briartray_model::names::ZoneName;
use briartray_node::metrics::MetricsHub;
use briartray_platform::{
    ControlCall, heartbeat_response, read_heartbeat, read_leave, read_plan, redirect_to,
};
use briartray_web::spawn_worker;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_json::json;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::endpoint_client::{EndpointCall, EndpointClient};
use super::evacuation::ZoneChange;
use super::evacuation_call::{EvacuationCall, evacuation_answer};
use super::input::{ControlReply, CoreInput, InputSender, ReplySender};
use super::quarantine_call::{QuarantineCall, quarantine_answer};
use crate::metrics_port;
use crate::process::{ProcessError, SetupSnafu};
use briartray_http::{
    BodyFailure, HttpServer, ResponseBody, ServerLimits, discard_body, read_request_body,
};

/// Maximum size of a deployment plan, in bytes: 25 KB hold 110 routes, so thousands of routes fit.
const MAX_PLAN_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of the body of any other call, in bytes: a heartbeat has a few hundred.
const MAX_CALL_BYTES: usize = 64 * 1024;

/// Timeout for receiving the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for a reply from the control thread. Callers time out after one second or more.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum number of open connections from operators and endpoints: half of a host's file
/// descriptors.
const MAX_CONNECTIONS: usize = 2_048;

/// Idle timeout of connections: several heartbeat intervals. Endpoints that switch to another
/// control host leave their connections open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which unused connections to endpoints are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Stack size of the HTTP thread, in bytes.
const HTTP_STACK_BYTES: usize = 2 * 1024 * 1024;

/// Starts the HTTP thread; returns the queue for calls to endpoints.
///
/// # Errors
/// A [`ProcessError`] if the port or the thread cannot be set up.
pub(super) fn start(
    address: SocketAddr,
    inputs: InputSender,
    metrics: Option<SocketAddr>,
    hub: MetricsHub,
) -> Result<mpsc::UnboundedSender<EndpointCall>, ProcessError> {
    let listener =
        std::net::TcpListener::bind(address).context(SetupSnafu { what: "the control port" })?;
    listener.set_nonblocking(true).context(SetupSnafu { what: "the control port" })?;
    let (calls, queue) = mpsc::unbounded_channel();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => {
                let local = tokio::task::LocalSet::new();
                local.block_on(&runtime, async move {
                    let _metrics = metrics_port::serve(metrics, hub).await;
                    serve_all(listener, address, inputs, queue).await;
                });
            }
            Err(error) => log::error!("cannot serve the control API: {error}"),
        }
    };
    spawn_worker("control-http", HTTP_STACK_BYTES, run)
        .context(SetupSnafu { what: "the HTTP thread" })?;
    Ok(calls)
}

async fn serve_all(
    listener: std::net::TcpListener,
    address: SocketAddr,
    inputs: InputSender,
    mut calls: mpsc::UnboundedReceiver<EndpointCall>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("cannot serve the control API: {error}"),
    };
    let limits = ServerLimits { connections: MAX_CONNECTIONS, idle: IDLE_TIMEOUT };
    let api = ControlApi { address, inputs: inputs.clone() };
    let _server = HttpServer::start(listener, limits, move |request| api.clone().handle(request));
    let client = EndpointClient::new(inputs);
    let mut prune = tokio::time::interval(PRUNE_INTERVAL);
    loop {
        tokio::select! {
            call = calls.recv() => match call {
                Some(call) => drop(tokio::task::spawn_local(client.clone().run(call))),
                None => return,
            },
            _ = prune.tick() => client.prune(),
        }
    }
}

#[derive(Clone)]
struct ControlApi {
    address: SocketAddr,
    inputs: InputSender,
}

impl ControlApi {
    async fn handle(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let call = ControlCall::read(&request);
        let path = request.uri().path().to_owned();
        let (head, mut body) = request.into_parts();
        let limit = match call {
            ControlCall::PutPlan => MAX_PLAN_BYTES,
            _ => MAX_CALL_BYTES,
        };
        let received = read_request_body(&mut body, limit);
        let body = match tokio::time::timeout(BODY_TIMEOUT, received).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyFailure::NoRoom)) => {
                let message = BodyFailure::NoRoom.to_string();
                return error_response(StatusCode::SERVICE_UNAVAILABLE, &message);
            }
            Ok(Err(failure)) => {
                discard_body(&mut body).await;
                return error_response(StatusCode::PAYLOAD_TOO_LARGE, &failure.to_string());
            }
            Err(_) => {
                let message = "the body did not arrive in time; send it faster";
                return error_response(StatusCode::REQUEST_TIMEOUT, message);
            }
        };
        if let Some(answer) = self.handle_gateway_call(&path, &head, &body).await {
            return answer;
        }
        match call {
            ControlCall::PutPlan => self.put_plan(&path, body).await,
            ControlCall::GetPlan => {
                let reply = self.request_reply(|reply| CoreInput::GetPlan { reply }).await;
                self.reply_response(&path, reply)
            }
            ControlCall::Heartbeat { id } => self.heartbeat(&path, &id, &body).await,
            ControlCall::Leave { id } => {
                let id = read_leave(&id, &body);
                let reply = self.request_reply(|reply| CoreInput::Leave { id, reply }).await;
                self.reply_response(&path, reply)
            }
            ControlCall::Evacuate { zone } => {
                self.change_zone(&path, zone, ZoneChange::Evacuate).await
            }
            ControlCall::Readmit { zone } => {
                self.change_zone(&path, zone, ZoneChange::Readmit).await
            }
            ControlCall::Other => error_response(StatusCode::NOT_FOUND, "there is no such call"),
        }
    }

    /// Handles a call on the gateway's own paths; `None` if the path is not one of them.
    async fn handle_gateway_call(
        &self,
        path: &str,
        head: &Parts,
        body: &[u8],
    ) -> Option<Response<ResponseBody>> {
        let quarantine =
            QuarantineCall::read(head, body).map(|read| read.map(GatewayCall::Quarantine));
        let evacuation =
            || EvacuationCall::read(head, body).map(|read| read.map(GatewayCall::Evacuation));
        match quarantine.or_else(evacuation)? {
            Ok(call) => {
                let reply = self.request_reply(|reply| call.input(reply)).await;
                Some(self.reply_response(path, reply))
            }
            Err(detail) => Some(error_response(StatusCode::BAD_REQUEST, &detail)),
        }
    }

    async fn change_zone(
        &self,
        path: &str,
        zone: ZoneName,
        change: ZoneChange,
    ) -> Response<ResponseBody> {
        let name = zone.to_string();
        let reply = self.request_reply(|reply| CoreInput::ChangeZone { zone, change, reply }).await;
        log::info!(zone = name.as_str();
            "operator requested {change:?}: {}", reply_summary(&reply));
        self.reply_response(path, reply)
    }

    async fn put_plan(&self, path: &str, body: Bytes) -> Response<ResponseBody> {
        match read_plan(&body) {
            Ok(plan) => {
                let plan = StoredPlan::pack(plan.version, &body);
                let version = plan.version;
                let reply = self.request_reply(|reply| CoreInput::PutPlan { plan, reply }).await;
                log::info!(version; "operator sent a deployment plan: {}", reply_summary(&reply));
                self.reply_response(path, reply)
            }
            Err(error) => {
                log::info!("refused invalid deployment plan: {error}");
                error_response(StatusCode::BAD_REQUEST, &error.to_string())
            }
        }
    }

    async fn heartbeat(&self, path: &str, id: &str, body: &[u8]) -> Response<ResponseBody> {
        match read_heartbeat(id, body) {
            Ok(heartbeat) => {
                match self.request_reply(|reply| CoreInput::Heartbeat { heartbeat, reply }).await {
                    ControlReply::Done => {
                        heartbeat_response(&self.address.to_string()).map(ResponseBody::whole)
                    }
                    reply => self.reply_response(path, reply),
                }
            }
            Err(error) => {
                log::warn!(endpoint = id; "refused invalid heartbeat: {error}");
                error_response(StatusCode::BAD_REQUEST, &error.to_string())
            }
        }
    }

    /// Sends an input to the control thread and waits for its reply.
    async fn request_reply(&self, wrap: impl FnOnce(ReplySender) -> CoreInput) -> ControlReply {
        let (reply, answer) = oneshot::channel();
        if !self.inputs.try_send(wrap(reply)) {
            return ControlReply::Unavailable;
        }
        match tokio::time::timeout(REPLY_TIMEOUT, answer).await {
            Ok(Ok(reply)) => reply,
            _ => ControlReply::Unavailable,
        }
    }

    fn reply_response(&self, path: &str, reply: ControlReply) -> Response<ResponseBody> {
        match reply {
            ControlReply::Done => Response::new(ResponseBody::whole(Vec::new())),
            ControlReply::Plan(body) => json_answer(body),
            ControlReply::Quarantine(records) => quarantine_answer(&records),
            ControlReply::Evacuated(zones) => evacuation_answer(&zones),
            ControlReply::UnknownZone(zone) => {
                let message =
                    format!("there is no zone {zone}; name one of the deployment's zones");
                error_response(StatusCode::BAD_REQUEST, &message)
            }
            ControlReply::NoPlan => {
                error_response(StatusCode::NOT_FOUND, "nothing was declared yet")
            }
            ControlReply::RedirectToLeader(node) => {
                let address = format!("{node}:{}", self.address.port());
                redirect_to(&address, path).map(ResponseBody::whole)
            }
            ControlReply::Unavailable => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, "no majority answers; try again")
            }
        }
    }
}

/// A call on one of the gateway's own paths.
enum GatewayCall {
    Quarantine(QuarantineCall),
    Evacuation(EvacuationCall),
}

impl GatewayCall {
    fn input(self, reply: ReplySender) -> CoreInput {
        match self {
            Self::Quarantine(call) => call.input(reply),
            Self::Evacuation(call) => call.input(reply),
        }
    }
}

fn reply_summary(reply: &ControlReply) -> &'static str {
    match reply {
        ControlReply::Done => "acknowledged",
        ControlReply::RedirectToLeader(_) => "redirected to the leader",
        ControlReply::Unavailable => "no majority",
        ControlReply::UnknownZone(_) => "unknown zone",
        ControlReply::Plan(_)
        | ControlReply::NoPlan
        | ControlReply::Quarantine(_)
        | ControlReply::Evacuated(_) => "answered",
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<ResponseBody> {
    let mut answer = json_answer(json!({ "message": message }).to_string());
    *answer.status_mut() = status;
    answer
}

/// A response with the JSON document `body`.
pub(super) fn json_answer(body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
