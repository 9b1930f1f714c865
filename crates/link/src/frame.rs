//! Length-prefixed frames inside h2 data.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::LinkError;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

const PREFIX_BYTES: usize = 4;

/// Puts the length in front of `message`.
pub(crate) fn wrap(message: &[u8]) -> Result<Bytes, LinkError> {
    if message.len() > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge { size: message.len(), limit: MAX_FRAME_BYTES });
    }
    let length = u32::try_from(message.len()).unwrap_or(u32::MAX);
    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + message.len());
    frame.put_u32(length);
    frame.put_slice(message);
    Ok(frame.freeze())
}

/// Collects h2 data and cuts it into messages.
#[derive(Debug, Default)]
pub(crate) struct FrameBuffer {
    pending: BytesMut,
}

impl FrameBuffer {
    /// Adds received data.
    pub(crate) fn extend(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// The next whole message, if there is one.
    pub(crate) fn next_message(&mut self) -> Result<Option<Bytes>, LinkError> {
        if self.pending.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let length = (&self.pending[..PREFIX_BYTES]).get_u32() as usize;
        if length > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge { size: length, limit: MAX_FRAME_BYTES });
        }
        if self.pending.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.pending.advance(PREFIX_BYTES);
        Ok(Some(self.pending.split_to(length).freeze()))
    }

    /// Whether an incomplete message is left.
    pub(crate) fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }
}
