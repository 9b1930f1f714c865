//! An attempt that this agent holds. The endpoint call fills its buffer and the entry's stream
//! reads from it; either can end some time before the other.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::message::DispatchOrder;
use briartray_routing::attempt::{AnswerBuffer, AnswerEnd, BufferItem, BufferReader};

use crate::ClockReader;

/// How long an attempt keeps running, and its answer is held, without a stream to an entry.
pub(super) const RESUME_GRACE: Duration = Duration::from_secs(10);

/// Size of one attempt's buffer. It covers the HTTP/2 window and the queues of one stream, so all
/// chunks that were sent but did not arrive are still in the buffer.
const BUFFER_BYTES: usize = 512 * 1024;

/// Longest wait for a change of the buffer.
const MAX_CHANGE_WAIT: Duration = Duration::from_millis(500);

/// Whether an attempt makes no progress for now, because its endpoint or its group is silent.
#[derive(Debug, Clone, Default)]
pub(super) struct StallFlag {
    stalled: Arc<AtomicBool>,
}

impl StallFlag {
    pub(super) fn set(&self, stalled: bool) {
        self.stalled.store(stalled, Ordering::Relaxed);
    }

    pub(super) fn is_set(&self) -> bool {
        self.stalled.load(Ordering::Relaxed)
    }
}

/// An attempt and the answer received for it so far.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) order: DispatchOrder,
    clock: ClockReader,
    buffer: Mutex<AnswerBuffer>,
    changed: Condvar,
    cancelled: AtomicBool,
    pub(super) stall: StallFlag,
}

impl RunningAttempt {
    pub(super) fn new(order: DispatchOrder, clock: ClockReader) -> Self {
        let buffer = AnswerBuffer::new(clock.now(), BUFFER_BYTES);
        Self {
            order,
            clock,
            buffer: Mutex::new(buffer),
            changed: Condvar::new(),
            cancelled: AtomicBool::new(false),
            stall: StallFlag::default(),
        }
    }

    /// Applies `change` to the buffer and wakes all waiting threads.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut AnswerBuffer) -> T) -> T {
        let changed = change(&mut self.lock());
        self.changed.notify_all();
        changed
    }

    /// Pushes a chunk, waiting while the buffer is full. Returns `false` when the attempt is
    /// cancelled or abandoned.
    pub(super) fn push(&self, data: Vec<u8>) -> bool {
        let mut buffer = self.lock();
        loop {
            if self.is_cancelled() || self.is_abandoned(&buffer) {
                return false;
            }
            if buffer.has_room() {
                buffer.push(data);
                self.changed.notify_all();
                return true;
            }
            buffer = self.wait(buffer);
        }
    }

    /// The next item for `reader`; `BufferItem::Nothing` when none arrives within one wait.
    pub(super) fn next(&self, reader: &mut BufferReader) -> BufferItem {
        let mut buffer = self.lock();
        let first = buffer.take(reader);
        if first != BufferItem::Nothing {
            self.changed.notify_all();
            return first;
        }
        buffer = self.wait(buffer);
        let item = buffer.take(reader);
        self.changed.notify_all();
        item
    }

    /// Records that the stream of `reader` has closed.
    pub(super) fn detach(&self, reader: &BufferReader) {
        self.update(|buffer| buffer.detach(self.clock.now(), reader));
    }

    /// Stores the end of the answer.
    pub(super) fn finish(&self, end: AnswerEnd) {
        self.update(|buffer| buffer.finish(end));
    }

    /// Cancels the attempt, because its caller has disconnected.
    pub(super) fn cancel(&self) {
        self.cancelled.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Whether the answer may be dropped: it has ended, and the attempt is cancelled or abandoned.
    pub(super) fn can_discard(&self) -> bool {
        let buffer = self.lock();
        buffer.end().is_some() && (self.is_abandoned(&buffer) || self.is_cancelled())
    }

    /// Whether the attempt is cancelled or abandoned, so that its answer is no longer needed.
    pub(super) fn is_unwanted(&self) -> bool {
        self.is_cancelled() || self.is_abandoned(&self.lock())
    }

    fn is_abandoned(&self, buffer: &AnswerBuffer) -> bool {
        buffer.is_abandoned(self.clock.now(), RESUME_GRACE)
    }

    fn lock(&self) -> MutexGuard<'_, AnswerBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, buffer: MutexGuard<'a, AnswerBuffer>) -> MutexGuard<'a, AnswerBuffer> {
        let waited = self.changed.wait_timeout(buffer, MAX_CHANGE_WAIT);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}
