//! The trace that the current thread works for, so that its log lines carry the trace id.

use std::cell::Cell;

thread_local! {
    static CURRENT: Cell<u128> = const { Cell::new(0) };
}

/// Sets the trace of the current thread; dropping it restores the previous one.
#[derive(Debug)]
pub struct TraceScope {
    previous: u128,
}

impl TraceScope {
    /// Sets the trace of the current thread to `trace_id`.
    pub fn enter(trace_id: u128) -> Self {
        Self { previous: CURRENT.replace(trace_id) }
    }
}

impl Drop for TraceScope {
    fn drop(&mut self) {
        CURRENT.set(self.previous);
    }
}

/// Trace id of the current thread, if set.
pub fn current_trace() -> Option<u128> {
    Some(CURRENT.get()).filter(|id| *id != 0)
}
