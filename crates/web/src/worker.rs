//! Threads with small stacks.

use std::io::Result;
use std::thread::{Builder, JoinHandle};

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
