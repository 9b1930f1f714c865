//! What a server knows about an open connection: bytes of requests and requests in progress.

use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::Version;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time for reading bytes of a kept connection that had arrived when the server stopped.
const UNREAD_BYTES_WAIT: Duration = Duration::from_millis(20);

/// Time within which a new connection's first request, or the rest of a request head that has
/// arrived in part, must arrive after the server has stopped.
const REQUEST_HEAD_WAIT: Duration = Duration::from_secs(1);

/// Requests of a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionActivity {
    /// Whether bytes have arrived since the last response.
    has_bytes: Cell<bool>,
    running: Cell<bool>,
    /// Whether a request was ever read.
    used: Cell<bool>,
    request_begun: Notify,
    /// Whether a response may have neither a length nor chunks, and end with the connection.
    is_unframed: Cell<bool>,
    is_complete: Cell<bool>,
}

impl ConnectionActivity {
    /// Records that a request head was read, until the guard is dropped.
    pub(crate) fn begin_request(self: &Rc<Self>, version: Version) -> RequestGuard {
        self.is_unframed.set(version < Version::HTTP_11);
        self.running.set(true);
        self.used.set(true);
        self.request_begun.notify_waiters();
        RequestGuard(Rc::clone(self))
    }

    /// Records that the connection has ended after complete responses.
    pub(crate) fn set_complete(&self) {
        self.is_complete.set(true);
    }

    /// Whether a part of a request head has arrived.
    pub(crate) fn has_partial_request(&self) -> bool {
        self.has_bytes.get() && !self.running.get()
    }
}

impl ConnectionActivity {
    /// Waits for a request that is on its way, when the server stops.
    pub(crate) async fn wait_for_arrival(&self) {
        if self.running.get() {
            return;
        }
        let is_new = !self.used.get();
        if !is_new && self.begins_within(UNREAD_BYTES_WAIT).await {
            return;
        }
        if is_new || self.has_partial_request() {
            self.begins_within(REQUEST_HEAD_WAIT).await;
        }
    }

    async fn begins_within(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.request_begun.notified()).await.is_ok()
    }
}

/// A request in progress.
pub(crate) struct RequestGuard(Rc<ConnectionActivity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.set(false);
        self.0.has_bytes.set(false);
    }
}

/// Connection that records when bytes arrive.
#[derive(Debug)]
pub(crate) struct ObservedStream {
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
}

impl ObservedStream {
    pub(crate) fn new(stream: TcpStream, activity: Rc<ConnectionActivity>) -> Self {
        Self { stream, activity }
    }
}

impl Drop for ObservedStream {
    /// Resets the connection if an orderly close would make a response look complete that is not.
    fn drop(&mut self) {
        if self.activity.is_unframed.get() && !self.activity.is_complete.get() {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.has_bytes.set(true);
        }
        poll
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
