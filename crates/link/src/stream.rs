//! The blocking reader and writer of one stream, and the tasks that transfer its frames.

use std::sync::Arc;
use std::time::Duration;

use briartray_model::codec;
use bytes::Bytes;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Notify, mpsc};

use crate::LinkError;
use crate::frame::{FrameBuffer, encode_frame};

/// Queue length in each direction of one stream.
pub(crate) const STREAM_QUEUE_MESSAGES: usize = 16;

/// Sends messages on one stream.
#[derive(Debug, Clone)]
pub struct LinkWriter {
    frames: mpsc::Sender<Bytes>,
}

/// An encoded message, which can be sent on many streams without encoding it again.
#[derive(Debug, Clone)]
pub struct EncodedMessage {
    frame: Bytes,
}

impl EncodedMessage {
    /// Encodes `message`.
    ///
    /// # Errors
    /// `LinkError::Codec` when the message cannot be encoded, `LinkError::TooLarge` when it is over
    /// the frame limit.
    pub fn of<T: Serialize>(message: &T) -> Result<Self, LinkError> {
        Ok(Self { frame: encode_frame(&codec::encode(message)?)? })
    }
}

/// Receives messages from one stream.
#[derive(Debug)]
pub struct LinkReader {
    messages: Receiver<Result<Bytes, LinkError>>,
    space: Arc<Notify>,
    // Dropped with the reader, which informs the stream's task that nobody receives any more.
    _reader_alive: mpsc::Sender<()>,
}

impl LinkWriter {
    /// Sends `message`; blocks while the stream's queue is full.
    ///
    /// # Errors
    /// `LinkError::Broken` when the stream is closed, `LinkError::Codec` or `LinkError::TooLarge`
    /// when the message cannot be encoded as a frame.
    pub fn send<T: Serialize>(&self, message: &T) -> Result<(), LinkError> {
        let frame = encode_frame(&codec::encode(message)?)?;
        self.frames
            .blocking_send(frame)
            .map_err(|_| LinkError::Broken { detail: "the stream is closed".to_owned() })
    }

    /// Sends `message` unless the stream's queue is full; returns whether it was queued.
    ///
    /// # Errors
    /// As [`LinkWriter::send`].
    pub fn try_send<T: Serialize>(&self, message: &T) -> Result<bool, LinkError> {
        self.try_send_encoded(&EncodedMessage::of(message)?)
    }

    /// As [`LinkWriter::try_send`], for a message that is sent on many streams.
    ///
    /// # Errors
    /// `LinkError::Broken` when the stream is closed.
    pub fn try_send_encoded(&self, message: &EncodedMessage) -> Result<bool, LinkError> {
        match self.frames.try_send(message.frame.clone()) {
            Ok(()) => Ok(true),
            Err(mpsc::error::TrySendError::Full(_)) => Ok(false),
            Err(mpsc::error::TrySendError::Closed(_)) => {
                Err(LinkError::Broken { detail: "the stream is closed".to_owned() })
            }
        }
    }

    /// Whether `other` writes to the same stream.
    pub fn is_same_stream(&self, other: &Self) -> bool {
        self.frames.same_channel(&other.frames)
    }

    /// Whether the stream is closed.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

impl LinkReader {
    /// The next message; blocks for up to `timeout`.
    ///
    /// # Errors
    /// `LinkError::TimedOut` when no message arrived, `LinkError::Ended` when the stream has ended,
    /// `LinkError::Codec` when the message does not decode, otherwise why the stream failed.
    pub fn receive<T: DeserializeOwned>(&self, timeout: Duration) -> Result<T, LinkError> {
        match self.messages.recv_timeout(timeout) {
            Ok(message) => {
                self.space.notify_one();
                Ok(codec::decode(&message?)?)
            }
            Err(RecvTimeoutError::Timeout) => Err(LinkError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => Err(LinkError::Ended),
        }
    }
}

/// The network thread's side of one stream.
#[derive(Debug)]
pub(crate) struct StreamEnds {
    pub(crate) outgoing: mpsc::Receiver<Bytes>,
    pub(crate) incoming: IncomingQueue,
}

/// Queue of received messages for the reader.
#[derive(Debug)]
pub(crate) struct IncomingQueue {
    messages: Sender<Result<Bytes, LinkError>>,
    space: Arc<Notify>,
    reader_alive: mpsc::Receiver<()>,
}

/// Creates the blocking halves and the network thread's side of one stream.
pub(crate) fn stream_pair() -> (LinkWriter, LinkReader, StreamEnds) {
    let (frames, outgoing) = mpsc::channel(STREAM_QUEUE_MESSAGES);
    let (messages, receiver) = crossbeam::channel::bounded(STREAM_QUEUE_MESSAGES);
    let (reader_guard, reader_alive) = mpsc::channel(1);
    let space = Arc::new(Notify::new());
    let reader =
        LinkReader { messages: receiver, space: Arc::clone(&space), _reader_alive: reader_guard };
    let incoming = IncomingQueue { messages, space, reader_alive };
    (LinkWriter { frames }, reader, StreamEnds { outgoing, incoming })
}

impl IncomingQueue {
    /// Queues `message` for the reader, waiting for space; `false` when the reader was dropped.
    pub(crate) async fn push(&mut self, message: Result<Bytes, LinkError>) -> bool {
        let mut message = message;
        loop {
            message = match self.messages.try_send(message) {
                Ok(()) => return true,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(message)) => message,
            };
            tokio::select! {
                () = self.space.notified() => {}
                _ = self.reader_alive.recv() => return false,
            }
        }
    }

    /// Completes when the reader was dropped.
    async fn reader_dropped(&mut self) {
        self.reader_alive.recv().await;
    }
}

/// Sends queued frames on the h2 stream until every writer was dropped, then ends the stream.
pub(crate) async fn send_frames(
    mut outgoing: mpsc::Receiver<Bytes>,
    mut stream: SendStream<Bytes>,
) {
    while let Some(mut frame) = outgoing.recv().await {
        while !frame.is_empty() {
            stream.reserve_capacity(frame.len());
            let granted = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
            let Some(Ok(capacity)) = granted else { return };
            let piece = frame.split_to(capacity.min(frame.len()));
            if stream.send_data(piece, false).is_err() {
                return;
            }
        }
    }
    // Every writer was dropped, so this side sends nothing more.
    let _ = stream.send_data(Bytes::new(), true);
}

/// Queues received messages for the reader until the stream ends or the reader was dropped.
pub(crate) async fn receive_frames(mut stream: RecvStream, mut incoming: IncomingQueue) {
    let mut buffer = FrameBuffer::default();
    loop {
        let data = tokio::select! {
            data = stream.data() => data,
            () = incoming.reader_dropped() => return,
        };
        match data {
            Some(Ok(data)) => {
                let _ = stream.flow_control().release_capacity(data.len());
                buffer.extend(&data);
            }
            // The other end reset this stream only; the connection still works.
            Some(Err(error)) if error.is_reset() && error.is_remote() => return,
            Some(Err(error)) => {
                incoming.push(Err(LinkError::Broken { detail: error.to_string() })).await;
                return;
            }
            None => {
                if buffer.is_partial() {
                    let detail = "the stream ended inside a message".to_owned();
                    incoming.push(Err(LinkError::Broken { detail })).await;
                }
                return;
            }
        }
        loop {
            match buffer.next_message() {
                Ok(Some(message)) => {
                    if !incoming.push(Ok(message)).await {
                        return;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    incoming.push(Err(error)).await;
                    return;
                }
            }
        }
    }
}
