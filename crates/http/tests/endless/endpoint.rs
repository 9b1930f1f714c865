//! Fixture: an endpoint on a socket that writes bytes without end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_http::{EndpointConnection, Exchange, SendFailure};
use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Size of one write, in bytes.
const BLOCK_BYTES: usize = 4 * 1024;

/// Pause after each write of a stepwise endpoint, in which the peer reads.
pub const STEP_PAUSE: Duration = Duration::from_millis(1);

/// Bytes after which an endpoint stops, so that a test that fails also ends.
const MAX_WRITTEN_BYTES: usize = 64 * 1024 * 1024;

/// Maximum time that a test waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// What an endpoint sends after a request: a beginning, and then one text again and again.
#[derive(Debug, Clone, Copy)]
pub struct EndlessAnswer {
    pub begin: &'static str,
    pub repeated: &'static str,
}

/// How an endpoint writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writing {
    /// With a pause after each block.
    Stepwise,
    /// As fast as the peer reads.
    Fast,
    /// As fast as the peer reads, up to a number of bytes on each connection, which then stays open.
    UpTo(usize),
}

/// A running endpoint.
pub struct EndlessEndpoint {
    pub address: SocketAddr,
    written: Rc<Cell<usize>>,
    closed: Rc<Notify>,
}

impl EndlessAnswer {
    pub async fn serve(self, writing: Writing) -> EndlessEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let (written, closed) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
        let endpoint =
            EndlessEndpoint { address, written: Rc::clone(&written), closed: Rc::clone(&closed) };
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (written, closed) = (Rc::clone(&written), Rc::clone(&closed));
                tokio::task::spawn_local(async move {
                    self.write(stream, writing, &written).await;
                    closed.notify_one();
                });
            }
        });
        endpoint
    }

    /// Reads a request head and writes until the peer closes the connection.
    async fn write(self, mut stream: TcpStream, writing: Writing, written: &Cell<usize>) {
        read_head(&mut stream).await;
        if stream.write_all(self.begin.as_bytes()).await.is_err() {
            return;
        }
        let limit = match writing {
            Writing::UpTo(limit) => limit,
            _ if self.repeated.is_empty() => 0,
            _ => MAX_WRITTEN_BYTES,
        };
        let block = self.repeated.repeat(BLOCK_BYTES.div_ceil(self.repeated.len().max(1)));
        let mut left = limit;
        while left > 0 {
            let bytes = &block.as_bytes()[..block.len().min(left)];
            if stream.write_all(bytes).await.is_err() {
                return;
            }
            left -= bytes.len();
            written.set(written.get() + bytes.len());
            if writing == Writing::Stepwise {
                tokio::time::sleep(STEP_PAUSE).await;
            }
        }
        // An endpoint that has nothing left keeps its connection open.
        let mut rest = [0; 64];
        while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
    }
}

impl EndlessEndpoint {
    pub async fn send_request(&self) -> Result<Exchange, SendFailure> {
        let connection = EndpointConnection::open(self.address).await?;
        let request = Request::post("/draft/1").header("host", "desk").body(Bytes::new());
        connection.send(request.expect("the request is valid")).await
    }

    /// Bytes that were written on all connections after their beginning.
    pub fn written(&self) -> usize {
        self.written.get()
    }

    /// Waits until a connection has ended.
    pub async fn wait_until_closed(&self) {
        self.closed.notified().await;
    }
}

/// Waits for `future`, and fails when it does not end, so that the test does.
pub async fn ended<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT_TIMEOUT, future).await.expect("it ends")
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a complete request head arrives"));
    }
}
