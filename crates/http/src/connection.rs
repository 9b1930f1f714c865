//! One connection to an endpoint, and one request on it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::response::Parts;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Time to connect: hosts are a few milliseconds apart, and one that is down does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest whole body taken from an endpoint, in bytes.
const MAX_WHOLE_BODY: usize = 8 * 1024 * 1024;

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SendFailure {
    /// There is no connection; nothing was sent.
    #[snafu(display("no connection could be made"))]
    NotConnected,
    /// The connection ended before anything of the request was sent.
    #[snafu(display("the connection was closed before the request left"))]
    NotSent,
    /// The connection ended after the request may have left.
    #[snafu(display("the connection broke before the answer was whole"))]
    Broken,
}

/// An open connection that serves one request at a time.
#[derive(Debug)]
pub struct EndpointConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for EndpointConnection {
    /// Closes the connection: a request that nobody waits for must not keep an engine at work.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl EndpointConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    /// `SendFailure::NotConnected`.
    pub async fn open(address: SocketAddr) -> Result<Self, SendFailure> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let Ok(Ok(stream)) = connect.await else { return Err(SendFailure::NotConnected) };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("a connection to {address} sends in larger pieces: {error}");
        }
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let Ok((sender, connection)) = handshake else { return Err(SendFailure::NotConnected) };
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection to an endpoint ended: {error}");
            }
        });
        Ok(Self { sender, driver: driver.abort_handle() })
    }

    /// Whether a request can be sent on it now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    /// A `SendFailure` that tells whether the request may have left.
    pub async fn send(mut self, request: Request<Bytes>) -> Result<Exchange, SendFailure> {
        if self.sender.ready().await.is_err() {
            return Err(SendFailure::NotSent);
        }
        let request = request.map(Full::new);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Exchange { head, body, connection: self })
            }
            // The request came back untouched.
            Err(error) if error.message().is_some() => Err(SendFailure::NotSent),
            Err(error) => {
                log::debug!("no answer: {}", error.error());
                Err(SendFailure::Broken)
            }
        }
    }
}

/// Whether a connection to `address` is refused: its host answers, and nothing listens there any more.
pub async fn is_refused(address: SocketAddr) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    matches!(connect.await, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// An answer that has begun.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: EndpointConnection,
}

impl Exchange {
    /// The next bytes of the body; `None` at its end.
    ///
    /// # Errors
    /// `SendFailure::Broken` when the body ends before it is whole.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, SendFailure> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => {
                    log::debug!("an answer broke off: {error}");
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

    /// The whole body, and the connection when the answer was complete.
    ///
    /// # Errors
    /// `SendFailure::Broken` when the body ends before it is whole, or is too large.
    pub async fn whole(mut self) -> Result<(Parts, Bytes, EndpointConnection), SendFailure> {
        let mut whole = Vec::new();
        while let Some(bytes) = self.next_bytes().await? {
            whole.extend_from_slice(&bytes);
            if whole.len() > MAX_WHOLE_BODY {
                return Err(SendFailure::Broken);
            }
        }
        Ok((self.head, Bytes::from(whole), self.connection))
    }

    /// The connection, once the body has been read to its end.
    pub fn into_connection(self) -> EndpointConnection {
        self.connection
    }
}
