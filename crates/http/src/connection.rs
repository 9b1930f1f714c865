//! Client connection to an endpoint, with one request at a time.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::body_buffer::{BodyBuffer, MAX_BODY_PIECES};
use crate::endpoint_stream::{EndpointStream, HeadAllowance, SendingHalf};

/// Connect timeout: round trips between hosts take a few milliseconds, and a host that is down
/// does not reply at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest response head, in bytes. The read buffer of a connection has the same bound.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Largest response body that is buffered, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Reason why a request got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SendFailure {
    /// No connection was established; nothing was sent.
    #[snafu(display("cannot connect to the endpoint"))]
    NotConnected,
    /// The connection closed before any byte of the request was sent.
    #[snafu(display("the connection was closed before the request was sent"))]
    NotSent,
    /// The connection failed after the request may have been sent, so it may have run.
    #[snafu(display("the connection failed before the response was complete"))]
    Broken,
}

/// Open HTTP/1.1 connection to an endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    allowance: HeadAllowance,
    sending: SendingHalf,
}

impl Drop for EndpointConnection {
    /// Closes the connection, so that the engine stops work on a request that was abandoned.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl EndpointConnection {
    /// Connects to `address` within 250 ms.
    ///
    /// # Errors
    /// `SendFailure::NotConnected` when the connection or the HTTP handshake fails.
    pub async fn open(address: SocketAddr) -> Result<Self, SendFailure> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let Ok(Ok(stream)) = connect.await else { return Err(SendFailure::NotConnected) };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY on the connection to {address}: {error}");
        }
        let allowance = HeadAllowance::default();
        let stream = EndpointStream::new(stream, allowance.clone());
        let sending = stream.sending();
        let stream = TokioIo::new(stream);
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
        let Ok((sender, connection)) = handshake else { return Err(SendFailure::NotConnected) };
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to an endpoint failed: {error}");
            }
        });
        Ok(Self { sender, driver: driver.abort_handle(), allowance, sending })
    }

    /// The sending half of the connection.
    pub fn sending_half(&self) -> SendingHalf {
        self.sending.clone()
    }

    /// Whether a request can be sent on the connection now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends `request` and waits for the response head.
    ///
    /// # Errors
    /// `SendFailure::NotSent` when no byte was sent, otherwise `SendFailure::Broken`.
    pub async fn send(mut self, request: Request<Bytes>) -> Result<Exchange, SendFailure> {
        if self.sender.ready().await.is_err() {
            return Err(SendFailure::NotSent);
        }
        let request = request.map(Full::new);
        self.allowance.begin();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.allowance.end();
                let (head, body) = response.into_parts();
                let framed = head.headers.contains_key(CONTENT_LENGTH)
                    || head.headers.contains_key(TRANSFER_ENCODING)
                    || body.is_end_stream();
                let unread = UnreadBody { body, connection: self };
                Ok(Exchange { head, framed, body: WatchedBody::new(unread) })
            }
            // hyper returns the request only when none of it was sent.
            Err(error) if error.message().is_some() => Err(SendFailure::NotSent),
            Err(error) => {
                log::debug!("no response to the request: {}", error.error());
                Err(SendFailure::Broken)
            }
        }
    }
}

/// Whether `address` refuses connections: the host is up, but no process listens on the port.
pub async fn is_refused(address: SocketAddr) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    matches!(connect.await, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Response whose head has been received.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: Parts,
    framed: bool,
    body: WatchedBody,
}

impl Exchange {
    /// Whether the head announces where the body ends. The end of any other body is the end of its
    /// connection, which a crash of the endpoint looks like as well.
    pub fn is_framed(&self) -> bool {
        self.framed
    }

    /// Passes the rest of the response to `watcher` if it is given up before its end.
    pub fn watch(&mut self, watcher: impl FnOnce(UnreadBody) + 'static) {
        self.body.watcher = Some(BodyWatcher(Box::new(watcher)));
    }

    /// Next bytes of the body; `None` at its end.
    ///
    /// # Errors
    /// `SendFailure::Broken` when the body ends early.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, SendFailure> {
        let Some(unread) = &mut self.body.unread else { return Ok(None) };
        let next = unread.next_bytes().await;
        if !matches!(next, Ok(Some(_))) {
            self.body.watcher = None;
        }
        next
    }

    /// Reads the body to its end; returns the head, the body and the connection for reuse.
    ///
    /// # Errors
    /// `SendFailure::Broken` when the body ends early, is larger than 8 MiB, has more than 65,536
    /// pieces, or is large while the process has no room for more of such bodies.
    pub async fn whole(self) -> Result<(Parts, Bytes, EndpointConnection), SendFailure> {
        self.whole_within(MAX_BODY_BYTES).await
    }

    /// As [`Self::whole`] for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// `SendFailure::Broken` as [`Self::whole`].
    pub async fn whole_within(
        mut self,
        limit: usize,
    ) -> Result<(Parts, Bytes, EndpointConnection), SendFailure> {
        let announced = self.body.unread.as_ref().map_or(0, UnreadBody::announced_bytes);
        if announced > limit as u64 {
            return Err(SendFailure::Broken);
        }
        let (mut buffer, mut pieces) = (BodyBuffer::new(limit), 0);
        while let Some(bytes) = self.next_bytes().await? {
            pieces += 1;
            if pieces > MAX_BODY_PIECES || !buffer.push(&bytes) {
                return Err(SendFailure::Broken);
            }
        }
        let connection = self.body.into_connection().ok_or(SendFailure::Broken)?;
        Ok((self.head, buffer.into_bytes(), connection))
    }

    /// Returns the connection for reuse; valid only after the body was read to its end.
    pub fn into_connection(self) -> Option<EndpointConnection> {
        self.body.into_connection()
    }

    /// The rest of the response.
    pub fn into_unread(mut self) -> Option<UnreadBody> {
        self.body.unread.take()
    }
}

/// The part of a response that has not been read, with its connection.
#[derive(Debug)]
pub struct UnreadBody {
    body: Incoming,
    connection: EndpointConnection,
}

impl UnreadBody {
    /// Closes the sending half of its connection.
    pub fn stop_sending(&self) {
        self.connection.sending.close();
    }

    /// Reads and drops up to `limit` bytes; returns whether the response has ended by then.
    ///
    /// # Errors
    /// `SendFailure::Broken` when the response ends early.
    pub async fn discard(mut self, limit: usize) -> Result<bool, SendFailure> {
        let mut left = limit;
        while let Some(bytes) = self.next_bytes().await? {
            if bytes.len() > left {
                return Ok(false);
            }
            left -= bytes.len();
        }
        Ok(true)
    }

    /// Least number of bytes that are left.
    fn announced_bytes(&self) -> u64 {
        self.body.size_hint().lower()
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, SendFailure> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => {
                    log::debug!("response body ended early: {error}");
                    return Err(SendFailure::Broken);
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }
}

/// Gets the rest of a response that is given up.
struct BodyWatcher(Box<dyn FnOnce(UnreadBody)>);

impl std::fmt::Debug for BodyWatcher {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("BodyWatcher")
    }
}

/// The rest of a response, which is passed to a watcher if it is dropped before its end.
#[derive(Debug)]
struct WatchedBody {
    unread: Option<UnreadBody>,
    watcher: Option<BodyWatcher>,
}

impl WatchedBody {
    fn new(unread: UnreadBody) -> Self {
        Self { unread: Some(unread), watcher: None }
    }

    fn into_connection(mut self) -> Option<EndpointConnection> {
        self.unread.take().map(|unread| unread.connection)
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        if let (Some(unread), Some(BodyWatcher(watcher))) =
            (self.unread.take(), self.watcher.take())
            && !unread.body.is_end_stream()
        {
            watcher(unread);
        }
    }
}
