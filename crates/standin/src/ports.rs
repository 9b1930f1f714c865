//! Addresses on loopback for processes that must know each other's before they start.

use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports to choose from.
///
/// They lie below those that the system hands out by itself: one of those could be taken by an
/// outgoing connection before the process that is to listen there has started, or while it is
/// being restarted.
const PORTS: Range<u16> = 12_000..30_000;

/// Ports that are tried before giving up.
const PORT_TRIES: u32 = 100;

/// An address that is free now.
///
/// # Errors
/// No port of the range is to be had.
pub fn free_address() -> Result<SocketAddr> {
    hold_address().map(|(address, _)| address)
}

/// `count` different addresses that are free now.
///
/// # Errors
/// As [`free_address`].
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_address()).collect()
}

/// Chooses the next port that is free; one process hands none out twice.
///
/// Whoever was given a port may not listen on it yet when the next one is chosen, and one of two
/// processes with the same port would never start.
fn hold_address() -> Result<(SocketAddr, TcpListener)> {
    static START: OnceLock<u16> = OnceLock::new();
    static HANDED_OUT: AtomicU16 = AtomicU16::new(0);

    let width = PORTS.end - PORTS.start;
    let start = *START.get_or_init(|| rand::random_range(0..width));
    let mut last = Error::from(ErrorKind::AddrInUse);
    for _ in 0..PORT_TRIES {
        let step = HANDED_OUT.fetch_add(1, Ordering::Relaxed) % width;
        let port = PORTS.start + (start + step) % width;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match TcpListener::bind(address) {
            Ok(listener) => return Ok((address, listener)),
            Err(error) => last = error,
        }
    }
    Err(last)
}
