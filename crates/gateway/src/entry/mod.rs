//! The entry role. The traffic thread serves callers; another thread maintains the link to the
//! leading control host.

mod attempt;
mod control_link;
mod crash_check;
mod dispatch;
mod given_up;
mod quarantine;
mod refusal;
mod retries;
mod returns;
mod serve;
mod state;
mod stream_clock;
mod stream_relay;
mod stream_run;
mod target_guard;
mod telemetry;
mod unanswered;
mod waiting;
mod whole_answer;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briartray_fleet::entry::DrainSchedule;
use briartray_node::metrics::MetricsHub;
use briartray_web::spawn_worker;
use crossbeam::channel::{Receiver, Sender, bounded};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use self::state::EntryState;
use self::telemetry::EntryMetrics;
use crate::metrics_port;
use crate::process::{ProcessError, SetupSnafu};
use crate::settings::{EntryRole, GatewaySettings};
use briartray_http::{ConnectionGate, ConnectionLoss, HttpServer, ResponseBody, ServerLimits};

/// Stack size of the traffic thread, in bytes.
const TRAFFIC_STACK_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of open connections from callers; leaves file descriptors for connections to
/// endpoints.
const MAX_CONNECTIONS: usize = 2_500;

/// Idle timeout for connections from callers. It must exceed every idle timeout that a deployment
/// plan declares, since callers reuse connections for up to four fifths of the declared time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Interval between housekeeping passes: detecting silent targets and closing idle connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    stop: oneshot::Sender<Duration>,
    ended: Receiver<bool>,
}

impl EntryProcess {
    /// Binds the ports and starts the threads of the role.
    ///
    /// # Errors
    /// A [`ProcessError`] if a port, the link or a thread cannot be set up.
    pub fn start(settings: &GatewaySettings, role: &EntryRole) -> Result<Self, ProcessError> {
        let (stop, stopped) = oneshot::channel();
        let (end, ended) = bounded(1);
        let callers = listen(role.callers)?;
        let ready = listen(role.ready)?;
        let (reports, events) = control_link::start(settings)?;
        let hub = MetricsHub::default();
        let metrics = hub.add(EntryMetrics::register);
        let state = EntryState::builder(settings.clone(), reports, metrics);
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => {
                    let local = tokio::task::LocalSet::new();
                    let state = Rc::new(state.build());
                    let parts = EntryParts { callers, ready, events, stopped, end, hub };
                    local.block_on(&runtime, serve_all(state, parts));
                }
                Err(error) => {
                    log::error!("cannot serve callers; failed to start the async runtime: {error}")
                }
            }
        };
        spawn_worker("traffic", TRAFFIC_STACK_BYTES, run)
            .context(SetupSnafu { what: "the traffic thread" })?;
        Ok(Self { stop, ended })
    }

    /// Drains the entry for a planned stop: stops accepting connections once the load balancer has
    /// noticed, and lets requests finish within `grace`. Returns whether all connections closed in
    /// time.
    pub fn drain(self, grace: Duration) -> bool {
        let _ = self.stop.send(grace);
        self.ended.recv_timeout(grace).unwrap_or(false)
    }
}

fn listen(address: SocketAddr) -> Result<std::net::TcpListener, ProcessError> {
    let listener = std::net::TcpListener::bind(address).context(SetupSnafu { what: "a port" })?;
    listener.set_nonblocking(true).context(SetupSnafu { what: "a port" })?;
    Ok(listener)
}

/// Inputs of the traffic thread other than its state.
struct EntryParts {
    callers: std::net::TcpListener,
    ready: std::net::TcpListener,
    events: tokio::sync::mpsc::UnboundedReceiver<control_link::ControlEvent>,
    stopped: oneshot::Receiver<Duration>,
    end: Sender<bool>,
    hub: MetricsHub,
}

async fn serve_all(state: Rc<EntryState>, parts: EntryParts) {
    let EntryParts { callers, ready, events, stopped, end, hub } = parts;
    let _metrics = metrics_port::serve(state.settings.metrics, hub).await;
    let limits = ServerLimits { connections: MAX_CONNECTIONS, idle: IDLE_TIMEOUT };
    let (Ok(callers), Ok(ready)) = (TcpListener::from_std(callers), TcpListener::from_std(ready))
    else {
        return log::error!("cannot serve callers; failed to register the listening sockets");
    };
    let (traffic_state, gate) = (Rc::clone(&state), CallerGate(Rc::clone(&state)));
    let traffic = HttpServer::start_gated(callers, limits, gate, move |request| {
        serve::handle(Rc::clone(&traffic_state), request)
    });
    let readiness_state = Rc::clone(&state);
    let _readiness = HttpServer::start(ready, limits, move |request| {
        let answer = readiness_response(&readiness_state, &request);
        async move { answer }
    });
    tokio::task::spawn_local(run_housekeeping(Rc::clone(&state)));
    tokio::task::spawn_local(control_link::process_events(Rc::clone(&state), events));
    let all_closed = match stopped.await {
        Ok(grace) => drain(&state, &traffic, grace).await,
        Err(_) => false,
    };
    // The receiver was dropped if the process did not shut down through `drain`.
    let _ = end.send(all_closed);
}

/// Gate for connections of callers.
struct CallerGate(Rc<EntryState>);

impl ConnectionGate for CallerGate {
    fn admits(&self) -> bool {
        self.0.admits_connection()
    }

    fn note_loss(&self, loss: ConnectionLoss) {
        self.0.metrics.count_lost_connection(match loss {
            ConnectionLoss::TooMany => "too_many",
            ConnectionLoss::PartialRequest => "partial_request",
        });
    }
}

fn readiness_response(state: &EntryState, request: &Request<Incoming>) -> Response<ResponseBody> {
    let is_readiness = request.uri().path() == briartray_platform::READINESS_PATH;
    let status = match (is_readiness, state.is_ready()) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    let mut answer = Response::new(ResponseBody::whole(Vec::new()));
    *answer.status_mut() = status;
    answer
}

async fn run_housekeeping(state: Rc<EntryState>) {
    loop {
        let due = state.now().after(HOUSEKEEPING_INTERVAL);
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        state.record_delay(state.now().since(due));
        state.housekeeping_pass();
    }
}

/// Stops accepting connections; returns whether all connections closed before the cut-off time.
async fn drain(state: &EntryState, traffic: &HttpServer, grace: Duration) -> bool {
    let started = Instant::now();
    state.begin_drain();
    log::info!(open = traffic.open(), running = state.running(); "draining connections");
    let schedule = DrainSchedule::new(grace);
    tokio::time::sleep(schedule.listen).await;
    traffic.stop();
    loop {
        // Connections that waited for acceptance are counted as open after the first interval.
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        if traffic.open() == 0 || started.elapsed() >= schedule.cut {
            break;
        }
    }
    state.cut_off.reach();
    let in_time = started.elapsed() < schedule.cut;
    if !in_time {
        // The responses to the requests that are cut off are written in this time.
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
    }
    log::info!(left = traffic.open(), running = state.running(); "stopped draining connections");
    in_time
}
