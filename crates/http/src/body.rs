//! Response bodies sent to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Capacity of a streamed body's channel, in parts; a slow reader blocks the sender beyond it.
const STREAM_QUEUE_PARTS: usize = 16;

/// Error that ends a streamed body before the response is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the response stream was cut off before its end"))]
pub struct TruncatedStream;

/// Sending half of a streamed body.
pub type BodySender = mpsc::Sender<Result<Bytes, TruncatedStream>>;

/// Response body: in one piece or streamed.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Streamed parts; an error aborts the connection without the final chunk.
    Parts(mpsc::Receiver<Result<Bytes, TruncatedStream>>),
}

impl ResponseBody {
    /// Creates a body of `bytes`.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a streamed body and its sender.
    pub fn parts() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE_PARTS);
        (sender, Self::Parts(receiver))
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
                parts.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
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
