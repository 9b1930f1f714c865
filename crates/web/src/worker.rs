//! Threads with small stacks, and waiting for their end.

use std::convert::Infallible;
use std::io::Result;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};

/// Stack size of a worker thread, in bytes; small enough that 1,000 idle streams fit in memory.
pub const WORKER_STACK_BYTES: usize = 256 * 1024;

/// Starts a thread named `name` with a stack of `stack_bytes`.
///
/// # Errors
/// The I/O error when the operating system cannot create the thread.
pub fn spawn_worker(
    name: &str,
    stack_bytes: usize,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(stack_bytes).spawn(run)
}

/// Held by a thread until it ends; see [`worker_watch`].
#[derive(Debug, Clone)]
pub struct WorkerToken {
    _held: Sender<Infallible>,
}

/// Waits until the threads that hold a token have ended; see [`worker_watch`].
#[derive(Debug)]
pub struct WorkerWatch {
    dropped: Receiver<Infallible>,
}

/// Creates a token for threads, of which each one takes a clone, and the watch that waits for them.
pub fn worker_watch() -> (WorkerToken, WorkerWatch) {
    let (held, dropped) = bounded(0);
    (WorkerToken { _held: held }, WorkerWatch { dropped })
}

impl WorkerWatch {
    /// Waits until every token is dropped; `false` if one is still held after `limit`.
    pub fn wait(&self, limit: Duration) -> bool {
        matches!(self.dropped.recv_timeout(limit), Err(RecvTimeoutError::Disconnected))
    }
}
