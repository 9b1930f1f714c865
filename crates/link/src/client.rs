//! The client side of links, which opens streams.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use briartray_model::SortedTable;
use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::connection::{PathLiveness, monitor_path, ping_answered};
use crate::stream::{LinkReader, LinkWriter, StreamEnds, receive_frames, send_frames, stream_pair};
use crate::{CallKind, LinkError, PROTOCOL_VERSION, TOKEN_HEADER, VERSION_HEADER};

/// Number of calls that may wait for the network thread to open them.
const OPEN_QUEUE_CALLS: usize = 1024;

/// h2 flow-control window of one stream.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// h2 flow-control window of one connection.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Settings of a link client.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Shared secret of the deployment.
    pub token: String,
    /// Time limit for connecting and the h2 handshake, and again for the first ping.
    pub connect_timeout: Duration,
}

/// Opens streams to other processes, over one shared connection per address.
#[derive(Debug, Clone)]
pub struct LinkClient {
    calls: mpsc::Sender<OpenCall>,
}

#[derive(Debug)]
struct OpenCall {
    address: SocketAddr,
    kind: CallKind,
    ends: StreamEnds,
    /// Connections that were requested before this time are not used.
    requested_since: Option<Instant>,
}

/// Distinguishes successive connections to one address.
type Generation = u64;

/// Why no connection could be made.
#[derive(Debug, Clone)]
struct ConnectFailure {
    detail: String,
    /// Whether the other end did not answer.
    silent: bool,
}

#[derive(Debug)]
enum PoolEvent {
    Opened(SocketAddr, Generation, Result<SendRequest<Bytes>, ConnectFailure>),
    Closed(SocketAddr, Generation),
}

impl LinkClient {
    /// Starts a client with its network thread, which is called `name`.
    ///
    /// # Errors
    /// `LinkError::Thread` when the thread or its runtime cannot be created.
    pub fn start(name: &str, settings: ClientSettings) -> Result<Self, LinkError> {
        let (calls, queue) = mpsc::channel(OPEN_QUEUE_CALLS);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| LinkError::Thread { source })?;
        std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || runtime.block_on(run_pool(settings, queue)))
            .map_err(|source| LinkError::Thread { source })?;
        Ok(Self { calls })
    }

    /// Opens a stream of `kind` to `address`. The reader returns connection errors.
    pub fn open(&self, address: SocketAddr, kind: CallKind) -> (LinkWriter, LinkReader) {
        self.enqueue(address, kind, None)
    }

    /// As [`LinkClient::open`], but over a connection that was requested at `requested_since` or
    /// later.
    ///
    /// When a connection stops delivering data, its streams notice that one by one. The first one
    /// causes a new connection, which the others then share.
    pub fn open_since(
        &self,
        address: SocketAddr,
        kind: CallKind,
        requested_since: Instant,
    ) -> (LinkWriter, LinkReader) {
        self.enqueue(address, kind, Some(requested_since))
    }

    fn enqueue(
        &self,
        address: SocketAddr,
        kind: CallKind,
        requested_since: Option<Instant>,
    ) -> (LinkWriter, LinkReader) {
        let (writer, reader, ends) = stream_pair();
        // When the queue is closed, the ends are dropped and the reader returns `LinkError::Ended`.
        let _ = self.calls.blocking_send(OpenCall { address, kind, ends, requested_since });
        (writer, reader)
    }
}

/// The current connection to one address.
#[derive(Debug)]
struct PoolEntry {
    generation: Generation,
    requested_at: Instant,
    state: PoolState,
}

/// State of a connection, with the calls that wait for it.
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

/// Connections by address; new streams use at most one per address.
struct LinkPool {
    settings: ClientSettings,
    events: mpsc::UnboundedSender<PoolEvent>,
    entries: SortedTable<SocketAddr, PoolEntry>,
    last_generation: Generation,
}

impl LinkPool {
    fn accept(&mut self, call: OpenCall) {
        let usable = |entry: &&mut PoolEntry| {
            call.requested_since.is_none_or(|requested_since| entry.requested_at >= requested_since)
        };
        match self.entries.get_mut(&call.address).filter(usable) {
            Some(PoolEntry { state: PoolState::Connected(sender), .. }) => {
                start_call(&self.settings, sender.clone(), call);
            }
            Some(PoolEntry { state: PoolState::Connecting(waiting), .. }) => waiting.push(call),
            None => self.connect(call),
        }
    }

    /// Starts a new connection. A connection that it replaces keeps serving its open streams.
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
        self.entries.insert(address, PoolEntry { generation, requested_at: Instant::now(), state });
        let timeout = self.settings.connect_timeout;
        tokio::spawn(connect(address, generation, timeout, self.events.clone()));
    }

    fn opened(
        &mut self,
        address: SocketAddr,
        generation: Generation,
        outcome: Result<SendRequest<Bytes>, ConnectFailure>,
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
            Err(failure) => {
                let Some(entry) = self.entries.remove(&address) else { return };
                for call in waiting_calls(entry.state) {
                    let ConnectFailure { detail, silent } = failure.clone();
                    fail_call(call, LinkError::Connect { address, detail, silent });
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

/// Connects, reports the outcome, then runs the connection until it fails or a ping times out.
async fn connect(
    address: SocketAddr,
    generation: Generation,
    timeout: Duration,
    events: mpsc::UnboundedSender<PoolEvent>,
) {
    let attempt = async {
        let socket = TcpStream::connect(address).await.map_err(|error| connect_failure(&error))?;
        socket.set_nodelay(true).map_err(|error| connect_failure(&error))?;
        h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake::<_, Bytes>(socket)
            .await
            .map_err(|error| ConnectFailure { detail: error.to_string(), silent: false })
    };
    let failed = |failure: ConnectFailure| {
        let _ = events.send(PoolEvent::Opened(address, generation, Err(failure)));
    };
    let silence = |detail: &str| ConnectFailure { detail: detail.to_owned(), silent: true };
    let (sender, mut connection) = match tokio::time::timeout(timeout, attempt).await {
        Ok(Ok(parts)) => parts,
        Ok(Err(failure)) => return failed(failure),
        Err(_) => return failed(silence("connection attempt timed out")),
    };
    let Some(mut ping) = connection.ping_pong() else {
        return failed(ConnectFailure { detail: "pings unavailable".to_owned(), silent: false });
    };
    let mut connection = std::pin::pin!(connection);
    // The kernel accepts connections even for a suspended process. Nothing is sent before the first
    // ping is answered, so if that fails, the waiting calls have certainly not been sent.
    let failure = tokio::select! {
        _ = &mut connection => Some(ConnectFailure {
            detail: "the process closed the connection".to_owned(),
            silent: false,
        }),
        answered = ping_answered(&mut ping, timeout) =>
            (!answered).then(|| silence("the process does not answer pings")),
    };
    if let Some(failure) = failure {
        return failed(failure);
    }
    let _ = events.send(PoolEvent::Opened(address, generation, Ok(sender)));
    tokio::select! {
        _ = connection => {}
        () = monitor_path(ping, PathLiveness::new()) =>
            log::warn!("no ping answer on the link to {address}; closing it"),
    }
    let _ = events.send(PoolEvent::Closed(address, generation));
}

fn connect_failure(error: &std::io::Error) -> ConnectFailure {
    let silent = matches!(
        error.kind(),
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    );
    ConnectFailure { detail: error.to_string(), silent }
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
            incoming
                .push(Err(LinkError::Connect { address, detail: error.to_string(), silent: false }))
                .await;
            return;
        }
    };
    tokio::spawn(send_frames(outgoing, body));
    match response.await {
        Ok(response) if response.status() == StatusCode::OK => {
            receive_frames(response.into_body(), incoming).await;
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
