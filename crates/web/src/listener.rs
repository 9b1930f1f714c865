//! An HTTP listener that hands each request to a handler on a thread of its own.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tiny_http::{Request, Server};

use crate::front::{self, ConnectionTable, FrontLimits, RunningGuard, serve_as};
use crate::reply::{JsonReply, header_value, reply_json};
use crate::worker::{WORKER_STACK_BYTES, spawn_worker};

/// How often a listener looks whether it was stopped.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// Largest body that the HTTP library reads together with the head.
const SMALL_BODY: usize = 1024;

/// Why a listener could not start.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; choose a free address"))]
    Address {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The HTTP library refused the socket.
    #[snafu(display("cannot serve HTTP on {address}: {detail}; choose a free address"))]
    Library {
        /// The address.
        address: SocketAddr,
        /// What the library said.
        detail: String,
    },
}

/// A running HTTP listener.
pub struct HttpListener {
    address: SocketAddr,
    server: Arc<Server>,
    table: Arc<ConnectionTable>,
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicU32>,
}

/// What the dispatching thread works with.
struct RequestDispatch {
    server: Arc<Server>,
    table: Arc<ConnectionTable>,
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicU32>,
    max_open: u32,
    handler: Arc<dyn Fn(Request) + Send + Sync>,
}

impl HttpListener {
    /// Listens on `address`; at most `max_open` requests run at one time, others are answered
    /// with status 503.
    ///
    /// # Errors
    /// A `ListenError` when the address cannot be used.
    pub fn start(
        address: SocketAddr,
        max_open: u32,
        handler: Arc<dyn Fn(Request) + Send + Sync>,
    ) -> Result<Self, ListenError> {
        Self::start_with(address, max_open, FrontLimits::default(), handler)
    }

    /// Listens on `address` with limits of its own.
    ///
    /// # Errors
    /// A `ListenError` when the address cannot be used.
    pub fn start_with(
        address: SocketAddr,
        max_open: u32,
        limits: FrontLimits,
        handler: Arc<dyn Fn(Request) + Send + Sync>,
    ) -> Result<Self, ListenError> {
        let listener = TcpListener::bind(address).context(AddressSnafu { address })?;
        let address = listener.local_addr().context(AddressSnafu { address })?;
        let inner = front::inner_listener().context(AddressSnafu { address })?;
        let inner_address = inner.local_addr().context(AddressSnafu { address })?;
        let server = Server::from_listener(inner, None)
            .map_err(|error| ListenError::Library { address, detail: error.to_string() })?;
        let dispatch = RequestDispatch {
            server: Arc::new(server),
            table: Arc::new(ConnectionTable::default()),
            stopped: Arc::new(AtomicBool::new(false)),
            open: Arc::new(AtomicU32::new(0)),
            max_open,
            handler,
        };
        let running = Self {
            address,
            server: Arc::clone(&dispatch.server),
            table: Arc::clone(&dispatch.table),
            stopped: Arc::clone(&dispatch.stopped),
            open: Arc::clone(&dispatch.open),
        };
        front::start(listener, inner_address, limits, Arc::clone(&running.table))
            .context(AddressSnafu { address })?;
        spawn_worker("http-accept", WORKER_STACK_BYTES, move || dispatch.run())
            .context(AddressSnafu { address })?;
        Ok(running)
    }

    /// Where it listens; tells the port when zero was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that run now, and answers that are still on their way to the caller.
    pub fn open_requests(&self) -> u32 {
        let flushing = u32::try_from(self.table.flushing()).unwrap_or(u32::MAX);
        self.open.load(Ordering::Relaxed).saturating_add(flushing)
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        self.table.len()
    }

    /// Takes no more requests; those that run go on.
    pub fn stop(&self) {
        self.table.stop();
        self.stopped.store(true, Ordering::Relaxed);
        self.server.unblock();
    }
}

impl RequestDispatch {
    fn run(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            match self.server.recv_timeout(STOP_CHECK) {
                Ok(Some(request)) => self.start_request(request),
                Ok(None) => {}
                Err(error) => {
                    log::error!("http listener failed: {error}; restart the process");
                    return;
                }
            }
        }
    }

    fn start_request(&self, request: Request) {
        let connection = request.remote_addr().and_then(|address| self.table.find(*address));
        let Some(connection) = connection else {
            // The caller has gone, or somebody on this host went round the front.
            reply_json(request, &JsonReply::refusal(503, "connection_unknown"));
            return;
        };
        let running = RunningGuard::begin(connection, has_body(&request));
        if self.open.fetch_add(1, Ordering::Relaxed) >= self.max_open {
            self.open.fetch_sub(1, Ordering::Relaxed);
            reply_json(request, &JsonReply::refusal(503, "too_many_requests_open"));
            return;
        }
        let guard = OpenGuard(Arc::clone(&self.open));
        let handler = Arc::clone(&self.handler);
        let run = move || {
            let _guard = guard;
            serve_as(&running);
            handler(request);
        };
        if let Err(error) = spawn_worker("http-request", WORKER_STACK_BYTES, run) {
            log::error!("cannot start a request thread: {error}; raise the thread limit");
        }
    }
}

/// Whether a body is still to be read.
fn has_body(request: &Request) -> bool {
    match request.body_length() {
        Some(length) => length > SMALL_BODY,
        None => header_value(request, "transfer-encoding").is_some(),
    }
}

/// Counts one open request down again, also when its thread panics.
struct OpenGuard(Arc<AtomicU32>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
