//! The side that opens streams.

use std::net::SocketAddr;
use std::time::Duration;

use briartray_model::SortedTable;
use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::connection::watch_path;
use crate::stream::{LinkReader, LinkWriter, StreamEnds, pair, pump_in, pump_out};
use crate::{CallKind, LinkError, PROTOCOL_VERSION, TOKEN_HEADER, VERSION_HEADER};

/// Calls that may wait to be opened.
const OPEN_QUEUE: usize = 1024;

/// h2 window of one stream, in bytes.
pub(crate) const STREAM_WINDOW: u32 = 256 * 1024;

/// h2 window of one connection, in bytes.
pub(crate) const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// How a client connects.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Shared secret of the deployment.
    pub token: String,
    /// Time to connect and shake hands.
    pub connect_timeout: Duration,
}

/// Opens streams to other processes over pooled connections.
#[derive(Debug, Clone)]
pub struct LinkClient {
    opens: mpsc::Sender<OpenCall>,
}

#[derive(Debug)]
struct OpenCall {
    address: SocketAddr,
    kind: CallKind,
    ends: StreamEnds,
}

#[derive(Debug)]
enum PoolEvent {
    Opened(SocketAddr, Result<SendRequest<Bytes>, String>),
    Closed(SocketAddr),
}

impl LinkClient {
    /// Starts a traffic thread.
    ///
    /// # Errors
    /// `LinkError::Thread` when the thread or its runtime cannot be made.
    pub fn start(name: &str, settings: ClientSettings) -> Result<Self, LinkError> {
        let (opens, queue) = mpsc::channel(OPEN_QUEUE);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| LinkError::Thread { source })?;
        std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || runtime.block_on(run_pool(settings, queue)))
            .map_err(|source| LinkError::Thread { source })?;
        Ok(Self { opens })
    }

    /// Opens a stream of `kind` to `address`. Errors of connecting come out of the reader.
    pub fn open(&self, address: SocketAddr, kind: CallKind) -> (LinkWriter, LinkReader) {
        let (writer, reader, ends) = pair();
        // A closed queue drops the ends, and the reader then reports the end of the stream.
        let _ = self.opens.blocking_send(OpenCall { address, kind, ends });
        (writer, reader)
    }
}

/// One peer of the pool: connected, or calls that wait for the connection.
#[derive(Debug)]
enum PoolEntry {
    Connecting(Vec<OpenCall>),
    Connected(SendRequest<Bytes>),
}

async fn run_pool(settings: ClientSettings, mut queue: mpsc::Receiver<OpenCall>) {
    let (events, mut event_queue) = mpsc::unbounded_channel();
    let mut pool: SortedTable<SocketAddr, PoolEntry> = SortedTable::new();
    loop {
        tokio::select! {
            call = queue.recv() => match call {
                Some(call) => accept_call(&settings, &mut pool, &events, call),
                None => return,
            },
            Some(event) = event_queue.recv() => match event {
                // The connection's own task reports its end, before a successor can be made.
                PoolEvent::Closed(address) => {
                    pool.remove(&address);
                }
                PoolEvent::Opened(address, outcome) => {
                    let Some(PoolEntry::Connecting(waiting)) = pool.remove(&address) else {
                        continue;
                    };
                    match outcome {
                        Ok(sender) => {
                            for call in waiting {
                                start_call(&settings, sender.clone(), call);
                            }
                            pool.insert(address, PoolEntry::Connected(sender));
                        }
                        Err(detail) => {
                            for call in waiting {
                                fail_call(call, LinkError::Connect { address, detail: detail.clone() });
                            }
                        }
                    }
                }
            },
        }
    }
}

fn accept_call(
    settings: &ClientSettings,
    pool: &mut SortedTable<SocketAddr, PoolEntry>,
    events: &mpsc::UnboundedSender<PoolEvent>,
    call: OpenCall,
) {
    let address = call.address;
    match pool.get_mut(&address) {
        Some(PoolEntry::Connected(sender)) => start_call(settings, sender.clone(), call),
        Some(PoolEntry::Connecting(waiting)) => waiting.push(call),
        None => {
            pool.insert(address, PoolEntry::Connecting(vec![call]));
            tokio::spawn(connect(address, settings.connect_timeout, events.clone()));
        }
    }
}

fn fail_call(mut call: OpenCall, error: LinkError) {
    tokio::spawn(async move { call.ends.incoming.push(Err(error)).await });
}

/// Connects, reports the outcome, then drives the connection until it fails or goes silent.
async fn connect(address: SocketAddr, timeout: Duration, events: mpsc::UnboundedSender<PoolEvent>) {
    let attempt = async {
        let socket = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        socket.set_nodelay(true).map_err(|error| error.to_string())?;
        h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .handshake::<_, Bytes>(socket)
            .await
            .map_err(|error| error.to_string())
    };
    let outcome = match tokio::time::timeout(timeout, attempt).await {
        Ok(outcome) => outcome,
        Err(_) => Err("no answer in time".to_owned()),
    };
    match outcome {
        Err(detail) => {
            let _ = events.send(PoolEvent::Opened(address, Err(detail)));
        }
        Ok((sender, mut connection)) => {
            let ping = connection.ping_pong();
            let _ = events.send(PoolEvent::Opened(address, Ok(sender)));
            match ping {
                Some(ping) => tokio::select! {
                    _ = connection => {}
                    () = watch_path(ping) => log::warn!("link to {address} went silent"),
                },
                None => drop(connection.await),
            }
            let _ = events.send(PoolEvent::Closed(address));
        }
    }
}

fn start_call(settings: &ClientSettings, sender: SendRequest<Bytes>, call: OpenCall) {
    tokio::spawn(run_call(settings.token.clone(), sender, call));
}

async fn run_call(token: String, sender: SendRequest<Bytes>, call: OpenCall) {
    let OpenCall { address, kind, ends } = call;
    let StreamEnds { outgoing, mut incoming } = ends;
    let opened = async {
        let mut sender = sender.ready().await?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{}", kind.path()))
            .header(VERSION_HEADER, PROTOCOL_VERSION)
            .header(TOKEN_HEADER, token)
            .body(())
            .expect("a request of constant parts is valid");
        sender.send_request(request, false)
    };
    let (response, body) = match opened.await {
        Ok(parts) => parts,
        Err(error) => {
            incoming.push(Err(LinkError::Connect { address, detail: error.to_string() })).await;
            return;
        }
    };
    tokio::spawn(pump_out(outgoing, body));
    match response.await {
        Ok(response) if response.status() == StatusCode::OK => {
            pump_in(response.into_body(), incoming).await;
        }
        Ok(response) => {
            let status = response.status();
            incoming.push(Err(handshake_error(address, status))).await;
        }
        Err(error) => {
            incoming.push(Err(LinkError::Broken { detail: error.to_string() })).await;
        }
    }
}

fn handshake_error(address: SocketAddr, status: StatusCode) -> LinkError {
    let remedy = match status {
        StatusCode::UNAUTHORIZED => "set the same cluster.token on both ends",
        StatusCode::UPGRADE_REQUIRED => "run the same version on both ends",
        _ => "check that the address belongs to a process of this deployment",
    };
    LinkError::Handshake { address, status: status.as_u16(), remedy }
}
