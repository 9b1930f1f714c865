//! A stand-in endpoint on a socket: it applies orders, reports its state, sends heartbeats, and
//! answers requests as the head of a group or as a plain service.
//!
//! A request with the fatal body or the fatal prompt part crashes it: all of its connections are
//! reset, and it restarts after `RESTART_DELAY` at the same address with a new incarnation id.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use briartray_fleet::deployment::EngineModel;
use briartray_fleet::director::{EndpointHeartbeat, MemberState};
use briartray_http::{EndpointConnection, HttpServer, ResponseBody, ServerLimits, TruncatedStream};
use briartray_model::TimePoint;
use briartray_model::names::{DomainName, IncarnationId, PartId, ServiceName, ZoneName};
use briartray_platform::stand_in::{
    ReceivedHead, heartbeat_request, outcome_status, read_order, report_body, start_response,
    with_advertised_limit, with_backoff, with_leaving,
};
use briartray_platform::{ORDER_PATH, REPORT_PATH};
use bytes::Bytes;
use http::{Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::endless::EndlessStreams;
use super::{HostModel, IncarnationPlace};

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two heartbeats without a change.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of one attempt to send a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time from the start of a fatal request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// The same if the connection of the request broke before.
const LATE_CRASH_DELAY: Duration = Duration::from_millis(120);

/// Time from a crash to the restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// Settings of a stand-in endpoint.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// Id of its first incarnation; later ids append `-2`, `-3` and so on.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Its availability zone; also used as its fabric domain.
    pub zone: String,
    /// Time for which each incarnation reports that it is cold; zero for none.
    pub cold: Duration,
    /// Engine of an endpoint that serves in groups; `None` for a plain service.
    pub engine: Option<EngineModel>,
    /// Control hosts to send heartbeats to.
    pub control: Vec<SocketAddr>,
    /// Number of events in a stream.
    pub events: u64,
    /// Request body that crashes it.
    pub fatal_body: Option<String>,
    /// Shared part of a prompt that crashes it.
    pub fatal_part: Option<PartId>,
}

/// A running stand-in endpoint.
#[derive(Debug)]
pub struct HostServer {
    address: SocketAddr,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    shared: HostShared,
}

/// State shared between the thread of the endpoint and its [`HostServer`] handle.
#[derive(Debug, Clone, Default)]
struct HostShared {
    /// Ids of the requests that it ran.
    runs: Arc<Mutex<Vec<String>>>,
    /// Limit advertised in its answers.
    limit: Arc<Mutex<Option<String>>>,
    /// Whether it answers every request with an internal server error.
    fails: Arc<AtomicBool>,
    /// Ids of the requests that it rejected because it asked for a time without requests.
    rejected: Arc<Mutex<Vec<String>>>,
    /// Time without requests that it asks for, in seconds; `None` while it accepts requests.
    backoff: Arc<Mutex<Option<String>>>,
    /// Whether its answers state that it is leaving.
    answers_leaving: Arc<AtomicBool>,
    /// Whether its answers have neither a length nor chunks and end with their connection.
    answers_unframed: Arc<AtomicBool>,
    /// Whether its plain service breaks the connection of a fatal request before the crash.
    loses_fatal_answers: Arc<AtomicBool>,
    /// Id of the event inside which its streams end unless they are resumed; 0 for none.
    break_inside: Arc<AtomicU64>,
    /// Whether it rejects calls for a report.
    rejects_reports: Arc<AtomicBool>,
    /// Number of rejected calls for a report.
    rejected_reports: Arc<AtomicUsize>,
    /// Time for which its thread is to stand still, in milliseconds; 0 for none.
    stand_still_ms: Arc<AtomicU64>,
    /// Whether its streams go on with an event without end.
    endless: EndlessStreams,
}

impl HostShared {
    fn record_run(&self, id: &str) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
    }

    fn fails(&self) -> bool {
        self.fails.load(Ordering::SeqCst)
    }

    fn limit(&self) -> Option<String> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn record_rejection(&self, id: &str) {
        self.rejected.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
    }

    fn backoff(&self) -> Option<String> {
        self.backoff.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn answers_leaving(&self) -> bool {
        self.answers_leaving.load(Ordering::SeqCst)
    }
}

impl HostServer {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Errors
    /// The I/O error if the port cannot be bound or the thread cannot be started.
    pub fn start(settings: HostSettings) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let shared = HostShared::default();
        let thread_shared = shared.clone();
        std::thread::Builder::new()
            .name("stand-in-host".to_owned())
            .spawn(move || run_incarnations(listener, &settings, &thread_shared, stopped))?;
        Ok(Self { address, stop: Some(stop), shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the ids of the requests that it ran.
    pub fn runs(&self) -> Vec<String> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes it fail every later request, as a plain service does whose database is lost.
    pub fn fail(&self) {
        self.shared.fails.store(true, Ordering::SeqCst);
    }

    /// Sets the limit that later answers advertise; `None` advertises none.
    pub fn advertise_limit(&self, limit: Option<&str>) {
        let mut advertised = self.shared.limit.lock().unwrap_or_else(PoisonError::into_inner);
        *advertised = limit.map(str::to_owned);
    }

    /// Makes it reject later requests and ask for `seconds` without any; `None` accepts them again.
    pub fn ask_backoff(&self, seconds: Option<&str>) {
        let mut backoff = self.shared.backoff.lock().unwrap_or_else(PoisonError::into_inner);
        *backoff = seconds.map(str::to_owned);
    }

    /// Returns the ids of the requests that it rejected while it asked for a time without requests.
    pub fn rejected(&self) -> Vec<String> {
        self.shared.rejected.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes it reject calls for a report, or answer them again.
    pub fn reject_reports(&self, rejects: bool) {
        self.shared.rejects_reports.store(rejects, Ordering::SeqCst);
    }

    /// Returns the number of calls for a report that it rejected.
    pub fn rejected_reports(&self) -> usize {
        self.shared.rejected_reports.load(Ordering::SeqCst)
    }

    /// Makes its later answers state that it is leaving; its heartbeats do not.
    pub fn answer_leaving(&self) {
        self.shared.answers_leaving.store(true, Ordering::SeqCst);
    }

    /// Makes its later answers end with their connection, without a length or chunks.
    pub fn answer_unframed(&self) {
        self.shared.answers_unframed.store(true, Ordering::SeqCst);
    }

    /// Makes its plain service break the connection of later fatal requests at once, and crash 120 ms after that.
    pub fn lose_fatal_answers(&self) {
        self.shared.loses_fatal_answers.store(true, Ordering::SeqCst);
    }

    /// Makes later streams end inside event `id`, except resumed ones; the endpoint goes on.
    pub fn break_inside_event(&self, id: u64) {
        self.shared.break_inside.store(id, Ordering::SeqCst);
    }

    /// Returns the switch that makes its streams go on with an event without end.
    pub fn endless_streams(&self) -> &EndlessStreams {
        &self.shared.endless
    }

    /// Makes it stand still for `time`: its connections stay open, and nothing is read, sent or run.
    /// Returns once it stands still.
    pub fn stand_still(&self, time: Duration) {
        let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.shared.stand_still_ms.store(time_ms, Ordering::SeqCst);
        while self.shared.stand_still_ms.load(Ordering::SeqCst) > 0 {
            std::thread::sleep(TICK_INTERVAL);
        }
    }

    /// Stops it immediately, without completing open requests.
    pub fn kill(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

/// Why an incarnation of the endpoint ended.
enum IncarnationEnd {
    Crashed,
    Stopped,
}

/// Runs incarnations, each after the crash of the previous one, until stopped.
fn run_incarnations(
    mut listener: std::net::TcpListener,
    settings: &HostSettings,
    shared: &HostShared,
    mut stopped: tokio::sync::oneshot::Receiver<()>,
) {
    let Ok(address) = listener.local_addr() else { return };
    for incarnation in 1.. {
        let id = if incarnation == 1 {
            settings.id.clone()
        } else {
            format!("{}-{incarnation}", settings.id)
        };
        let settings = HostSettings { id, ..settings.clone() };
        match serve_incarnation(listener, settings, shared.clone(), &mut stopped) {
            Ok(IncarnationEnd::Crashed) => std::thread::sleep(RESTART_DELAY),
            Ok(IncarnationEnd::Stopped) | Err(_) => return,
        }
        match std::net::TcpListener::bind(address) {
            Ok(bound) => listener = bound,
            Err(error) => return log::error!("cannot restart at {address}, stopping: {error}"),
        }
    }
}

/// Runs one incarnation; dropping its runtime at the end closes all connections.
fn serve_incarnation(
    listener: std::net::TcpListener,
    settings: HostSettings,
    shared: HostShared,
    stopped: &mut tokio::sync::oneshot::Receiver<()>,
) -> std::io::Result<IncarnationEnd> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let crash = Rc::new(Notify::new());
    let end = local.block_on(&runtime, async {
        tokio::select! {
            () = serve(listener, address, settings, shared, Rc::clone(&crash)) => {
                IncarnationEnd::Stopped
            }
            () = crash.notified() => IncarnationEnd::Crashed,
            _ = stopped => IncarnationEnd::Stopped,
        }
    });
    Ok(end)
}

struct HostState {
    model: RefCell<HostModel>,
    settings: HostSettings,
    started: Instant,
    shared: HostShared,
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
    shared: HostShared,
    crash: Rc<Notify>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let place = IncarnationPlace {
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
        shared,
        crash,
    });
    let limits = ServerLimits { connections: 256, idle: Duration::from_secs(20) };
    let serving = Rc::clone(&state);
    let _server =
        HttpServer::start(listener, limits, move |request| handle(Rc::clone(&serving), request));
    send_heartbeats(&state).await;
}

/// Sends heartbeats at a fixed interval and after every change of the report.
async fn send_heartbeats(state: &HostState) {
    let mut next_heartbeat = Instant::now();
    let mut next = 0;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let stand_still_ms = state.shared.stand_still_ms.swap(0, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(stand_still_ms));
        let changed = state.model.borrow_mut().tick(state.now());
        if !changed && Instant::now() < next_heartbeat {
            continue;
        }
        next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        let cold = state.settings.cold.saturating_sub(state.started.elapsed());
        let cold_ms = u64::try_from(cold.as_millis()).unwrap_or(u64::MAX);
        let heartbeat = EndpointHeartbeat { cold_ms, ..state.model.borrow_mut().heartbeat() };
        for _ in 0..state.settings.control.len() {
            let control = state.settings.control[next % state.settings.control.len()];
            if send_heartbeat(control, &heartbeat).await {
                break;
            }
            next += 1;
        }
    }
}

/// Sends a heartbeat to `control` and follows its redirects to the leader.
///
/// Returns whether the heartbeat was acknowledged.
pub(super) async fn send_heartbeat(control: SocketAddr, heartbeat: &EndpointHeartbeat) -> bool {
    let mut address = control;
    for _ in 0..3 {
        let request = heartbeat_request(&address.to_string(), heartbeat);
        let sent = async {
            let exchange = EndpointConnection::open(address).await?.send(request).await?;
            exchange.whole().await
        };
        let Ok(Ok((head, _, _))) = tokio::time::timeout(HEARTBEAT_TIMEOUT, sent).await else {
            return false;
        };
        let redirect = head.headers.get(header::LOCATION).and_then(|value| value.to_str().ok());
        let redirect = redirect
            .and_then(|location| location.strip_prefix("http://")?.split('/').next()?.parse().ok());
        match redirect {
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
        REPORT_PATH if state.shared.rejects_reports.load(Ordering::SeqCst) => {
            state.shared.rejected_reports.fetch_add(1, Ordering::SeqCst);
            status(StatusCode::SERVICE_UNAVAILABLE)
        }
        REPORT_PATH => {
            let report = report_body(&state.model.borrow().report());
            Response::new(ResponseBody::whole(report.to_string()))
        }
        ORDER_PATH => apply_order(&state, &body),
        _ => run(&state, &head, &body),
    }
}

fn apply_order(state: &HostState, body: &[u8]) -> Response<ResponseBody> {
    let (Some((order, term)), Some(engine)) = (read_order(body), &state.settings.engine) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let outcome = state.model.borrow_mut().order(state.now(), &order, term, engine);
    status(outcome_status(outcome))
}

fn run(state: &Rc<HostState>, head: &ReceivedHead, body: &[u8]) -> Response<ResponseBody> {
    if let Some(seconds) = state.shared.backoff() {
        return reject(state, head, &seconds);
    }
    let settings = &state.settings;
    let fatal = settings.fatal_body.as_ref().is_some_and(|fatal| fatal.as_bytes() == body)
        || settings.fatal_part.is_some_and(|part| head.shared_parts.contains(&part));
    match state.settings.engine {
        Some(_) => run_engine(state, head, fatal),
        None => run_service(state, head, fatal),
    }
}

/// Crashes this incarnation after `delay`.
fn crash_after(state: &HostState, delay: Duration) {
    let crash = Rc::clone(&state.crash);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(delay).await;
        crash.notify_one();
    });
}

fn run_service(state: &HostState, head: &ReceivedHead, fatal: bool) -> Response<ResponseBody> {
    state.shared.record_run(&head.request_id);
    if state.shared.fails() {
        let code = StatusCode::INTERNAL_SERVER_ERROR;
        let answer = start_response(code, &head.request_id, true, (1, 0, 6));
        let body = ResponseBody::whole(Vec::new());
        return answer.body(body).unwrap_or_else(|_| status(code));
    }
    let body = if fatal {
        fatal_body(state)
    } else {
        let team = head.team.as_deref().unwrap_or("nobody");
        service_body(state, format!("{} {} {team}", state.settings.id, head.request_id))
    };
    served(state, head).body(body).unwrap_or_else(|_| status(StatusCode::BAD_GATEWAY))
}

/// The body of a plain service's answer to a fatal request: open until the crash, or broken before it.
fn fatal_body(state: &HostState) -> ResponseBody {
    let is_lost = state.shared.loses_fatal_answers.load(Ordering::SeqCst);
    crash_after(state, if is_lost { LATE_CRASH_DELAY } else { CRASH_DELAY });
    let (sender, body) = ResponseBody::parts();
    tokio::task::spawn_local(async move {
        if is_lost {
            let _ = sender.send(Err(TruncatedStream)).await;
        } else {
            sender.closed().await;
        }
    });
    body
}

/// The body of a plain service's answer, whose length is left open if answers are unframed.
fn service_body(state: &HostState, text: String) -> ResponseBody {
    if !state.shared.answers_unframed.load(Ordering::SeqCst) {
        return ResponseBody::whole(text);
    }
    let (sender, body) = ResponseBody::parts();
    tokio::task::spawn_local(async move {
        let _ = sender.send(Ok(Bytes::from(text))).await;
    });
    body
}

fn run_engine(state: &HostState, head: &ReceivedHead, fatal: bool) -> Response<ResponseBody> {
    let member = state.model.borrow().member.clone();
    let is_head = member.as_ref().is_some_and(|member| {
        member.state == MemberState::Open
            && member.members.first() == Some(&state.model.borrow().place.id)
    });
    if !is_head {
        return not_run(head, StatusCode::MISDIRECTED_REQUEST);
    }
    state.shared.record_run(&head.request_id);
    if fatal {
        crash_after(state, CRASH_DELAY);
    }
    let (sender, body) = ResponseBody::parts();
    let first = head.last_event.map_or(1, |last| last + 1);
    let last = state.settings.events;
    let pause = if fatal { CRASH_DELAY * 2 } else { EVENT_INTERVAL };
    let break_inside = state.shared.break_inside.load(Ordering::SeqCst);
    let (endless, resumed) = (state.shared.endless.clone(), head.last_event.is_some());
    let breaks_at = Some(break_inside).filter(|id| *id > 0 && head.last_event.is_none());
    tokio::task::spawn_local(async move {
        for id in first..=last {
            tokio::time::sleep(pause).await;
            if endless.begins_at(id, resumed) {
                return endless.send_event(&sender).await;
            }
            let event = format!("id: {id}\ndata: part {id}\n\n");
            if breaks_at == Some(id) {
                let half = event[..event.len() / 2].to_owned();
                let _ = sender.send(Ok(Bytes::from(half))).await;
                return;
            }
            if sender.send(Ok(Bytes::from(event))).await.is_err() {
                return;
            }
        }
    });
    let answer = served(state, head).header(header::CONTENT_TYPE, "text/event-stream").body(body);
    answer.unwrap_or_else(|_| status(StatusCode::BAD_GATEWAY))
}

fn served(state: &HostState, head: &ReceivedHead) -> http::response::Builder {
    let mut answer = start_response(StatusCode::OK, &head.request_id, true, (1, 0, 6));
    if let Some(limit) = state.shared.limit() {
        answer = with_advertised_limit(answer, &limit);
    }
    if state.shared.answers_leaving() {
        answer = with_leaving(answer);
    }
    if state.shared.answers_unframed.load(Ordering::SeqCst) {
        // HTTP/1.0 has no chunks, so bodies of unknown length end with the connection.
        answer = answer.version(Version::HTTP_10);
    }
    answer
}

/// Rejects a request and asks for `seconds` without any.
fn reject(state: &HostState, head: &ReceivedHead, seconds: &str) -> Response<ResponseBody> {
    state.shared.record_rejection(&head.request_id);
    let code = StatusCode::SERVICE_UNAVAILABLE;
    with_backoff(start_response(code, &head.request_id, false, (0, 0, 6)), seconds)
        .body(ResponseBody::whole(Vec::new()))
        .unwrap_or_else(|_| status(code))
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
