//! An HTTP listener that hands each request to a handler on a thread of its own.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tiny_http::{Request, Server};

use crate::reply::{JsonReply, reply_json};
use crate::worker::{WORKER_STACK_BYTES, spawn_worker};

/// How often a listener looks whether it was stopped.
const STOP_CHECK: Duration = Duration::from_millis(100);

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
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicU32>,
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
        let listener = TcpListener::bind(address).context(AddressSnafu { address })?;
        let address = listener.local_addr().context(AddressSnafu { address })?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| ListenError::Library { address, detail: error.to_string() })?;
        let server = Arc::new(server);
        let stopped = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicU32::new(0));
        let (pool, stop, count) = (Arc::clone(&server), Arc::clone(&stopped), Arc::clone(&open));
        let accept = move || accept_all(&pool, &stop, &count, max_open, &handler);
        spawn_worker("http-accept", WORKER_STACK_BYTES, accept)
            .context(AddressSnafu { address })?;
        Ok(Self { address, server, stopped, open })
    }

    /// Where it listens; tells the port when zero was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that run now.
    pub fn open_requests(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Takes no more requests; those that run go on.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.server.unblock();
    }
}

fn accept_all(
    server: &Server,
    stopped: &AtomicBool,
    open: &Arc<AtomicU32>,
    max_open: u32,
    handler: &Arc<dyn Fn(Request) + Send + Sync>,
) {
    while !stopped.load(Ordering::Relaxed) {
        match server.recv_timeout(STOP_CHECK) {
            Ok(Some(request)) => start_request(request, open, max_open, handler),
            Ok(None) => {}
            Err(error) => {
                log::error!("http listener failed: {error}");
                return;
            }
        }
    }
}

fn start_request(
    request: Request,
    open: &Arc<AtomicU32>,
    max_open: u32,
    handler: &Arc<dyn Fn(Request) + Send + Sync>,
) {
    if open.fetch_add(1, Ordering::Relaxed) >= max_open {
        open.fetch_sub(1, Ordering::Relaxed);
        reply_json(request, &JsonReply::refusal(503, "too_many_requests_open"));
        return;
    }
    let guard = OpenGuard(Arc::clone(open));
    let handler = Arc::clone(handler);
    let run = move || {
        let _guard = guard;
        handler(request);
    };
    if let Err(error) = spawn_worker("http-request", WORKER_STACK_BYTES, run) {
        log::error!("cannot start a request thread: {error}; raise the thread limit");
    }
}

/// Counts one open request down again, also when its thread panics.
struct OpenGuard(Arc<AtomicU32>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
