//! TCP stream to an endpoint that bounds what is read before a response, and whose sending half can be
//! closed alone.

use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

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

/// The sending half of a connection to an endpoint.
#[derive(Debug, Clone)]
pub struct SendingHalf(Rc<RefCell<Option<OwnedWriteHalf>>>);

impl SendingHalf {
    /// Ends what is sent, as a close of the connection does: most endpoints then stop the request. What
    /// they still send, and how they end the connection, can be read.
    pub fn close(&self) {
        // Dropping the half shuts it down.
        drop(self.0.borrow_mut().take());
    }

    /// Polls the half with `poll`; it fails once it is closed.
    fn poll<T>(
        &self,
        poll: impl FnOnce(Pin<&mut OwnedWriteHalf>) -> Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        match self.0.borrow_mut().as_mut() {
            Some(half) => poll(Pin::new(half)),
            None => Poll::Ready(Err(ErrorKind::BrokenPipe.into())),
        }
    }
}

/// Stream that fails once the allowance is used up.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    receiving: OwnedReadHalf,
    sending: SendingHalf,
    allowance: HeadAllowance,
}

impl EndpointStream {
    pub(crate) fn new(stream: TcpStream, allowance: HeadAllowance) -> Self {
        let (receiving, sending) = stream.into_split();
        let sending = SendingHalf(Rc::new(RefCell::new(Some(sending))));
        Self { receiving, sending, allowance }
    }

    /// A handle to the sending half. It does not keep the connection open.
    pub(crate) fn sending(&self) -> SendingHalf {
        self.sending.clone()
    }
}

impl Drop for EndpointStream {
    fn drop(&mut self) {
        self.sending.close();
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.receiving).poll_read(context, buffer))?;
        if !self.allowance.take(buffer.filled().len() - filled) {
            let message = "no response head within the allowed number of bytes";
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, message)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.sending.poll(|half| half.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.sending.poll(|half| half.poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.sending.poll(|half| half.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.sending.poll(|half| half.poll_shutdown(context))
    }
}
