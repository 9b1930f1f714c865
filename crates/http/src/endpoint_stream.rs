//! TCP stream to an endpoint that bounds what is read before a response.

use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read between a request and the end of its response head. They hold
/// interim responses, the head, and the part of the body that is read together with it.
const MAX_BYTES_BEFORE_RESPONSE: usize = 192 * 1024;

/// Number of bytes that may still be read while a response head is awaited; `None` otherwise.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadAllowance(Rc<Cell<Option<usize>>>);

impl HeadAllowance {
    /// Begins to wait for a response head.
    pub(crate) fn begin(&self) {
        self.0.set(Some(MAX_BYTES_BEFORE_RESPONSE));
    }

    /// Ends the wait.
    pub(crate) fn end(&self) {
        self.0.set(None);
    }

    /// Takes `bytes` that were read; returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        let Some(left) = self.0.get() else { return true };
        self.0.set(Some(left.saturating_sub(bytes)));
        bytes <= left
    }
}

/// Stream that fails once the allowance is used up.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl EndpointStream {
    pub(crate) fn new(stream: TcpStream, allowance: HeadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if !self.allowance.take(buffer.filled().len() - filled) {
            let message = "no response head within the allowed number of bytes";
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, message)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndpointStream {
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
