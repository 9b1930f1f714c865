//! What one connection, and all of them together, may cost.

use std::time::Duration;

/// Descriptors that one connection takes: its own, and both ends of the relay.
const FILES_PER_CONNECTION: u32 = 3;

/// Descriptors left for everything else.
const FILES_RESERVED: u32 = 256;

/// Connections where the limit of open files cannot be read.
const DEFAULT_ALLOWANCE: u32 = 8192;

/// Fewest connections, however low the limit of open files is.
const MIN_ALLOWANCE: u32 = 64;

/// Bounds on connections.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontLimits {
    /// Connections open at one time.
    pub connections: u32,
    /// Bytes of a request head.
    pub head_bytes: u64,
    /// Time for a request to arrive, head and body each.
    pub receive_time: Duration,
    /// Time that a connection may stay open without a request.
    pub idle_time: Duration,
    /// Time that a caller may leave an answer unread.
    pub write_time: Duration,
}

impl Default for FrontLimits {
    fn default() -> Self {
        Self {
            connections: connection_allowance(),
            head_bytes: 32 * 1024,
            receive_time: Duration::from_secs(20),
            idle_time: Duration::from_secs(75),
            write_time: Duration::from_secs(30),
        }
    }
}

/// Connections that the process's limit of open files allows.
pub fn connection_allowance() -> u32 {
    let text = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().nth(3)?.parse::<u32>().ok());
    let allowance = soft.map_or(DEFAULT_ALLOWANCE, |files| {
        files.saturating_sub(FILES_RESERVED) / FILES_PER_CONNECTION
    });
    allowance.clamp(MIN_ALLOWANCE, DEFAULT_ALLOWANCE)
}
