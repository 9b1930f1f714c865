//! Threads with small stacks.

use std::io::Result;
use std::thread::{Builder, JoinHandle};

/// Stack of a traffic thread, in bytes; a thousand idle streams must not cost gigabytes.
pub const WORKER_STACK_BYTES: usize = 256 * 1024;

/// Starts a thread called `name` with a stack of `stack_bytes`.
///
/// # Errors
/// The system has no thread left.
pub fn spawn_worker(
    name: &str,
    stack_bytes: usize,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(stack_bytes).spawn(run)
}
