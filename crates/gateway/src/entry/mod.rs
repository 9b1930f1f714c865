//! The entry role: one thread serves callers, another one talks to the leading control host.

mod crash_check;
mod dispatch;
mod journal;
mod plain;
mod refusal;
mod relay;
mod serve;
mod state;
mod stream_clock;
mod watch;

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

use self::journal::EntryMetrics;
use self::state::EntryState;
use crate::metrics_port;
use crate::process::{ProcessError, SetupSnafu};
use crate::settings::{EntryRole, GatewaySettings};
use briartray_http::{HttpServer, ResponseBody, ServerLimits};

/// Stack of the traffic thread, in bytes.
const TRAFFIC_STACK_BYTES: usize = 2 * 1024 * 1024;

/// Callers' connections that are open at one time; descriptors for endpoints are left beside.
const MAX_CONNECTIONS: usize = 2_500;

/// Idle time of callers' connections before a declaration names one; callers keep connections for
/// up to four fifths of the declared time, so this is above what declarations name.
const IDLE_LIMIT: Duration = Duration::from_secs(40);

/// Time between two looks for silent targets and idle connections.
const HOUSEKEEPING: Duration = Duration::from_millis(50);

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    stop: oneshot::Sender<Duration>,
    ended: Receiver<bool>,
}

impl EntryProcess {
    /// Starts the traffic thread.
    ///
    /// # Errors
    /// A `ProcessError` when a port or a thread cannot be had.
    pub fn start(settings: &GatewaySettings, role: &EntryRole) -> Result<Self, ProcessError> {
        let (stop, stopped) = oneshot::channel();
        let (end, ended) = bounded(1);
        let callers = listen(role.callers)?;
        let ready = listen(role.ready)?;
        let (watch, notices) = watch::start(settings)?;
        let hub = MetricsHub::default();
        let metrics = hub.add(EntryMetrics::register);
        let state = EntryState::builder(settings.clone(), watch, metrics);
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => {
                    let local = tokio::task::LocalSet::new();
                    let state = Rc::new(state.build());
                    let parts = EntryParts { callers, ready, notices, stopped, end, hub };
                    local.block_on(&runtime, serve_all(state, parts));
                }
                Err(error) => log::error!("traffic cannot be served: {error}"),
            }
        };
        spawn_worker("traffic", TRAFFIC_STACK_BYTES, run)
            .context(SetupSnafu { what: "the traffic thread" })?;
        Ok(Self { stop, ended })
    }

    /// Ends as a planned stop: takes no new connections once the balancer has noticed, and cuts
    /// off nothing that ends within `grace`. Tells whether all requests had ended by then.
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

/// What the traffic thread is made of, beside its state.
struct EntryParts {
    callers: std::net::TcpListener,
    ready: std::net::TcpListener,
    notices: tokio::sync::mpsc::UnboundedReceiver<watch::WatchEvent>,
    stopped: oneshot::Receiver<Duration>,
    end: Sender<bool>,
    hub: MetricsHub,
}

async fn serve_all(state: Rc<EntryState>, parts: EntryParts) {
    let EntryParts { callers, ready, notices, stopped, end, hub } = parts;
    let _metrics = metrics_port::serve(state.settings.metrics, hub).await;
    let limits = ServerLimits { connections: MAX_CONNECTIONS, idle: IDLE_LIMIT };
    let (Ok(callers), Ok(ready)) = (TcpListener::from_std(callers), TcpListener::from_std(ready))
    else {
        return log::error!("the ports for callers cannot be served");
    };
    let serving = Rc::clone(&state);
    let traffic = HttpServer::start(callers, limits, move |request| {
        serve::handle(Rc::clone(&serving), request)
    });
    let asked = Rc::clone(&state);
    let _readiness = HttpServer::start(ready, limits, move |request| {
        let answer = tell_readiness(&asked, &request);
        async move { answer }
    });
    tokio::task::spawn_local(keep_house(Rc::clone(&state)));
    tokio::task::spawn_local(watch::follow(Rc::clone(&state), notices));
    let whole = match stopped.await {
        Ok(grace) => drain(&state, &traffic, grace).await,
        Err(_) => false,
    };
    // Nobody waits for it when the process is ended otherwise.
    let _ = end.send(whole);
}

fn tell_readiness(state: &EntryState, request: &Request<Incoming>) -> Response<ResponseBody> {
    let known = request.uri().path() == briartray_platform::READINESS_PATH;
    let status = match (known, state.is_ready()) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    let mut answer = Response::new(ResponseBody::whole(Vec::new()));
    *answer.status_mut() = status;
    answer
}

async fn keep_house(state: Rc<EntryState>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING).await;
        state.keep_house();
    }
}

/// Whether every request ended before the limit.
async fn drain(state: &EntryState, traffic: &HttpServer, grace: Duration) -> bool {
    let started = Instant::now();
    state.begin_drain();
    log::info!(open = traffic.open(), running = state.running(); "draining");
    let schedule = DrainSchedule::new(grace);
    tokio::time::sleep(schedule.listen).await;
    traffic.stop();
    while traffic.open() > 0 && started.elapsed() < schedule.cut {
        tokio::time::sleep(HOUSEKEEPING).await;
    }
    log::info!(left = traffic.open(), running = state.running(); "drained");
    started.elapsed() < schedule.cut
}
