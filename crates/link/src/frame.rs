//! Length-prefixed frames in the data of an h2 stream.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::LinkError;

/// Largest message in a frame, in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Returns `message` with its length as a big-endian `u32` in front.
pub(crate) fn encode_frame(message: &[u8]) -> Result<Bytes, LinkError> {
    if message.len() > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge { size: message.len(), limit: MAX_FRAME_BYTES });
    }
    let length = u32::try_from(message.len()).unwrap_or(u32::MAX);
    let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + message.len());
    frame.put_u32(length);
    frame.put_slice(message);
    Ok(frame.freeze())
}

/// Collects h2 data and splits it into messages.
#[derive(Debug, Default)]
pub(crate) struct FrameBuffer {
    pending: BytesMut,
}

impl FrameBuffer {
    /// Adds received data.
    pub(crate) fn extend(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// The next complete message, if there is one.
    pub(crate) fn next_message(&mut self) -> Result<Option<Bytes>, LinkError> {
        if self.pending.len() < LENGTH_PREFIX_BYTES {
            return Ok(None);
        }
        let length = (&self.pending[..LENGTH_PREFIX_BYTES]).get_u32() as usize;
        if length > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge { size: length, limit: MAX_FRAME_BYTES });
        }
        if self.pending.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.pending.advance(LENGTH_PREFIX_BYTES);
        Ok(Some(self.pending.split_to(length).freeze()))
    }

    /// Whether an incomplete message is left.
    pub(crate) fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }
}
