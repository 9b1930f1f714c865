//! HTTP/1.1 server: accepts connections and serves requests on them.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::ResponseBody;

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

    /// As [`Self::start`]; closes new connections, without reading from them, for which `admits`
    /// returns `false`.
    pub fn start_gated<A, H, F>(
        listener: TcpListener,
        limits: ServerLimits,
        admits: A,
        handle: H,
    ) -> Self
    where
        A: Fn() -> bool + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<ResponseBody>> + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let open = Rc::new(Cell::new(0));
        let open_count = Rc::clone(&open);
        tokio::task::spawn_local(accept_all(listener, limits, admits, handle, stopped, open_count));
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

async fn accept_all<A, H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    admits: A,
    handle: H,
    mut stopped: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
) where
    A: Fn() -> bool + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((_, peer)) if !admits() => {
                log::debug!("connection from {peer} was closed: the server is overloaded");
            }
            Ok((stream, peer)) if open.get() < limits.connections => {
                let serving =
                    serve(stream, peer, limits, handle.clone(), stopped.clone(), Rc::clone(&open));
                open.set(open.get() + 1);
                tokio::task::spawn_local(serving);
            }
            Ok((_, peer)) => {
                log::warn!("connection from {peer} was closed: too many connections are open");
            }
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServerLimits,
    handle: H,
    mut stopped: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on the connection from {peer}: {error}");
    }
    let service = service_fn(move |request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopped.wait_for(|stop| *stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection from {peer} failed: {error}");
    }
    open.set(open.get() - 1);
}
