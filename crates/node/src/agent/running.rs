//! One attempt while this agent holds it: the endpoint's side fills its buffer, the entry's stream
//! empties it, and either may outlive the other for a while.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::message::DispatchOrder;
use briartray_routing::attempt::{AnswerBuffer, AnswerEnd, BufferItem, BufferReader};

use crate::ClockReader;

/// How long an attempt goes on, and its answer is held, without a stream to an entry.
pub(super) const RESUME_GRACE: Duration = Duration::from_secs(10);

/// Bytes of chunks held for one attempt. It covers the h2 window and the queues of one stream, so
/// whatever was sent and did not arrive is still here.
const BUFFER_BYTES: usize = 512 * 1024;

/// Time between two looks at a buffer that does not change.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// An attempt and its answer so far.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) order: DispatchOrder,
    clock: ClockReader,
    buffer: Mutex<AnswerBuffer>,
    changed: Condvar,
    cancelled: AtomicBool,
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
        }
    }

    /// The buffer, to change; whoever waits looks again.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut AnswerBuffer) -> T) -> T {
        let changed = change(&mut self.lock());
        self.changed.notify_all();
        changed
    }

    /// Pushes a chunk, waiting for room; `false` when nobody wants the rest any more.
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

    /// The next item for `reader`; `Nothing` after a while without a change.
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

    /// Notes that `reader` lost its stream.
    pub(super) fn detach(&self, reader: &BufferReader) {
        self.change(|buffer| buffer.detach(self.clock.now(), reader));
    }

    /// Stores the end.
    pub(super) fn finish(&self, end: AnswerEnd) {
        self.change(|buffer| buffer.finish(end));
    }

    /// Stops the attempt; its caller has gone.
    pub(super) fn cancel(&self) {
        self.cancelled.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Whether the answer may be dropped: it ended, and no entry came back for it.
    pub(super) fn is_over(&self) -> bool {
        let buffer = self.lock();
        buffer.end().is_some() && (self.is_abandoned(&buffer) || self.is_cancelled())
    }

    /// Whether nobody waits for the answer any more.
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
        let waited = self.changed.wait_timeout(buffer, LOOK_INTERVAL);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}
