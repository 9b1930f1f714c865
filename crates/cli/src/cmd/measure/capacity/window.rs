//! Usage of a process and traffic through relays during a window of time.

use std::time::{Duration, Instant};

use super::daemon::DaemonProcess;
use super::relay::CountingRelay;
use crate::cmd::CommandError;

/// Usage during a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct WindowUsage {
    /// Processor time, in percent of one core.
    pub(super) core_percent: f64,
    /// Bytes per second through the relays.
    pub(super) bytes_per_second: f64,
    /// Resident memory at the end, in bytes.
    pub(super) resident_bytes: f64,
}

/// Measures `process` and `relays` for `length` while `work` runs.
pub(super) fn measure_window(
    process: &DaemonProcess,
    relays: &[CountingRelay],
    length: Duration,
    work: impl FnOnce() -> Result<(), CommandError>,
) -> Result<WindowUsage, CommandError> {
    let relayed_bytes = || relays.iter().map(CountingRelay::bytes).sum::<u64>();
    let (before, bytes_before, started) = (process.usage()?, relayed_bytes(), Instant::now());
    work()?;
    std::thread::sleep(length.saturating_sub(started.elapsed()));
    let (after, bytes_after) = (process.usage()?, relayed_bytes());
    let seconds = started.elapsed().as_secs_f64();
    Ok(WindowUsage {
        core_percent: (after.cpu - before.cpu).as_secs_f64() / seconds * 100.0,
        bytes_per_second: (bytes_after - bytes_before) as f64 / seconds,
        resident_bytes: after.resident_bytes as f64,
    })
}
