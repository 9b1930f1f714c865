//! The side that opens streams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use briartray_model::SortedTable;
use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::connection::{PathLiveness, is_answered, watch_path};
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
    /// Connections that were asked for before this moment are not used.
    since: Option<Instant>,
}

/// Tells the connections to one address apart.
type Generation = u64;

#[derive(Debug)]
enum PoolEvent {
    Opened(SocketAddr, Generation, Result<SendRequest<Bytes>, String>),
    Closed(SocketAddr, Generation),
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
        self.enqueue(address, kind, None)
    }

    /// As [`LinkClient::open`], but over a connection that was asked for at `since` or later.
    ///
    /// When a connection has gone silent, streams that still use it find out one by one; the
    /// first one makes a new connection and the others share it.
    pub fn open_since(
        &self,
        address: SocketAddr,
        kind: CallKind,
        since: Instant,
    ) -> (LinkWriter, LinkReader) {
        self.enqueue(address, kind, Some(since))
    }

    fn enqueue(
        &self,
        address: SocketAddr,
        kind: CallKind,
        since: Option<Instant>,
    ) -> (LinkWriter, LinkReader) {
        let (writer, reader, ends) = pair();
        // A closed queue drops the ends, and the reader then reports the end of the stream.
        let _ = self.opens.blocking_send(OpenCall { address, kind, ends, since });
        (writer, reader)
    }
}

/// One peer of the pool.
#[derive(Debug)]
struct PoolEntry {
    generation: Generation,
    asked: Instant,
    state: PoolState,
}

/// Connected, or calls that wait for the connection.
#[derive(Debug)]
enum PoolState {
    Connecting(Vec<OpenCall>),
    Connected(SendRequest<Bytes>),
}

async fn run_pool(settings: ClientSettings, mut queue: mpsc::Receiver<OpenCall>) {
    let (events, mut event_queue) = mpsc::unbounded_channel();
    let mut pool = LinkPool { settings, events, entries: SortedTable::new(), last_generation: 0 };
    loop {
        tokio::select! {
            call = queue.recv() => match call {
                Some(call) => pool.accept(call),
                None => return,
            },
            Some(event) = event_queue.recv() => match event {
                PoolEvent::Closed(address, generation) => pool.close(address, generation),
                PoolEvent::Opened(address, generation, outcome) => {
                    pool.opened(address, generation, outcome);
                }
            },
        }
    }
}

/// Connections by address, at most one in use for each.
struct LinkPool {
    settings: ClientSettings,
    events: mpsc::UnboundedSender<PoolEvent>,
    entries: SortedTable<SocketAddr, PoolEntry>,
    last_generation: Generation,
}

impl LinkPool {
    fn accept(&mut self, call: OpenCall) {
        let usable = |entry: &&mut PoolEntry| call.since.is_none_or(|since| entry.asked >= since);
        match self.entries.get_mut(&call.address).filter(usable) {
            Some(PoolEntry { state: PoolState::Connected(sender), .. }) => {
                start_call(&self.settings, sender.clone(), call);
            }
            Some(PoolEntry { state: PoolState::Connecting(waiting), .. }) => waiting.push(call),
            None => self.connect(call),
        }
    }

    /// Makes a new connection; one that is replaced serves its open streams until they end.
    fn connect(&mut self, call: OpenCall) {
        let address = call.address;
        self.last_generation += 1;
        let generation = self.last_generation;
        let mut waiting = vec![call];
        if let Some(PoolEntry { state: PoolState::Connecting(earlier), .. }) =
            self.entries.remove(&address)
        {
            waiting.extend(earlier);
        }
        let state = PoolState::Connecting(waiting);
        self.entries.insert(address, PoolEntry { generation, asked: Instant::now(), state });
        let timeout = self.settings.connect_timeout;
        tokio::spawn(connect(address, generation, timeout, self.events.clone()));
    }

    fn opened(
        &mut self,
        address: SocketAddr,
        generation: Generation,
        outcome: Result<SendRequest<Bytes>, String>,
    ) {
        let Some(entry) = self.entries.get_mut(&address) else { return };
        if entry.generation != generation {
            return;
        }
        match outcome {
            Ok(sender) => {
                let connected = PoolState::Connected(sender.clone());
                let before = std::mem::replace(&mut entry.state, connected);
                for call in waiting_calls(before) {
                    start_call(&self.settings, sender.clone(), call);
                }
            }
            Err(detail) => {
                let Some(entry) = self.entries.remove(&address) else { return };
                for call in waiting_calls(entry.state) {
                    fail_call(call, LinkError::Connect { address, detail: detail.clone() });
                }
            }
        }
    }

    fn close(&mut self, address: SocketAddr, generation: Generation) {
        if self.entries.get(&address).is_some_and(|entry| entry.generation == generation) {
            self.entries.remove(&address);
        }
    }
}

fn waiting_calls(state: PoolState) -> Vec<OpenCall> {
    match state {
        PoolState::Connecting(waiting) => waiting,
        PoolState::Connected(_) => Vec::new(),
    }
}

fn fail_call(mut call: OpenCall, error: LinkError) {
    tokio::spawn(async move { call.ends.incoming.push(Err(error)).await });
}

/// Connects, reports the outcome, then drives the connection until it fails or goes silent.
async fn connect(
    address: SocketAddr,
    generation: Generation,
    timeout: Duration,
    events: mpsc::UnboundedSender<PoolEvent>,
) {
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
    let failed = |detail: &str| {
        let _ = events.send(PoolEvent::Opened(address, generation, Err(detail.to_owned())));
    };
    let (sender, mut connection) = match tokio::time::timeout(timeout, attempt).await {
        Ok(Ok(parts)) => parts,
        Ok(Err(detail)) => return failed(&detail),
        Err(_) => return failed("no answer in time"),
    };
    let Some(mut ping) = connection.ping_pong() else { return failed("no pings") };
    let mut connection = std::pin::pin!(connection);
    // A stopped process still accepts connections in its kernel. Nothing is sent before the other
    // end has answered once, so what waits for it is certain not to have left.
    let answered = tokio::select! {
        _ = &mut connection => false,
        answered = is_answered(&mut ping, timeout) => answered,
    };
    if !answered {
        return failed("the process does not answer");
    }
    let _ = events.send(PoolEvent::Opened(address, generation, Ok(sender)));
    tokio::select! {
        _ = connection => {}
        () = watch_path(ping, PathLiveness::new()) => log::warn!("link to {address} went silent"),
    }
    let _ = events.send(PoolEvent::Closed(address, generation));
}

fn start_call(settings: &ClientSettings, sender: SendRequest<Bytes>, call: OpenCall) {
    tokio::spawn(run_call(settings.token.clone(), sender, call));
}

async fn run_call(token: String, sender: SendRequest<Bytes>, call: OpenCall) {
    let OpenCall { address, kind, ends, .. } = call;
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
