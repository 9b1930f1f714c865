//! What a process uses, and what passes a relay, during a window of time.

use std::time::{Duration, Instant};

use super::child::RoleProcess;
use super::relay::CountingRelay;
use crate::cmd::CommandError;

/// What was used per second of the window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct WindowUsage {
    /// Share of one core, in percent.
    pub(super) core_percent: f64,
    /// Bytes per second through the relays.
    pub(super) bytes: f64,
    /// Resident memory at the end, in bytes.
    pub(super) resident: f64,
}

/// Measures `process` and `relays` for `length` while `work` runs.
pub(super) fn measure(
    process: &RoleProcess,
    relays: &[CountingRelay],
    length: Duration,
    work: impl FnOnce() -> Result<(), CommandError>,
) -> Result<WindowUsage, CommandError> {
    let passed = || relays.iter().map(CountingRelay::bytes).sum::<u64>();
    let (before, bytes_before, started) = (process.usage()?, passed(), Instant::now());
    work()?;
    std::thread::sleep(length.saturating_sub(started.elapsed()));
    let (after, bytes_after) = (process.usage()?, passed());
    let seconds = started.elapsed().as_secs_f64();
    Ok(WindowUsage {
        core_percent: (after.cpu - before.cpu).as_secs_f64() / seconds * 100.0,
        bytes: (bytes_after - bytes_before) as f64 / seconds,
        resident: after.resident_bytes as f64,
    })
}
