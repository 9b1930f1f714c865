//! Answers without end: a stand-in endpoint of a plain service that sends them, and streams that go on with an
//! event without end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use briartray_http::BodySender;
use briartray_model::names::{DomainName, IncarnationId, ServiceName, ZoneName};
use briartray_platform::stand_in::{ReceivedHead, start_response};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::server::{HEARTBEAT_INTERVAL, send_heartbeat};
use super::{HostModel, IncarnationPlace};

/// Size of one write, in bytes.
const BLOCK_BYTES: usize = 16 * 1024;

/// Bytes after which an answer stops, while its connection stays open.
const MAX_SENT_BYTES: u64 = 256 * 1024 * 1024;

/// Part of an answer that has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    /// The line with its status.
    StatusLine,
    /// One of its headers.
    Header,
    /// Interim responses before its head.
    Interim,
    /// A body that ends with its connection.
    Body,
    /// A body of which a huge length is announced.
    LongBody,
    /// A body in chunks.
    Chunks,
    /// Bytes after a complete answer.
    Rest,
}

/// Answer without end: a beginning, and then one text again and again.
struct EndlessAnswer {
    begin: String,
    repeated: &'static str,
}

impl EndlessPart {
    /// The answer to the request with `head`.
    fn answer(self, head: &ReceivedHead) -> EndlessAnswer {
        let served = start_response(StatusCode::OK, &head.request_id, true, (1, 0, 6));
        let mut text = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in served.headers_ref().into_iter().flatten() {
            text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or_default()));
        }
        let (begin, repeated) = match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "OK"),
            Self::Header => (text + "endless: ", "header"),
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Body => (text + "\r\n", "more"),
            Self::LongBody => (text + "content-length: 90000000000\r\n\r\n", "more"),
            Self::Chunks => (text + "transfer-encoding: chunked\r\n\r\n", "8\r\nmore of.\r\n"),
            Self::Rest => (text + "content-length: 5\r\n\r\nwhole", "rest"),
        };
        EndlessAnswer { begin, repeated }
    }
}

/// State shared between the thread of the endpoint and its [`EndlessHost`] handle.
#[derive(Debug, Default)]
struct EndlessShared {
    /// Ids of the requests that it received.
    received: Mutex<Vec<String>>,
    /// Most bytes that it sent on one connection.
    most_sent: AtomicU64,
}

/// A running stand-in endpoint of a plain service that answers every request without end.
#[derive(Debug)]
pub struct EndlessHost {
    shared: Arc<EndlessShared>,
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl EndlessHost {
    /// Starts an endpoint of `service` on a free loopback port, which sends heartbeats to `control`.
    ///
    /// # Errors
    /// The I/O error if the port cannot be bound or the thread cannot be started.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        control: Vec<SocketAddr>,
        part: EndlessPart,
    ) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let place = IncarnationPlace {
            id: IncarnationId::new(id),
            service: ServiceName::new(service),
            address: listener.local_addr()?.to_string(),
            zone: ZoneName::new(zone),
            domain: DomainName::new(zone),
        };
        let shared = Arc::new(EndlessShared::default());
        let thread_shared = Arc::clone(&shared);
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("stand-in-endless".to_owned()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                tokio::select! {
                    () = accept_all(listener, part, thread_shared) => {}
                    () = beat(HostModel::new(place), &control) => {}
                    _ = stopped => {}
                }
            });
        })?;
        Ok(Self { shared, _stop: stop })
    }

    /// Returns the ids of the requests that it received.
    pub fn received(&self) -> Vec<String> {
        self.shared.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the most bytes that it sent on one connection.
    pub fn most_sent(&self) -> u64 {
        self.shared.most_sent.load(Ordering::SeqCst)
    }
}

async fn beat(mut model: HostModel, control: &[SocketAddr]) {
    loop {
        let heartbeat = model.heartbeat();
        for address in control {
            if send_heartbeat(*address, &heartbeat).await {
                break;
            }
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn accept_all(
    listener: std::net::TcpListener,
    part: EndlessPart,
    shared: Arc<EndlessShared>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        tokio::task::spawn_local(async move {
            if let Err(error) = serve(stream, part, &shared).await {
                log::debug!("a connection of an endless answer ended: {error}");
            }
        });
    }
}

/// Reads a request head and answers it until the peer closes the connection.
async fn serve(
    stream: TcpStream,
    part: EndlessPart,
    shared: &EndlessShared,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let head = ReceivedHead::read(&read_headers(&mut stream).await?);
    shared.received.lock().unwrap_or_else(PoisonError::into_inner).push(head.request_id.clone());
    let answer = part.answer(&head);
    stream.write_all(answer.begin.as_bytes()).await?;
    let block = answer.repeated.repeat(BLOCK_BYTES / answer.repeated.len());
    let mut sent = 0;
    while sent < MAX_SENT_BYTES {
        stream.write_all(block.as_bytes()).await?;
        sent += block.len() as u64;
        shared.most_sent.fetch_max(sent, Ordering::SeqCst);
    }
    let mut rest = [0; 64];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

async fn read_headers(stream: &mut BufReader<TcpStream>) -> std::io::Result<HeaderMap> {
    let (mut headers, mut line) = (HeaderMap::new(), String::new());
    while stream.read_line(&mut line).await? > 0 && !line.trim_end().is_empty() {
        let field = line.trim_end().split_once(": ");
        let field = field.and_then(|(name, value)| {
            Some((HeaderName::try_from(name).ok()?, HeaderValue::try_from(value).ok()?))
        });
        headers.extend(field.map(|(name, value)| (Some(name), value)));
        line.clear();
    }
    Ok(headers)
}

/// Switch that makes the streams of an endpoint go on with an event without end.
#[derive(Debug, Clone, Default)]
pub struct EndlessStreams {
    /// Id of the event that has no end; 0 for none.
    event: Arc<AtomicU64>,
    /// Most bytes of such an event that were sent on one connection.
    most_sent: Arc<AtomicU64>,
}

impl EndlessStreams {
    /// Makes event `id` of later streams endless, except of resumed ones.
    pub fn set_event(&self, id: u64) {
        self.event.store(id, Ordering::SeqCst);
    }

    /// Returns the most bytes of an endless event that were sent on one connection.
    pub fn most_sent(&self) -> u64 {
        self.most_sent.load(Ordering::SeqCst)
    }

    /// Whether event `id` of a stream is the one without end.
    pub(super) fn begins_at(&self, id: u64, resumed: bool) -> bool {
        !resumed && self.event.load(Ordering::SeqCst) == id
    }

    /// Sends an event without end until the stream is closed.
    pub(super) async fn send_event(&self, sender: &BodySender) {
        let block = Bytes::from("data: more\n".repeat(BLOCK_BYTES / 11));
        let mut sent = 0;
        while sent < MAX_SENT_BYTES && sender.send(Ok(block.clone())).await.is_ok() {
            sent += block.len() as u64;
            self.most_sent.fetch_max(sent, Ordering::SeqCst);
        }
        sender.closed().await;
    }
}
