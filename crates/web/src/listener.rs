//! HTTP listener that runs a handler for each request on a separate thread.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tiny_http::{Request, Server};

use crate::front_proxy::{
    self, ConnectionTable, ListenerLimits, RunningGuard, set_served_connection,
};
use crate::reply::{JsonReply, header_value, reply_json};
use crate::worker::{WORKER_STACK_BYTES, spawn_worker};

/// Interval at which the accept loop checks for a stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Largest body that the HTTP library reads together with the head, in bytes.
const EAGER_BODY_BYTES: usize = 1024;

/// Reason why a listener could not start.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// The address cannot be bound, or a thread or socket cannot be created.
    #[snafu(display("cannot listen on {address}: {source}; choose a free address"))]
    Address {
        /// Address to listen on.
        address: SocketAddr,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The HTTP library rejected the socket.
    #[snafu(display("cannot serve HTTP on {address}: {detail}; choose a free address"))]
    Library {
        /// Address to listen on.
        address: SocketAddr,
        /// Error text of the library.
        detail: String,
    },
}

/// Running HTTP listener.
pub struct HttpListener {
    address: SocketAddr,
    server: Arc<Server>,
    table: Arc<ConnectionTable>,
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicU32>,
}

/// State of the thread that dispatches requests.
struct RequestDispatch {
    server: Arc<Server>,
    table: Arc<ConnectionTable>,
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicU32>,
    max_open: u32,
    handler: Arc<dyn Fn(Request) + Send + Sync>,
}

impl HttpListener {
    /// Listens on `address` with the default limits and calls `handler` for each request; when
    /// `max_open` requests are in progress, further ones get status 503.
    ///
    /// # Errors
    /// `ListenError` when the address cannot be used or a thread cannot be started.
    pub fn start(
        address: SocketAddr,
        max_open: u32,
        handler: Arc<dyn Fn(Request) + Send + Sync>,
    ) -> Result<Self, ListenError> {
        Self::start_with_limits(address, max_open, ListenerLimits::default(), handler)
    }

    /// Like `start`, with the given limits.
    ///
    /// # Errors
    /// `ListenError` when the address cannot be used or a thread cannot be started.
    pub fn start_with_limits(
        address: SocketAddr,
        max_open: u32,
        limits: ListenerLimits,
        handler: Arc<dyn Fn(Request) + Send + Sync>,
    ) -> Result<Self, ListenError> {
        let listener = TcpListener::bind(address).context(AddressSnafu { address })?;
        let address = listener.local_addr().context(AddressSnafu { address })?;
        let library_listener =
            front_proxy::bind_loopback_listener().context(AddressSnafu { address })?;
        let library_address = library_listener.local_addr().context(AddressSnafu { address })?;
        let server = Server::from_listener(library_listener, None)
            .map_err(|error| ListenError::Library { address, detail: error.to_string() })?;
        let dispatch = RequestDispatch {
            server: Arc::new(server),
            table: Arc::new(ConnectionTable::default()),
            stopped: Arc::new(AtomicBool::new(false)),
            open: Arc::new(AtomicU32::new(0)),
            max_open,
            handler,
        };
        let listener_handle = Self {
            address,
            server: Arc::clone(&dispatch.server),
            table: Arc::clone(&dispatch.table),
            stopped: Arc::clone(&dispatch.stopped),
            open: Arc::clone(&dispatch.open),
        };
        front_proxy::start(listener, library_address, limits, Arc::clone(&listener_handle.table))
            .context(AddressSnafu { address })?;
        spawn_worker("http-accept", WORKER_STACK_BYTES, move || dispatch.run())
            .context(AddressSnafu { address })?;
        Ok(listener_handle)
    }

    /// Local address, with the assigned port when port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests in progress and of responses still in transit to the caller.
    pub fn open_requests(&self) -> u32 {
        let flushing = u32::try_from(self.table.flushing()).unwrap_or(u32::MAX);
        self.open.load(Ordering::Relaxed).saturating_add(flushing)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.table.len()
    }

    /// Stops accepting requests; those in progress continue.
    pub fn stop(&self) {
        self.table.stop();
        self.stopped.store(true, Ordering::Relaxed);
        self.server.unblock();
    }
}

impl RequestDispatch {
    fn run(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            match self.server.recv_timeout(STOP_CHECK_INTERVAL) {
                Ok(Some(request)) => self.start_request(request),
                Ok(None) => {}
                Err(error) => {
                    log::error!("HTTP listener failed: {error}; restart the process");
                    return;
                }
            }
        }
    }

    fn start_request(&self, request: Request) {
        let connection = request.remote_addr().and_then(|address| self.table.find(*address));
        let Some(connection) = connection else {
            // The caller has disconnected, or a local process bypassed the front proxy.
            reply_json(request, &JsonReply::refusal(503, "connection_unknown"));
            return;
        };
        let running = RunningGuard::begin(connection, has_body(&request));
        if self.open.fetch_add(1, Ordering::Relaxed) >= self.max_open {
            self.open.fetch_sub(1, Ordering::Relaxed);
            reply_json(request, &JsonReply::refusal(503, "too_many_requests_open"));
            return;
        }
        let open_guard = OpenGuard(Arc::clone(&self.open));
        let handler = Arc::clone(&self.handler);
        let run = move || {
            let _open_guard = open_guard;
            set_served_connection(&running);
            handler(request);
        };
        if let Err(error) = spawn_worker("http-request", WORKER_STACK_BYTES, run) {
            log::error!("cannot start a request thread: {error}; raise the thread limit");
        }
    }
}

/// Whether the request has a body that the library has not read yet.
fn has_body(request: &Request) -> bool {
    match request.body_length() {
        Some(length) => length > EAGER_BODY_BYTES,
        None => header_value(request, "transfer-encoding").is_some(),
    }
}

/// Decrements the number of open requests when dropped, also if the request thread panics.
struct OpenGuard(Arc<AtomicU32>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
