//! Accepting connections and serving requests on them.

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

/// Wait after a failed accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What connections of a server may use.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Open connections.
    pub connections: usize,
    /// Time for a head to arrive, and for a connection to be idle.
    pub idle: Duration,
}

/// A listener with its open connections.
#[derive(Debug)]
pub struct HttpServer {
    stop: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
}

impl HttpServer {
    /// Serves `listener` with `handle` on the current thread.
    pub fn start<H, F>(listener: TcpListener, limits: ServerLimits, handle: H) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<ResponseBody>> + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let open = Rc::new(Cell::new(0));
        let count = Rc::clone(&open);
        tokio::task::spawn_local(accept_all(listener, limits, handle, stopped, count));
        Self { stop, open }
    }

    /// Stops listening; each connection ends after the answer it is giving.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

async fn accept_all<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    handle: H,
    mut stopped: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, peer)) if open.get() < limits.connections => {
                let served =
                    serve(stream, peer, limits, handle.clone(), stopped.clone(), Rc::clone(&open));
                open.set(open.get() + 1);
                tokio::task::spawn_local(served);
            }
            Ok((_, peer)) => {
                log::warn!("a connection of {peer} is closed: too many are open");
            }
            Err(error) => {
                log::warn!("no connection could be accepted: {error}");
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
        log::debug!("a connection of {peer} is sent larger pieces: {error}");
    }
    let service = service_fn(move |request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stopped.wait_for(|stop| *stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a connection of {peer} ended: {error}");
    }
    open.set(open.get() - 1);
}
