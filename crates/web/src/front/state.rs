//! What the front and the request threads know of one connection.

use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// One connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    opened: Instant,
    /// Bytes that came from the caller.
    received: AtomicU64,
    /// The same when the library last finished reading something.
    consumed: AtomicU64,
    /// Bytes that went to the caller.
    sent: AtomicU64,
    /// Heads that the library has read.
    seen: AtomicU32,
    /// Requests that run.
    running: AtomicU32,
    /// Whether a body is still to come.
    body: AtomicBool,
    /// Whether a request has ended whose answer may still be on its way to the caller.
    flushing: AtomicBool,
    /// Whether bytes are being written to the caller.
    writing: AtomicBool,
}

impl ConnectionState {
    pub(super) fn new() -> Self {
        Self {
            opened: Instant::now(),
            received: AtomicU64::new(0),
            consumed: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            seen: AtomicU32::new(0),
            running: AtomicU32::new(0),
            body: AtomicBool::new(false),
            flushing: AtomicBool::new(false),
            writing: AtomicBool::new(false),
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

    pub(super) fn seen(&self) -> u32 {
        self.seen.load(Ordering::SeqCst)
    }

    /// Bytes of a request whose head is not read yet.
    pub(super) fn head_pending(&self) -> u64 {
        if self.running.load(Ordering::SeqCst) > 0 {
            return 0;
        }
        self.received().saturating_sub(self.consumed.load(Ordering::SeqCst))
    }

    /// Whether a request is on its way in and not whole.
    pub(super) fn is_receiving(&self) -> bool {
        self.head_pending() > 0 || self.body.load(Ordering::SeqCst)
    }

    /// Whether no request runs or is on its way in.
    pub(super) fn is_idle(&self) -> bool {
        self.running.load(Ordering::SeqCst) == 0 && !self.is_receiving()
    }

    /// Whether bytes came `age` ago or earlier, and the library has read no head yet.
    pub(super) fn is_unseen(&self, age: Duration) -> bool {
        self.seen() == 0 && self.received() > 0 && self.opened.elapsed() > age
    }

    /// Whether an answer may still be on its way to the caller.
    pub(super) fn is_flushing(&self) -> bool {
        self.flushing.load(Ordering::SeqCst)
    }

    pub(super) fn is_writing(&self) -> bool {
        self.writing.load(Ordering::SeqCst)
    }

    pub(super) fn set_writing(&self, writing: bool) {
        self.writing.store(writing, Ordering::SeqCst);
    }

    /// Notes that every answer has reached the caller.
    pub(super) fn set_flushed(&self) {
        self.flushing.store(false, Ordering::SeqCst);
    }

    fn begin(&self, has_body: bool) {
        self.body.store(has_body, Ordering::SeqCst);
        self.running.fetch_add(1, Ordering::SeqCst);
        self.seen.fetch_add(1, Ordering::SeqCst);
        self.consume();
    }

    fn consume(&self) {
        self.consumed.store(self.received(), Ordering::SeqCst);
    }

    fn finish(&self) {
        self.flushing.store(true, Ordering::SeqCst);
        self.consume();
        self.body.store(false, Ordering::SeqCst);
        self.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts one running request of a connection down again, also when its thread panics.
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
    /// Connection of the request that this thread serves.
    static SERVED: RefCell<Option<Arc<ConnectionState>>> = const { RefCell::new(None) };
}

/// Marks this thread as serving a request of the guard's connection.
pub(crate) fn serve_as(guard: &RunningGuard) {
    SERVED.with(|served| *served.borrow_mut() = Some(Arc::clone(&guard.0)));
}

/// Notes that the body of the request served by this thread is whole.
pub(crate) fn body_is_whole() {
    SERVED.with(|served| {
        if let Some(state) = &*served.borrow() {
            state.consume();
            state.body.store(false, Ordering::SeqCst);
        }
    });
}
