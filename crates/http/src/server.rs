//! HTTP/1.1 server: accepts connections and serves requests on them.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::ResponseBody;
use super::activity::{ConnectionActivity, ObservedStream};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Largest request head, in bytes. The read buffer of a connection has the same bound.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Limits on the connections of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Timeout for receiving a request head, which also limits the time between requests.
    pub idle: Duration,
}

/// Why a connection was lost to its caller, other than after complete responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// It was closed unread, since too many connections were open.
    TooMany,
    /// It ended after a part of a request had arrived.
    PartialRequest,
}

/// Decides which connections a server accepts, and hears of those that are lost.
pub trait ConnectionGate {
    /// Whether to accept the next connection; others are closed unread.
    fn admits(&self) -> bool;

    /// Records a lost connection.
    fn note_loss(&self, _loss: ConnectionLoss) {}
}

impl<F: Fn() -> bool> ConnectionGate for F {
    fn admits(&self) -> bool {
        self()
    }
}

/// Running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    stop: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
}

impl HttpServer {
    /// Accepts connections of `listener` and answers their requests with `handle`, as tasks of the
    /// current thread's `LocalSet`.
    pub fn start<H, F>(listener: TcpListener, limits: ServerLimits, handle: H) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<ResponseBody>> + 'static,
    {
        Self::start_gated(listener, limits, || true, handle)
    }

    /// As [`Self::start`]; closes new connections, without reading from them, that `gate` does not
    /// admit.
    pub fn start_gated<G, H, F>(
        listener: TcpListener,
        limits: ServerLimits,
        gate: G,
        handle: H,
    ) -> Self
    where
        G: ConnectionGate + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<ResponseBody>> + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let open = Rc::new(Cell::new(0));
        let acceptor = ConnectionAcceptor {
            limits,
            gate: Rc::new(gate),
            handle,
            stopped,
            open: Rc::clone(&open),
        };
        tokio::task::spawn_local(acceptor.run(listener));
        Self { stop, open }
    }

    /// Stops accepting connections; open ones close after the response in progress.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// What a server needs to accept connections.
struct ConnectionAcceptor<G, H> {
    limits: ServerLimits,
    gate: Rc<G>,
    handle: H,
    stopped: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
}

impl<G, H, F> ConnectionAcceptor<G, H>
where
    G: ConnectionGate + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    async fn run(self, listener: TcpListener) {
        let mut stopped = self.stopped.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopped.wait_for(|stop| *stop) => return self.admit_waiting(listener),
            };
            match accepted {
                Ok((stream, peer)) => self.admit(stream, peer),
                Err(error) => {
                    log::warn!("accepting a connection failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Admits the connections that wait for acceptance; closing the listener would reset them.
    fn admit_waiting(&self, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, peer)) = listener.accept() {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => self.admit(stream, peer),
                Err(error) => log::warn!("accepting a connection failed: {error}"),
            }
        }
    }

    /// Serves a new connection, or closes it unread.
    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        if !self.gate.admits() {
            log::debug!("connection from {peer} was closed: the server is overloaded");
            return;
        }
        if self.open.get() >= self.limits.connections {
            log::warn!("connection from {peer} was closed: too many connections are open");
            self.gate.note_loss(ConnectionLoss::TooMany);
            return;
        }
        let serving = serve(
            stream,
            peer,
            self.limits,
            Rc::clone(&self.gate),
            self.handle.clone(),
            self.stopped.clone(),
            OpenGuard::new(&self.open),
        );
        tokio::task::spawn_local(serving);
    }
}

async fn serve<G, H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServerLimits,
    gate: Rc<G>,
    handle: H,
    mut stopped: watch::Receiver<bool>,
    _open: OpenGuard,
) where
    G: ConnectionGate,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on the connection from {peer}: {error}");
    }
    let activity = Rc::<ConnectionActivity>::default();
    let requests = Rc::clone(&activity);
    let service = service_fn(move |request: Request<Incoming>| {
        let running = requests.begin_request(request.version());
        let answer = catch_unwind(AssertUnwindSafe(|| handle(request)));
        let answer = answer_despite_panic(answer.ok());
        async move {
            let answer = answer.await;
            drop(running);
            Ok::<_, Infallible>(answer)
        }
    });
    let stream = ObservedStream::new(stream, Rc::clone(&activity));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let stopping = async {
        let _ = stopped.wait_for(|stop| *stop).await;
        activity.wait_for_arrival().await;
    };
    let result = tokio::select! {
        // Bytes that have arrived are read before the connection is closed.
        biased;
        result = connection.as_mut() => result,
        () = stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    match result {
        Ok(()) => activity.set_complete(),
        Err(error) => log::debug!("connection from {peer} failed: {error}"),
    }
    if activity.has_partial_request() {
        gate.note_loss(ConnectionLoss::PartialRequest);
    }
}

/// Counts a connection as open until dropped.
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The response of `answer`; if it panics or did before it was there, a response that leaves open what was done.
async fn answer_despite_panic(
    answer: Option<impl Future<Output = Response<ResponseBody>>>,
) -> Response<ResponseBody> {
    let mut answer = std::pin::pin!(answer);
    let polled = std::future::poll_fn(|context| {
        let Some(answer) = answer.as_mut().as_pin_mut() else { return Poll::Ready(None) };
        match catch_unwind(AssertUnwindSafe(|| answer.poll(context))) {
            Ok(poll) => poll.map(Some),
            Err(_) => Poll::Ready(None),
        }
    });
    polled.await.unwrap_or_else(|| {
        log::error!("the task of a request panicked");
        let mut failed = Response::new(ResponseBody::whole(Vec::new()));
        *failed.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        failed
    })
}
