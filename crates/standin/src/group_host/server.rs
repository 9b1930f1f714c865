//! A stand-in endpoint on a real socket: takes orders, tells its state, beats, and answers
//! requests as a head of a group or as a plain service.
//!
//! A request whose body is the fatal one crashes it: all of its connections are reset, and it starts
//! again a moment later at the same address under a new id.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use briartray_fleet::deployment::EngineModel;
use briartray_fleet::director::{EndpointHeartbeat, MemberState};
use briartray_http::{EndpointConnection, HttpServer, ResponseBody, ServerLimits};
use briartray_model::TimePoint;
use briartray_model::names::{DomainName, IncarnationId, ServiceName, ZoneName};
use briartray_platform::stand_in::{
    ReceivedHead, heartbeat_request, outcome_status, read_order, report_body, start_response,
    with_advertised_limit,
};
use briartray_platform::{ORDER_PATH, REPORT_PATH};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::{HostModel, HostPlace};

/// Time between two looks at its own state.
const TICK: Duration = Duration::from_millis(10);

/// Time between two beats.
const BEAT: Duration = Duration::from_millis(400);

/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Time for one try of a beat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time from the beginning of a fatal request's run to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(30);

/// Time from a crash to the next start.
const RESTART_AFTER: Duration = Duration::from_millis(1_000);

/// What a stand-in endpoint is.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// Its first life; a later one has the number of its start behind it.
    pub id: String,
    /// Service it serves.
    pub service: String,
    /// Its availability zone, which is its fabric domain as well.
    pub zone: String,
    /// How long each life is cold, where it is at all.
    pub cold: Duration,
    /// Engine, for one that serves in groups.
    pub engine: Option<EngineModel>,
    /// Control hosts to announce itself to.
    pub control: Vec<SocketAddr>,
    /// Events of a stream.
    pub events: u64,
    /// Body of a request that crashes it.
    pub fatal_body: Option<String>,
}

/// A running stand-in endpoint.
#[derive(Debug)]
pub struct HostServer {
    address: SocketAddr,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    record: HostShared,
}

/// What a stand-in endpoint shares with the test that started it.
#[derive(Debug, Clone, Default)]
struct HostShared {
    /// Ids of the requests that it ran.
    runs: Arc<Mutex<Vec<String>>>,
    /// The limit that its answers name.
    limit: Arc<Mutex<Option<String>>>,
    /// Whether it answers requests with a failure of its own.
    fails: Arc<AtomicBool>,
}

impl HostShared {
    fn note_run(&self, id: &str) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
    }

    fn fails(&self) -> bool {
        self.fails.load(Ordering::SeqCst)
    }

    fn limit(&self) -> Option<String> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl HostServer {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Errors
    /// What the system said of the port or the thread.
    pub fn start(settings: HostSettings) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let record = HostShared::default();
        let shared = record.clone();
        std::thread::Builder::new()
            .name("stand-in-host".to_owned())
            .spawn(move || live(listener, &settings, &shared, stopped))?;
        Ok(Self { address, stop: Some(stop), record })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ids of the requests that it ran.
    pub fn runs(&self) -> Vec<String> {
        self.record.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Fails every request from now on, as a plain service whose store is gone.
    pub fn fail(&self) {
        self.record.fails.store(true, Ordering::SeqCst);
    }

    /// Names `limit` in its answers from now on; none without one.
    pub fn name_limit(&self, limit: Option<&str>) {
        let mut named = self.record.limit.lock().unwrap_or_else(PoisonError::into_inner);
        *named = limit.map(str::to_owned);
    }

    /// Ends it at once, in the middle of whatever it does.
    pub fn kill(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

/// Why one life of an endpoint is over.
enum LifeEnd {
    Crashed,
    Stopped,
}

/// Serves one life after the other until stopped.
fn live(
    mut listener: std::net::TcpListener,
    settings: &HostSettings,
    record: &HostShared,
    mut stopped: tokio::sync::oneshot::Receiver<()>,
) {
    let Ok(address) = listener.local_addr() else { return };
    for life in 1.. {
        let id = if life == 1 { settings.id.clone() } else { format!("{}-{life}", settings.id) };
        let settings = HostSettings { id, ..settings.clone() };
        match serve_life(listener, settings, record.clone(), &mut stopped) {
            Ok(LifeEnd::Crashed) => std::thread::sleep(RESTART_AFTER),
            Ok(LifeEnd::Stopped) | Err(_) => return,
        }
        match std::net::TcpListener::bind(address) {
            Ok(bound) => listener = bound,
            Err(error) => return log::error!("{address} cannot be had again: {error}"),
        }
    }
}

/// Serves one life; its runtime ends with it, and so does every connection.
fn serve_life(
    listener: std::net::TcpListener,
    settings: HostSettings,
    record: HostShared,
    stopped: &mut tokio::sync::oneshot::Receiver<()>,
) -> std::io::Result<LifeEnd> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let crash = Rc::new(Notify::new());
    let end = local.block_on(&runtime, async {
        tokio::select! {
            () = serve(listener, address, settings, record, Rc::clone(&crash)) => LifeEnd::Stopped,
            () = crash.notified() => LifeEnd::Crashed,
            _ = stopped => LifeEnd::Stopped,
        }
    });
    Ok(end)
}

struct HostState {
    model: RefCell<HostModel>,
    settings: HostSettings,
    started: Instant,
    record: HostShared,
    crash: Rc<Notify>,
}

impl HostState {
    fn now(&self) -> TimePoint {
        TimePoint(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

async fn serve(
    listener: std::net::TcpListener,
    address: SocketAddr,
    settings: HostSettings,
    record: HostShared,
    crash: Rc<Notify>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let place = HostPlace {
        id: IncarnationId::new(&settings.id),
        service: ServiceName::new(&settings.service),
        address: address.to_string(),
        zone: ZoneName::new(&settings.zone),
        domain: DomainName::new(&settings.zone),
    };
    let state = Rc::new(HostState {
        model: RefCell::new(HostModel::new(place)),
        settings,
        started: Instant::now(),
        record,
        crash,
    });
    let limits = ServerLimits { connections: 256, idle: Duration::from_secs(20) };
    let serving = Rc::clone(&state);
    let _server =
        HttpServer::start(listener, limits, move |request| handle(Rc::clone(&serving), request));
    announce(&state).await;
}

/// Beats at a steady pace and after every change.
async fn announce(state: &HostState) {
    let mut beat_at = Instant::now();
    let mut next = 0;
    loop {
        tokio::time::sleep(TICK).await;
        let changed = state.model.borrow_mut().tick(state.now());
        if !changed && Instant::now() < beat_at {
            continue;
        }
        beat_at = Instant::now() + BEAT;
        let cold = state.settings.cold.saturating_sub(state.started.elapsed());
        let cold_ms = u64::try_from(cold.as_millis()).unwrap_or(u64::MAX);
        let heartbeat = EndpointHeartbeat { cold_ms, ..state.model.borrow_mut().heartbeat() };
        for _ in 0..state.settings.control.len() {
            let control = state.settings.control[next % state.settings.control.len()];
            if send_beat(control, &heartbeat).await {
                break;
            }
            next += 1;
        }
    }
}

/// Whether the beat was acknowledged, by `control` or by the host that it names.
async fn send_beat(control: SocketAddr, heartbeat: &EndpointHeartbeat) -> bool {
    let mut address = control;
    for _ in 0..3 {
        let request = heartbeat_request(&address.to_string(), heartbeat);
        let sent = async {
            let exchange = EndpointConnection::open(address).await?.send(request).await?;
            exchange.whole().await
        };
        let Ok(Ok((head, _, _))) = tokio::time::timeout(BEAT_TIMEOUT, sent).await else {
            return false;
        };
        let named = head.headers.get(header::LOCATION).and_then(|value| value.to_str().ok());
        let named = named
            .and_then(|location| location.strip_prefix("http://")?.split('/').next()?.parse().ok());
        match named {
            Some(leader) => address = leader,
            None => return head.status.is_success(),
        }
    }
    false
}

async fn handle(state: Rc<HostState>, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let head = ReceivedHead::read(&parts.headers);
    let Ok(body) = body.collect().await else { return status(StatusCode::BAD_REQUEST) };
    let body = body.to_bytes();
    if head.expected.as_deref().is_some_and(|expected| expected != state.settings.id) {
        return not_run(&head, StatusCode::MISDIRECTED_REQUEST);
    }
    match parts.uri.path() {
        REPORT_PATH => {
            let report = report_body(&state.model.borrow().report());
            Response::new(ResponseBody::whole(report.to_string()))
        }
        ORDER_PATH => take_order(&state, &body),
        _ => run(&state, &head, &body),
    }
}

fn take_order(state: &HostState, body: &[u8]) -> Response<ResponseBody> {
    let (Some((order, term)), Some(engine)) = (read_order(body), &state.settings.engine) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let outcome = state.model.borrow_mut().order(state.now(), &order, term, engine);
    status(outcome_status(outcome))
}

fn run(state: &Rc<HostState>, head: &ReceivedHead, body: &[u8]) -> Response<ResponseBody> {
    let fatal = state.settings.fatal_body.as_ref().is_some_and(|fatal| fatal.as_bytes() == body);
    match state.settings.engine {
        Some(_) => run_engine(state, head, fatal),
        None => run_service(state, head, fatal),
    }
}

/// Ends this life in a moment.
fn crash_soon(state: &HostState) {
    let crash = Rc::clone(&state.crash);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CRASH_AFTER).await;
        crash.notify_one();
    });
}

fn run_service(state: &HostState, head: &ReceivedHead, fatal: bool) -> Response<ResponseBody> {
    state.record.note_run(&head.request_id);
    if state.record.fails() {
        let code = StatusCode::INTERNAL_SERVER_ERROR;
        let answer = start_response(code, &head.request_id, true, (1, 0, 6));
        let body = ResponseBody::whole(Vec::new());
        return answer.body(body).unwrap_or_else(|_| status(code));
    }
    let body = if fatal {
        crash_soon(state);
        let (sender, body) = ResponseBody::parts();
        // The answer stays open until the crash.
        tokio::task::spawn_local(async move { sender.closed().await });
        body
    } else {
        let team = head.team.as_deref().unwrap_or("nobody");
        ResponseBody::whole(format!("{} {} {team}", state.settings.id, head.request_id))
    };
    served(state, head).body(body).unwrap_or_else(|_| status(StatusCode::BAD_GATEWAY))
}

fn run_engine(state: &HostState, head: &ReceivedHead, fatal: bool) -> Response<ResponseBody> {
    let member = state.model.borrow().member.clone();
    let heads = member.as_ref().is_some_and(|member| {
        member.state == MemberState::Open
            && member.members.first() == Some(&state.model.borrow().place.id)
    });
    if !heads {
        return not_run(head, StatusCode::MISDIRECTED_REQUEST);
    }
    state.record.note_run(&head.request_id);
    if fatal {
        crash_soon(state);
    }
    let (sender, body) = ResponseBody::parts();
    let first = head.last_event.map_or(1, |last| last + 1);
    let last = state.settings.events;
    let pause = if fatal { CRASH_AFTER * 2 } else { EVENT_PAUSE };
    tokio::task::spawn_local(async move {
        for id in first..=last {
            tokio::time::sleep(pause).await;
            let event = format!("id: {id}\ndata: part {id}\n\n");
            if sender.send(Ok(Bytes::from(event))).await.is_err() {
                return;
            }
        }
    });
    let answer = served(state, head).header(header::CONTENT_TYPE, "text/event-stream").body(body);
    answer.unwrap_or_else(|_| status(StatusCode::BAD_GATEWAY))
}

fn served(state: &HostState, head: &ReceivedHead) -> http::response::Builder {
    let answer = start_response(StatusCode::OK, &head.request_id, true, (1, 0, 6));
    match state.record.limit() {
        Some(limit) => with_advertised_limit(answer, &limit),
        None => answer,
    }
}

fn not_run(head: &ReceivedHead, code: StatusCode) -> Response<ResponseBody> {
    start_response(code, &head.request_id, false, (0, 0, 6))
        .body(ResponseBody::whole(Vec::new()))
        .unwrap_or_else(|_| status(code))
}

fn status(code: StatusCode) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(Vec::new()));
    *answer.status_mut() = code;
    answer
}
