//! Buffer of a whole request or response body. All buffers of a process share one bound.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Maximum total size of all buffers of the process, in bytes.
const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;

/// Size up to which a body is buffered although the total is used up, in bytes, so that large bodies do not
/// fail small ones.
const SMALL_BODY_BYTES: usize = 32 * 1024;

/// Maximum number of pieces of a body that is buffered. Each piece costs processor time, also if it has a
/// single byte.
pub(crate) const MAX_BODY_PIECES: usize = 65_536;

/// Total size of all buffers of the process, in bytes.
static TOTAL_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Body that is being received. Its size counts until the last reference to its bytes is dropped.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    limit: usize,
    counted: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for at most `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self { bytes: Vec::new(), limit, counted: 0 }
    }

    /// Whether the body would become larger than its limit with `bytes`.
    pub(crate) fn exceeds_limit(&self, bytes: &[u8]) -> bool {
        self.bytes.len() + bytes.len() > self.limit
    }

    /// Appends `bytes`. Returns `false` if the body becomes larger than its limit, or there is no room for it.
    #[must_use]
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        if self.exceeds_limit(bytes) {
            return false;
        }
        let needed = self.bytes.len() + bytes.len();
        if needed > self.counted {
            let capacity = needed.max(self.counted * 2).min(self.limit);
            if !count(capacity - self.counted, capacity) {
                return false;
            }
            self.counted = capacity;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// The received bytes.
    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        TOTAL_BYTES.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

/// Adds `bytes` to the total for a buffer of `size` bytes; returns whether it has room.
fn count(bytes: usize, size: usize) -> bool {
    let before = TOTAL_BYTES.fetch_add(bytes, Ordering::Relaxed);
    let has_room = size <= SMALL_BODY_BYTES || before + bytes <= MAX_TOTAL_BYTES;
    if !has_room {
        TOTAL_BYTES.fetch_sub(bytes, Ordering::Relaxed);
    }
    has_room
}
