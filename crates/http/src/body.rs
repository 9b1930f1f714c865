//! Response bodies sent to callers, and the rest of request bodies.

use std::cell::Cell;
use std::ops::Deref;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Capacity of a streamed body's channel, in parts; a slow reader blocks the sender beyond it.
const STREAM_QUEUE_PARTS: usize = 16;

/// Maximum size of a request body whose rest is discarded, in bytes, if its length is announced.
const MAX_DISCARDED_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum size of the rest of other request bodies, which may have no end, in bytes.
const MAX_DISCARDED_CHUNKS_BYTES: u64 = 256 * 1024;

/// Maximum time in which the rest of a request body is discarded.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);

/// Error that ends a streamed body before the response is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the response stream was cut off before its end"))]
pub struct TruncatedStream;

/// Sending half of a streamed body. Dropping it completes the body, unless its task panics.
#[derive(Debug)]
pub struct BodySender {
    parts: mpsc::Sender<Result<Bytes, TruncatedStream>>,
    panicked: Rc<Cell<bool>>,
}

impl Deref for BodySender {
    type Target = mpsc::Sender<Result<Bytes, TruncatedStream>>;

    fn deref(&self) -> &Self::Target {
        &self.parts
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.panicked.set(true);
        }
    }
}

/// Receiving half of a streamed body.
#[derive(Debug)]
pub struct BodyParts {
    parts: mpsc::Receiver<Result<Bytes, TruncatedStream>>,
    panicked: Rc<Cell<bool>>,
    /// Error to return with the next poll. The server drops what it has not written when a body
    /// fails, so it gets the time to write first.
    cut: Option<TruncatedStream>,
}

impl BodyParts {
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedStream>>> {
        if let Some(error) = self.cut.take() {
            return Poll::Ready(Some(Err(error)));
        }
        let part = match ready!(self.parts.poll_recv(context)) {
            None if self.panicked.take() => Some(Err(TruncatedStream)),
            part => part,
        };
        if let Some(Err(error)) = part {
            self.cut = Some(error);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(part)
    }
}

/// Response body: in one piece or streamed.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Streamed parts; an error aborts the connection without the final chunk.
    Parts(BodyParts),
}

impl ResponseBody {
    /// Creates a body of `bytes`.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a streamed body and its sender.
    pub fn parts() -> (BodySender, Self) {
        let (parts, receiver) = mpsc::channel(STREAM_QUEUE_PARTS);
        let panicked = Rc::new(Cell::new(false));
        let sender = BodySender { parts, panicked: Rc::clone(&panicked) };
        (sender, Self::Parts(BodyParts { parts: receiver, panicked, cut: None }))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(parts) => {
                parts.poll_part(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

/// Reads and discards the rest of a request body, within limits. A connection that is closed with
/// unread bytes is reset, and the caller may lose the response.
pub async fn discard_body(body: &mut Incoming) {
    let announced = body.size_hint().exact();
    let limit = if announced.is_some_and(|length| length <= MAX_DISCARDED_BYTES) {
        MAX_DISCARDED_BYTES
    } else {
        MAX_DISCARDED_CHUNKS_BYTES
    };
    let discard = async {
        let mut size = 0;
        while size < limit {
            match body.frame().await {
                Some(Ok(frame)) => size += frame.data_ref().map_or(0, Bytes::len) as u64,
                Some(Err(_)) | None => return,
            }
        }
    };
    let _ = tokio::time::timeout(MAX_DISCARD_TIME, discard).await;
}
