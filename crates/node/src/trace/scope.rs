//! Which trace the current thread works for, so that its log lines carry the trace id.

use std::cell::Cell;

thread_local! {
    static CURRENT: Cell<u128> = const { Cell::new(0) };
}

/// Sets the thread's trace until it is dropped.
#[derive(Debug)]
pub struct TraceScope {
    before: u128,
}

impl TraceScope {
    /// Lets this thread work for the trace `trace_id`.
    pub fn enter(trace_id: u128) -> Self {
        Self { before: CURRENT.replace(trace_id) }
    }
}

impl Drop for TraceScope {
    fn drop(&mut self) {
        CURRENT.set(self.before);
    }
}

/// Id of the trace that this thread works for, if any.
pub fn current_trace() -> Option<u128> {
    Some(CURRENT.get()).filter(|id| *id != 0)
}
