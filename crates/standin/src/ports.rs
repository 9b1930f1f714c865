//! Allocates loopback ports and addresses for processes that need each other's address before they start.

use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports to allocate from.
///
/// The range lies below the system's ephemeral ports: an outgoing connection could take one of
/// those before the listening process has started, or while it restarts.
const PORT_RANGE: Range<u16> = 12_000..30_000;

/// Ports tried before an allocation fails.
const MAX_PORT_ATTEMPTS: u32 = 100;

/// Returns a loopback address whose port is currently free.
///
/// # Errors
/// The same as [`free_port`].
pub fn free_address() -> Result<SocketAddr> {
    let host = Ipv4Addr::LOCALHOST;
    free_port(&[host]).map(|port| SocketAddr::from((host, port)))
}

/// Returns `count` distinct loopback addresses whose ports are currently free.
///
/// # Errors
/// The same as [`free_port`].
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_address()).collect()
}

/// Returns a port that is currently free on each of `hosts`; a process allocates none twice before
/// it has used the whole range.
///
/// The receiver of a port may not listen on it yet when the next one is allocated, and of two
/// processes with the same port one could not start.
///
/// # Errors
/// The error of the last bind attempt when none of the tried ports is free.
pub fn free_port(hosts: &[Ipv4Addr]) -> Result<u16> {
    static START_OFFSET: OnceLock<u16> = OnceLock::new();
    static ALLOCATED: AtomicU16 = AtomicU16::new(0);

    let range_len = PORT_RANGE.end - PORT_RANGE.start;
    let start = *START_OFFSET.get_or_init(|| rand::random_range(0..range_len));
    let mut last_error = Error::from(ErrorKind::AddrInUse);
    for _ in 0..MAX_PORT_ATTEMPTS {
        let offset = ALLOCATED.fetch_add(1, Ordering::Relaxed) % range_len;
        let port = PORT_RANGE.start + (start + offset) % range_len;
        match hosts.iter().try_for_each(|host| TcpListener::bind((*host, port)).map(drop)) {
            Ok(()) => return Ok(port),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
