//! Limits per connection and for all connections of a listener.

use std::time::Duration;

/// File descriptors used by one connection: the caller's socket and both ends of the loopback
/// connection.
const FILES_PER_CONNECTION: u32 = 3;

/// File descriptors reserved for everything else in the process.
const FILES_RESERVED: u32 = 256;

/// Connection limit when the limit on open files cannot be read, and upper bound otherwise.
const MAX_CONNECTION_ALLOWANCE: u32 = 8192;

/// Lower bound of the connection limit, even if the limit on open files is below it.
const MIN_CONNECTION_ALLOWANCE: u32 = 64;

/// Limits that the front proxy enforces on connections.
#[derive(Debug, Clone, PartialEq)]
pub struct ListenerLimits {
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: u64,
    /// Timeout for receiving a request head, and again for its body.
    pub receive_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Timeout for one write to a caller that does not read its response.
    pub write_timeout: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            max_connections: connection_allowance(),
            max_head_bytes: 32 * 1024,
            receive_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Number of connections that the process's limit on open files allows, from 64 to 8192.
pub fn connection_allowance() -> u32 {
    let text = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("Max open files"));
    let soft_limit = line.and_then(|line| line.split_whitespace().nth(3)?.parse::<u32>().ok());
    let allowance = soft_limit.map_or(MAX_CONNECTION_ALLOWANCE, |files| {
        files.saturating_sub(FILES_RESERVED) / FILES_PER_CONNECTION
    });
    allowance.clamp(MIN_CONNECTION_ALLOWANCE, MAX_CONNECTION_ALLOWANCE)
}
