//! The server side of links, which accepts streams.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use crate::client::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES};
use crate::connection::{PathLiveness, monitor_path};
use crate::stream::{LinkReader, LinkWriter, receive_frames, send_frames, stream_pair};
use crate::{CallKind, LinkError, PROTOCOL_VERSION, TOKEN_HEADER, VERSION_HEADER};

/// Most open streams per connection.
const MAX_STREAMS: u32 = 4096;

/// Most open connections per server.
const MAX_CONNECTIONS: usize = 8192;

/// Time limit for the h2 handshake of a new connection.
const HANDSHAKE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// One accepted stream.
#[derive(Debug)]
pub struct LinkStream {
    /// Purpose of the stream.
    pub kind: CallKind,
    /// Address of the process that opened it.
    pub from: SocketAddr,
    /// Sends replies.
    pub writer: LinkWriter,
    /// Receives requests.
    pub reader: LinkReader,
    /// Bounds how long a request can have been in transit.
    pub liveness: PathLiveness,
}

/// Accepts streams from other processes.
#[derive(Debug)]
pub struct LinkServer {
    address: SocketAddr,
    stop: tokio::sync::watch::Sender<bool>,
}

impl LinkServer {
    /// Listens on `address` and hands each accepted stream to `handler`, which must not block.
    ///
    /// # Errors
    /// `LinkError::Listen` when the address cannot be listened on, `LinkError::Thread` when the
    /// network thread cannot be started.
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
            .spawn(move || runtime.block_on(accept_connections(listener, shared, stopped)))
            .map_err(|source| LinkError::Thread { source })?;
        Ok(Self { address, stop })
    }

    /// The address that the server listens on, with the actual port when port zero was requested.
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

async fn accept_connections(
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
                // Most likely no file handles are left; gives other connections time to close.
                log::warn!("cannot accept a link connection: {error}; retrying in 50 ms");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&open).try_acquire_owned() else {
            log::warn!("too many link connections; closed the one from {from}");
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
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(socket);
    let Ok(Ok(mut connection)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        log::warn!("no h2 handshake on the link connection from {from}; closing it");
        return;
    };
    let Some(ping) = connection.ping_pong() else { return };
    let mut path_lost = std::pin::pin!(monitor_path(ping, liveness.clone()));
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) =>
                    accept_stream(request, respond, from, shared, &liveness),
                Some(Err(_)) | None => return,
            },
            () = &mut path_lost => {
                log::warn!("no ping answer on the link from {from}; closing it");
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
            let _ = respond.send_response(response_head(status), true);
            return;
        }
    };
    let Ok(body) = respond.send_response(response_head(StatusCode::OK), false) else { return };
    let (writer, reader, ends) = stream_pair();
    tokio::spawn(send_frames(ends.outgoing, body));
    tokio::spawn(receive_frames(request.into_body(), ends.incoming));
    (shared.handler)(LinkStream { kind, from, writer, reader, liveness: liveness.clone() });
}

/// Checks token, protocol version and path before any message is read; returns the status of a
/// refusal.
fn check_request(request: &Request<h2::RecvStream>, token: &str) -> Result<CallKind, StatusCode> {
    let header = |name: &str| request.headers().get(name).map(http::HeaderValue::as_bytes);
    if !header(TOKEN_HEADER).is_some_and(|presented| constant_time_eq(presented, token.as_bytes()))
    {
        return Err(StatusCode::UNAUTHORIZED);
    }
    if header(VERSION_HEADER) != Some(PROTOCOL_VERSION.as_bytes()) {
        return Err(StatusCode::UPGRADE_REQUIRED);
    }
    CallKind::from_path(request.uri().path()).ok_or(StatusCode::NOT_FOUND)
}

/// Compares two secrets in a time that does not depend on where they differ.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len()
        && left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

fn response_head(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}
