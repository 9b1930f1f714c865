//! State of one connection, shared by the front proxy and the request threads.

use std::cell::RefCell;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum ratio of the bytes of a body with the framing of its chunks to those without: a chunk of one byte has
/// six.
const MAX_FRAMING_FACTOR: u64 = 6;

/// Number of bytes that every body may have, with the framing of its chunks.
const MIN_BODY_BYTES: u64 = 64 * 1024;

/// Byte and request counts of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    opened: Instant,
    /// Bytes received from the caller.
    received: AtomicU64,
    /// Value of `received` when the library last finished reading a head or body.
    consumed: AtomicU64,
    /// Bytes sent to the caller.
    sent: AtomicU64,
    /// Request heads that the library has read.
    heads_read: AtomicU32,
    /// Requests in progress.
    running: AtomicU32,
    /// Whether a request body is still incomplete.
    body_pending: AtomicBool,
    /// Whether a request has finished whose response may still be in transit to the caller.
    flushing: AtomicBool,
    /// Whether a write to the caller is in progress.
    writing: AtomicBool,
    /// Maximum number of bytes, with the framing of chunks, of the body that is being read.
    max_body_bytes: AtomicU64,
    /// Reply that the proxy is to send in the place of the library before it closes the connection.
    last_reply: Mutex<Option<Vec<u8>>>,
}

impl ConnectionState {
    pub(super) fn new() -> Self {
        Self {
            opened: Instant::now(),
            received: AtomicU64::new(0),
            consumed: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            heads_read: AtomicU32::new(0),
            running: AtomicU32::new(0),
            body_pending: AtomicBool::new(false),
            flushing: AtomicBool::new(false),
            writing: AtomicBool::new(false),
            max_body_bytes: AtomicU64::new(u64::MAX),
            last_reply: Mutex::new(None),
        }
    }

    pub(super) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::SeqCst);
    }

    pub(super) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::SeqCst);
    }

    pub(super) fn sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }

    pub(super) fn received(&self) -> u64 {
        self.received.load(Ordering::SeqCst)
    }

    pub(super) fn heads_read(&self) -> u32 {
        self.heads_read.load(Ordering::SeqCst)
    }

    /// Bytes received of a request head that the library has not read yet.
    pub(super) fn unread_head_bytes(&self) -> u64 {
        if self.running.load(Ordering::SeqCst) > 0 {
            return 0;
        }
        self.received().saturating_sub(self.consumed.load(Ordering::SeqCst))
    }

    /// Whether a request has been received in part.
    pub(super) fn is_receiving(&self) -> bool {
        self.unread_head_bytes() > 0 || self.body_pending.load(Ordering::SeqCst)
    }

    /// Whether no request is in progress or received in part.
    pub(super) fn is_idle(&self) -> bool {
        self.running.load(Ordering::SeqCst) == 0 && !self.is_receiving()
    }

    /// Whether the connection is older than `age` and has received bytes, but the library has read no
    /// head yet.
    pub(super) fn is_unread(&self, age: Duration) -> bool {
        self.heads_read() == 0 && self.received() > 0 && self.opened.elapsed() > age
    }

    /// Whether a response may still be in transit to the caller.
    pub(super) fn is_flushing(&self) -> bool {
        self.flushing.load(Ordering::SeqCst)
    }

    pub(super) fn is_writing(&self) -> bool {
        self.writing.load(Ordering::SeqCst)
    }

    pub(super) fn set_writing(&self, writing: bool) {
        self.writing.store(writing, Ordering::SeqCst);
    }

    /// Records that every response has been delivered.
    pub(super) fn set_flushed(&self) {
        self.flushing.store(false, Ordering::SeqCst);
    }

    /// Whether more bytes were received than the body that is being read may have.
    pub(super) fn exceeds_body(&self) -> bool {
        let received = self.received().saturating_sub(self.consumed.load(Ordering::SeqCst));
        self.body_pending.load(Ordering::SeqCst)
            && received > self.max_body_bytes.load(Ordering::SeqCst)
    }

    /// Removes and returns the reply to send before the connection is closed.
    pub(super) fn take_last_reply(&self) -> Option<Vec<u8>> {
        self.last_reply.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn set_last_reply(&self, reply: Vec<u8>) {
        *self.last_reply.lock().unwrap_or_else(PoisonError::into_inner) = Some(reply);
    }

    fn begin(&self, has_body: bool) {
        self.max_body_bytes.store(u64::MAX, Ordering::SeqCst);
        self.body_pending.store(has_body, Ordering::SeqCst);
        self.running.fetch_add(1, Ordering::SeqCst);
        self.heads_read.fetch_add(1, Ordering::SeqCst);
        self.mark_consumed();
    }

    fn mark_consumed(&self) {
        self.consumed.store(self.received(), Ordering::SeqCst);
    }

    fn finish(&self) {
        self.flushing.store(true, Ordering::SeqCst);
        self.mark_consumed();
        self.body_pending.store(false, Ordering::SeqCst);
        self.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Marks a request of a connection as finished when dropped, also if its thread panics.
#[derive(Debug)]
pub(crate) struct RunningGuard(Arc<ConnectionState>);

impl RunningGuard {
    pub(crate) fn begin(state: Arc<ConnectionState>, has_body: bool) -> Self {
        state.begin(has_body);
        Self(state)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.finish();
    }
}

thread_local! {
    /// Connection whose request this thread serves.
    static SERVED_CONNECTION: RefCell<Option<Arc<ConnectionState>>> = const { RefCell::new(None) };
}

/// Sets the connection whose request this thread serves.
pub(crate) fn set_served_connection(guard: &RunningGuard) {
    SERVED_CONNECTION.with(|served| *served.borrow_mut() = Some(Arc::clone(&guard.0)));
}

/// Records that the body of the request served by this thread is complete.
pub(crate) fn mark_body_complete() {
    SERVED_CONNECTION.with(|served| {
        if let Some(state) = &*served.borrow() {
            state.mark_consumed();
            state.body_pending.store(false, Ordering::SeqCst);
        }
    });
}

/// Limits the bytes that are received of the body that this thread reads to those that a body of `limit` bytes
/// may have with the framing of its chunks.
pub(crate) fn limit_body(limit: usize) {
    let bytes = (limit as u64).saturating_mul(MAX_FRAMING_FACTOR).saturating_add(MIN_BODY_BYTES);
    SERVED_CONNECTION.with(|served| {
        if let Some(state) = &*served.borrow() {
            state.max_body_bytes.store(bytes, Ordering::SeqCst);
        }
    });
}

/// Makes the proxy send `reply` to the request served by this thread, and close the connection.
pub(crate) fn send_last_reply(reply: Vec<u8>) {
    SERVED_CONNECTION.with(|served| {
        if let Some(state) = &*served.borrow() {
            state.set_last_reply(reply);
        }
    });
}
