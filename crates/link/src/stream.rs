//! The two blocking halves of one stream, and the tasks that move its frames.

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
use crate::frame::{FrameBuffer, wrap};

/// Messages that may wait in each direction of one stream.
pub(crate) const STREAM_QUEUE: usize = 16;

/// Sends messages on one stream.
#[derive(Debug, Clone)]
pub struct LinkWriter {
    frames: mpsc::Sender<Bytes>,
}

/// A message as it goes onto streams: encoded once, however many readers there are.
#[derive(Debug, Clone)]
pub struct EncodedMessage {
    frame: Bytes,
}

impl EncodedMessage {
    /// Encodes `message`.
    ///
    /// # Errors
    /// A codec error when the message does not encode, or is too large.
    pub fn of<T: Serialize>(message: &T) -> Result<Self, LinkError> {
        Ok(Self { frame: wrap(&codec::encode(message)?)? })
    }
}

/// Receives messages from one stream.
#[derive(Debug)]
pub struct LinkReader {
    messages: Receiver<Result<Bytes, LinkError>>,
    room: Arc<Notify>,
    // Dropping the reader tells the stream's task that nobody listens any more.
    _listening: mpsc::Sender<()>,
}

impl LinkWriter {
    /// Sends `message`; waits while the other end is behind.
    ///
    /// # Errors
    /// `LinkError::Broken` when the stream is gone, a codec error when the message does not
    /// encode.
    pub fn send<T: Serialize>(&self, message: &T) -> Result<(), LinkError> {
        let frame = wrap(&codec::encode(message)?)?;
        self.frames
            .blocking_send(frame)
            .map_err(|_| LinkError::Broken { detail: "the stream is closed".to_owned() })
    }

    /// Sends `message` unless the other end is behind; tells whether it was taken.
    ///
    /// # Errors
    /// As [`LinkWriter::send`].
    pub fn try_send<T: Serialize>(&self, message: &T) -> Result<bool, LinkError> {
        self.try_send_encoded(&EncodedMessage::of(message)?)
    }

    /// As [`LinkWriter::try_send`], for what is sent on many streams.
    ///
    /// # Errors
    /// `LinkError::Broken` when the stream is gone.
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

    /// Whether the stream is gone.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

impl LinkReader {
    /// The next message; waits up to `timeout`.
    ///
    /// # Errors
    /// `LinkError::TimedOut` when nothing came, `LinkError::Ended` when the other end closed the
    /// stream, otherwise why the stream failed.
    pub fn receive<T: DeserializeOwned>(&self, timeout: Duration) -> Result<T, LinkError> {
        match self.messages.recv_timeout(timeout) {
            Ok(message) => {
                self.room.notify_one();
                Ok(codec::decode(&message?)?)
            }
            Err(RecvTimeoutError::Timeout) => Err(LinkError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => Err(LinkError::Ended),
        }
    }
}

/// The runtime's side of one stream.
#[derive(Debug)]
pub(crate) struct StreamEnds {
    pub(crate) outgoing: mpsc::Receiver<Bytes>,
    pub(crate) incoming: IncomingQueue,
}

/// Where received messages go.
#[derive(Debug)]
pub(crate) struct IncomingQueue {
    messages: Sender<Result<Bytes, LinkError>>,
    room: Arc<Notify>,
    listening: mpsc::Receiver<()>,
}

/// Makes the blocking halves and the runtime's side of one stream.
pub(crate) fn pair() -> (LinkWriter, LinkReader, StreamEnds) {
    let (frames, outgoing) = mpsc::channel(STREAM_QUEUE);
    let (messages, receiver) = crossbeam::channel::bounded(STREAM_QUEUE);
    let (listening_guard, listening) = mpsc::channel(1);
    let room = Arc::new(Notify::new());
    let reader =
        LinkReader { messages: receiver, room: Arc::clone(&room), _listening: listening_guard };
    let incoming = IncomingQueue { messages, room, listening };
    (LinkWriter { frames }, reader, StreamEnds { outgoing, incoming })
}

impl IncomingQueue {
    /// Hands `message` to the reader; waits for room. `false` when the reader is gone.
    pub(crate) async fn push(&mut self, message: Result<Bytes, LinkError>) -> bool {
        let mut message = message;
        loop {
            message = match self.messages.try_send(message) {
                Ok(()) => return true,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(message)) => message,
            };
            tokio::select! {
                () = self.room.notified() => {}
                _ = self.listening.recv() => return false,
            }
        }
    }

    /// Resolves when the reader is gone.
    async fn reader_gone(&mut self) {
        self.listening.recv().await;
    }
}

/// Moves frames from the writer half to the h2 stream until the writers are gone.
pub(crate) async fn pump_out(mut outgoing: mpsc::Receiver<Bytes>, mut stream: SendStream<Bytes>) {
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
    // Every writer was dropped: this side has said all it will say.
    let _ = stream.send_data(Bytes::new(), true);
}

/// Moves h2 data to the reader half until the stream ends or the reader is gone.
pub(crate) async fn pump_in(mut stream: RecvStream, mut incoming: IncomingQueue) {
    let mut buffer = FrameBuffer::default();
    loop {
        let data = tokio::select! {
            data = stream.data() => data,
            () = incoming.reader_gone() => return,
        };
        match data {
            Some(Ok(data)) => {
                let _ = stream.flow_control().release_capacity(data.len());
                buffer.extend(&data);
            }
            // The other end let go of this one stream; the connection itself is sound.
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
