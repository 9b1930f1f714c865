//! The interface of control hosts for operators and endpoints.

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
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde_json::json;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::calls::{EndpointCall, EndpointCaller};
use super::evacuation::ZoneWish;
use super::evacuation_call::{EvacuationCall, evacuation_answer};
use super::input::{ControlReply, CoreInput, InputSender, ReplySender};
use super::quarantine_call::{QuarantineCall, quarantine_answer};
use crate::metrics_port;
use crate::process::{ProcessError, SetupSnafu};
use briartray_http::{HttpServer, ResponseBody, ServerLimits};

/// Largest declaration, in bytes: 25 KB for 110 routes, so thousands of routes fit.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Time for the control thread to answer. Callers give up after one second or more.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Connections of operators and endpoints that are open at one time: half of the descriptors of a host.
const MAX_CONNECTIONS: usize = 2_048;

/// Time a connection may be idle: several beats. Endpoints that have moved to another control host leave
/// theirs behind.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// Time between two looks for connections to endpoints that are not used any more.
const PRUNE_EVERY: Duration = Duration::from_secs(2);

/// Stack of the HTTP thread, in bytes.
const HTTP_STACK_BYTES: usize = 2 * 1024 * 1024;

/// Starts the HTTP thread; calls to endpoints go into the returned queue.
///
/// # Errors
/// A `ProcessError` when the port or the thread cannot be had.
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
            Err(error) => log::error!("the control port cannot be served: {error}"),
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
        Err(error) => return log::error!("the control port cannot be served: {error}"),
    };
    let limits = ServerLimits { connections: MAX_CONNECTIONS, idle: IDLE_LIMIT };
    let api = ControlApi { address, inputs: inputs.clone() };
    let _server = HttpServer::start(listener, limits, move |request| api.clone().handle(request));
    let caller = EndpointCaller::new(inputs);
    let mut prune = tokio::time::interval(PRUNE_EVERY);
    loop {
        tokio::select! {
            call = calls.recv() => match call {
                Some(call) => drop(tokio::task::spawn_local(caller.clone().make(call))),
                None => return,
            },
            _ = prune.tick() => caller.prune(),
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
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY).collect().await else {
            return problem(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or incomplete");
        };
        let body = body.to_bytes();
        if let Some(answer) = self.handle_own(&path, &head, &body).await {
            return answer;
        }
        match call {
            ControlCall::PutPlan => self.put(&path, body).await,
            ControlCall::GetPlan => {
                let reply = self.ask(|reply| CoreInput::Get { reply }).await;
                self.answer(&path, reply)
            }
            ControlCall::Heartbeat { id } => self.heartbeat(&path, &id, &body).await,
            ControlCall::Leave { id } => {
                let id = read_leave(&id, &body);
                let reply = self.ask(|reply| CoreInput::Leave { id, reply }).await;
                self.answer(&path, reply)
            }
            ControlCall::Evacuate { zone } => self.change(&path, zone, ZoneWish::Evacuate).await,
            ControlCall::Readmit { zone } => self.change(&path, zone, ZoneWish::Readmit).await,
            ControlCall::Other => problem(StatusCode::NOT_FOUND, "there is no such call"),
        }
    }

    /// Answers a call on the product's own paths; `None` for any other one.
    async fn handle_own(
        &self,
        path: &str,
        head: &Parts,
        body: &[u8],
    ) -> Option<Response<ResponseBody>> {
        let quarantine = QuarantineCall::read(head, body).map(|read| read.map(OwnCall::Quarantine));
        let evacuation =
            || EvacuationCall::read(head, body).map(|read| read.map(OwnCall::Evacuation));
        match quarantine.or_else(evacuation)? {
            Ok(call) => {
                let reply = self.ask(|reply| call.input(reply)).await;
                Some(self.answer(path, reply))
            }
            Err(detail) => Some(problem(StatusCode::BAD_REQUEST, &detail)),
        }
    }

    async fn change(&self, path: &str, zone: ZoneName, wish: ZoneWish) -> Response<ResponseBody> {
        let name = zone.to_string();
        let reply = self.ask(|reply| CoreInput::Zone { zone, wish, reply }).await;
        log::info!(zone = name.as_str(); "{wish:?} was asked for: {}", describe(&reply));
        self.answer(path, reply)
    }

    async fn put(&self, path: &str, body: Bytes) -> Response<ResponseBody> {
        match read_plan(&body) {
            Ok(plan) => {
                let plan = StoredPlan::pack(plan.version, &body);
                let version = plan.version;
                let reply = self.ask(|reply| CoreInput::Put { plan, reply }).await;
                log::info!(version; "a declaration was sent: {}", describe(&reply));
                self.answer(path, reply)
            }
            Err(error) => {
                log::info!("a declaration is refused: {error}");
                problem(StatusCode::BAD_REQUEST, &error.to_string())
            }
        }
    }

    async fn heartbeat(&self, path: &str, id: &str, body: &[u8]) -> Response<ResponseBody> {
        match read_heartbeat(id, body) {
            Ok(heartbeat) => {
                match self.ask(|reply| CoreInput::Heartbeat { heartbeat, reply }).await {
                    ControlReply::Done => {
                        heartbeat_response(&self.address.to_string()).map(ResponseBody::whole)
                    }
                    reply => self.answer(path, reply),
                }
            }
            Err(error) => {
                log::warn!(endpoint = id; "a beat does not read: {error}");
                problem(StatusCode::BAD_REQUEST, &error.to_string())
            }
        }
    }

    /// Asks the control thread.
    async fn ask(&self, wrap: impl FnOnce(ReplySender) -> CoreInput) -> ControlReply {
        let (reply, answer) = oneshot::channel();
        if !self.inputs.try_send(wrap(reply)) {
            return ControlReply::Unavailable;
        }
        match tokio::time::timeout(REPLY_TIMEOUT, answer).await {
            Ok(Ok(reply)) => reply,
            _ => ControlReply::Unavailable,
        }
    }

    fn answer(&self, path: &str, reply: ControlReply) -> Response<ResponseBody> {
        match reply {
            ControlReply::Done => Response::new(ResponseBody::whole(Vec::new())),
            ControlReply::Plan(body) => json_answer(body),
            ControlReply::Quarantine(records) => quarantine_answer(&records),
            ControlReply::Evacuated(zones) => evacuation_answer(&zones),
            ControlReply::UnknownZone(zone) => {
                let message =
                    format!("there is no zone {zone}; name one of the deployment's zones");
                problem(StatusCode::BAD_REQUEST, &message)
            }
            ControlReply::NoPlan => problem(StatusCode::NOT_FOUND, "nothing was declared yet"),
            ControlReply::AskLeader(node) => {
                let address = format!("{node}:{}", self.address.port());
                redirect_to(&address, path).map(ResponseBody::whole)
            }
            ControlReply::Unavailable => {
                problem(StatusCode::SERVICE_UNAVAILABLE, "no majority answers; try again")
            }
        }
    }
}

/// A call on the product's own paths.
enum OwnCall {
    Quarantine(QuarantineCall),
    Evacuation(EvacuationCall),
}

impl OwnCall {
    fn input(self, reply: ReplySender) -> CoreInput {
        match self {
            Self::Quarantine(call) => call.input(reply),
            Self::Evacuation(call) => call.input(reply),
        }
    }
}

fn describe(reply: &ControlReply) -> &'static str {
    match reply {
        ControlReply::Done => "acknowledged",
        ControlReply::AskLeader(_) => "sent to the leader",
        ControlReply::Unavailable => "no majority",
        ControlReply::UnknownZone(_) => "unknown zone",
        ControlReply::Plan(_)
        | ControlReply::NoPlan
        | ControlReply::Quarantine(_)
        | ControlReply::Evacuated(_) => "answered",
    }
}

fn problem(status: StatusCode, message: &str) -> Response<ResponseBody> {
    let mut answer = json_answer(json!({ "message": message }).to_string());
    *answer.status_mut() = status;
    answer
}

/// An answer that holds `body`, which is JSON.
pub(super) fn json_answer(body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
