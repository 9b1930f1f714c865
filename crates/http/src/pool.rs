//! Idle connections to endpoints.
//!
//! A connection may be closed by the endpoint while a request is on its way to it, and that
//! request may or may not have run. So a connection is used again only well inside the time for
//! which the endpoint said it would keep it.

use std::net::SocketAddr;
use std::time::Duration;

use briartray_model::{SortedTable, TimePoint};

use super::{EndpointConnection, SendFailure};

/// Idle time after which a connection is not used again where the endpoint names no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);

/// Part of the named limit that is used, and what it is shortened by: limits are whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Connections that wait for their next request.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: SortedTable<SocketAddr, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: EndpointConnection,
    until: TimePoint,
}

impl ConnectionPool {
    /// An idle connection to `address` that can be used at `now`.
    pub fn take(&mut self, now: TimePoint, address: SocketAddr) -> Option<EndpointConnection> {
        let idle = self.idle.get_mut(&address)?;
        // The one that was used last is the least likely to have been closed meanwhile.
        while let Some(candidate) = idle.pop() {
            if now < candidate.until && candidate.connection.is_usable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection for later, one of `most` to its endpoint; `limit` is how long the endpoint
    /// keeps it.
    ///
    /// An endpoint accepts a bounded number of connections from all processes together and resets
    /// further ones. A request on a connection that is reset may have run, so callers of what must not
    /// run twice are told that the outcome is unknown.
    pub fn put(
        &mut self,
        now: TimePoint,
        address: SocketAddr,
        connection: EndpointConnection,
        limit: Option<Duration>,
        most: usize,
    ) {
        let time = limit.map_or(DEFAULT_IDLE, |limit| limit.saturating_sub(IDLE_MARGIN));
        let idle = self.idle.get_or_insert_with(address, Vec::new);
        if idle.len() < most && !time.is_zero() {
            idle.push(IdleConnection { connection, until: now.after(time) });
        }
    }

    /// Closes connections that are not used any more.
    pub fn prune(&mut self, now: TimePoint) {
        for idle in self.idle.values_mut() {
            idle.retain(|candidate| now < candidate.until && candidate.connection.is_usable());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// A connection to `address`: an idle one, or a new one.
///
/// # Errors
/// `SendFailure::NotConnected`.
pub async fn connect(
    idle: Option<EndpointConnection>,
    address: SocketAddr,
) -> Result<EndpointConnection, SendFailure> {
    match idle {
        Some(connection) => Ok(connection),
        None => EndpointConnection::open(address).await,
    }
}
