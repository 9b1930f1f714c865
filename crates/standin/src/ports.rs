//! Addresses on loopback for processes that must know each other's before they start.

use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

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
    // Held until all are chosen, so that none is chosen twice.
    let held = (0..count).map(|_| hold_address()).collect::<Result<Vec<_>>>()?;
    Ok(held.into_iter().map(|(address, _)| address).collect())
}

fn hold_address() -> Result<(SocketAddr, TcpListener)> {
    let mut last = Error::from(ErrorKind::AddrInUse);
    for _ in 0..PORT_TRIES {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(PORTS)));
        match TcpListener::bind(address) {
            Ok(listener) => return Ok((address, listener)),
            Err(error) => last = error,
        }
    }
    Err(last)
}
