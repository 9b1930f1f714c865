//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Events that may wait for a caller who reads slowly.
const STREAM_QUEUE: usize = 16;

/// The stream ends before its answer does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off; it must not look complete"))]
pub struct TruncatedStream;

/// Feeds a stream of events.
pub type BodySender = mpsc::Sender<Result<Bytes, TruncatedStream>>;

/// A whole body, or one that comes in parts.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts as they come; ends without its end mark when one of them is an error.
    Parts(mpsc::Receiver<Result<Bytes, TruncatedStream>>),
}

impl ResponseBody {
    /// A body of `bytes`.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body in parts and its sender.
    pub fn parts() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
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
