//! The side that accepts streams.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use crate::client::{CONNECTION_WINDOW, STREAM_WINDOW};
use crate::connection::{PathLiveness, watch_path};
use crate::stream::{LinkReader, LinkWriter, pair, pump_in, pump_out};
use crate::{CallKind, LinkError, PROTOCOL_VERSION, TOKEN_HEADER, VERSION_HEADER};

/// Streams that one connection may have open.
const MAX_STREAMS: u32 = 4096;

/// Connections that one server keeps open.
const MAX_CONNECTIONS: usize = 8192;

/// Time a new connection has for its h2 handshake.
const HANDSHAKE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// One accepted stream.
#[derive(Debug)]
pub struct LinkStream {
    /// What the stream is for.
    pub kind: CallKind,
    /// The process that opened it.
    pub from: SocketAddr,
    /// Sends replies.
    pub writer: LinkWriter,
    /// Receives requests.
    pub reader: LinkReader,
    /// Bounds how long a request can have been on its way.
    pub liveness: PathLiveness,
}

/// Listens for streams of other processes.
#[derive(Debug)]
pub struct LinkServer {
    address: SocketAddr,
    stop: tokio::sync::watch::Sender<bool>,
}

impl LinkServer {
    /// Listens on `address` and hands each accepted stream to `handler`, which must not block.
    ///
    /// # Errors
    /// `LinkError::Listen` when the address is taken, `LinkError::Thread` when the traffic thread
    /// cannot be made.
    pub fn start(
        address: SocketAddr,
        token: &str,
        handler: Box<dyn Fn(LinkStream) + Send + Sync>,
    ) -> Result<Self, LinkError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| LinkError::Thread { source })?;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .map_err(|source| LinkError::Listen { address, source })?;
        let address =
            listener.local_addr().map_err(|source| LinkError::Listen { address, source })?;
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let shared = Arc::new(ServerShared { token: token.to_owned(), handler });
        std::thread::Builder::new()
            .name(format!("link-{}", address.port()))
            .spawn(move || runtime.block_on(accept_all(listener, shared, stopped)))
            .map_err(|source| LinkError::Thread { source })?;
        Ok(Self { address, stop })
    }

    /// Where the server listens; tells the port when zero was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes every connection.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

struct ServerShared {
    token: String,
    handler: Box<dyn Fn(LinkStream) + Send + Sync>,
}

async fn accept_all(
    listener: TcpListener,
    shared: Arc<ServerShared>,
    mut stopped: tokio::sync::watch::Receiver<bool>,
) {
    let open = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        let (socket, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                // Out of file handles, most likely; give others time to close.
                log::warn!("cannot accept a link connection: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&open).try_acquire_owned() else {
            log::warn!("too many link connections; {from} was turned away");
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            serve_connection(socket, from, &shared).await;
            drop(permit);
        });
    }
}

async fn serve_connection(socket: TcpStream, from: SocketAddr, shared: &ServerShared) {
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let liveness = PathLiveness::new();
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(socket);
    let Ok(Ok(mut connection)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        log::warn!("link connection from {from} did not shake hands");
        return;
    };
    let Some(ping) = connection.ping_pong() else { return };
    let mut silent = std::pin::pin!(watch_path(ping, liveness.clone()));
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => accept_stream(request, respond, from, shared, &liveness),
                Some(Err(_)) | None => return,
            },
            () = &mut silent => {
                log::warn!("link from {from} went silent");
                return;
            }
        }
    }
}

fn accept_stream(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    shared: &ServerShared,
    liveness: &PathLiveness,
) {
    let kind = match check_request(&request, &shared.token) {
        Ok(kind) => kind,
        Err(status) => {
            log::warn!("link call from {from} refused with status {status}");
            let _ = respond.send_response(reply_head(status), true);
            return;
        }
    };
    let Ok(body) = respond.send_response(reply_head(StatusCode::OK), false) else { return };
    let (writer, reader, ends) = pair();
    tokio::spawn(pump_out(ends.outgoing, body));
    tokio::spawn(pump_in(request.into_body(), ends.incoming));
    (shared.handler)(LinkStream { kind, from, writer, reader, liveness: liveness.clone() });
}

/// Refuses strangers and other versions before any message is read.
fn check_request(request: &Request<h2::RecvStream>, token: &str) -> Result<CallKind, StatusCode> {
    let header = |name: &str| request.headers().get(name).map(http::HeaderValue::as_bytes);
    if !header(TOKEN_HEADER).is_some_and(|shown| same_bytes(shown, token.as_bytes())) {
        return Err(StatusCode::UNAUTHORIZED);
    }
    if header(VERSION_HEADER) != Some(PROTOCOL_VERSION.as_bytes()) {
        return Err(StatusCode::UPGRADE_REQUIRED);
    }
    CallKind::from_path(request.uri().path()).ok_or(StatusCode::NOT_FOUND)
}

/// Compares without telling by its duration where two secrets differ.
fn same_bytes(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len()
        && left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

fn reply_head(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}
