//! Pool of idle connections to endpoints.
//!
//! An endpoint may close an idle connection while a request is in flight, and then it is unknown
//! whether the request ran. A pooled connection is therefore reused only expires_at a margin before the
//! keep-alive timeout that the endpoint announced.

use std::net::SocketAddr;
use std::time::Duration;

use briartray_model::{SortedTable, TimePoint};

use super::{EndpointConnection, SendFailure};

/// Idle time limit of a connection whose endpoint announced no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Margin subtracted from the announced keep-alive timeout, which is given in whole seconds.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Idle connections by endpoint address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: SortedTable<SocketAddr, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: EndpointConnection,
    expires_at: TimePoint,
}

impl ConnectionPool {
    /// Removes and returns an idle connection to `address` that is usable at `now`.
    pub fn take(&mut self, now: TimePoint, address: SocketAddr) -> Option<EndpointConnection> {
        let idle = self.idle.get_mut(&address)?;
        // The most recently used connection is the least likely to have been closed.
        while let Some(candidate) = idle.pop() {
            if now < candidate.expires_at && candidate.connection.is_usable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Whether an idle connection to `address` is open.
    pub fn has_open(&self, address: SocketAddr) -> bool {
        let idle = self.idle.get(&address).map_or(&[][..], Vec::as_slice);
        idle.iter().any(|candidate| candidate.connection.is_usable())
    }

    /// Adds an idle connection unless `max_idle` are kept for `address` already; `idle_limit` is the
    /// keep-alive timeout that the endpoint announced.
    ///
    /// An endpoint accepts a bounded number of connections from all processes together and resets
    /// the others. A request on a connection that is reset may have run, so the outcome of a
    /// non-idempotent request is reported as unknown.
    pub fn put(
        &mut self,
        now: TimePoint,
        address: SocketAddr,
        connection: EndpointConnection,
        idle_limit: Option<Duration>,
        max_idle: usize,
    ) {
        let idle_timeout = idle_limit
            .map_or(DEFAULT_IDLE_TIMEOUT, |limit| limit.saturating_sub(IDLE_TIMEOUT_MARGIN));
        let idle = self.idle.get_or_insert_with(address, Vec::new);
        if idle.len() < max_idle && !idle_timeout.is_zero() {
            idle.push(IdleConnection { connection, expires_at: now.after(idle_timeout) });
        }
    }

    /// Closes the idle connections that have expired or been closed by the endpoint.
    pub fn prune(&mut self, now: TimePoint) {
        for idle in self.idle.values_mut() {
            idle.retain(|candidate| now < candidate.expires_at && candidate.connection.is_usable());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Returns the `idle` connection if there is one, otherwise connects to `address`.
///
/// # Errors
/// `SendFailure::NotConnected` when a new connection fails.
pub async fn connect(
    idle: Option<EndpointConnection>,
    address: SocketAddr,
) -> Result<EndpointConnection, SendFailure> {
    match idle {
        Some(connection) => Ok(connection),
        None => EndpointConnection::open(address).await,
    }
}
