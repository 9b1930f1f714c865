//! Front proxy that enforces connection limits which the HTTP library lacks.
//!
//! The library runs a thread per connection, has no read timeout and no limit on a request head,
//! and ends its accept loop at the first failed accept. It doesn't expose its sockets, and a receive
//! timeout set on the listener would end its accept loop too. So the proxy accepts connections itself
//! and relays bytes to the library over loopback. It parses no HTTP: the request threads report when
//! the library has read a head and when a body is complete, and the proxy only counts bytes.

mod limits;
mod relay;
mod state;
mod table;

pub use limits::{ListenerLimits, connection_allowance};
pub(crate) use state::{
    RunningGuard, limit_body, mark_body_complete, send_last_reply, set_served_connection,
};
pub(crate) use table::ConnectionTable;

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;

use crate::worker::{WORKER_STACK_BYTES, spawn_worker};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Interval of the check for connections that the library has left unread.
const WAKE_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the proxy thread, which relays connections of `listener` to `library_address`.
pub(crate) fn start(
    listener: TcpListener,
    library_address: SocketAddr,
    limits: ListenerLimits,
    table: Arc<ConnectionTable>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let run = move || runtime.block_on(accept_all(listener, library_address, limits, table));
    spawn_worker("http-front", 4 * WORKER_STACK_BYTES, run).map(drop)
}

async fn accept_all(
    listener: TcpListener,
    library_address: SocketAddr,
    limits: ListenerLimits,
    table: Arc<ConnectionTable>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("HTTP proxy cannot listen: {error}; restart the process"),
    };
    let watched_table = Arc::clone(&table);
    tokio::spawn(async move { wake_library(library_address, &watched_table).await });
    while !table.is_stopped() {
        let accepted = tokio::time::timeout(WAKE_INTERVAL * 10, listener.accept()).await;
        match accepted {
            Ok(Ok((client, _))) => {
                let (limits, table) = (limits.clone(), Arc::clone(&table));
                tokio::spawn(relay::serve(client, library_address, limits, table));
            }
            Ok(Err(error)) => {
                // Usually no file descriptor is free. The library would stop accepting for good.
                log::warn!("accepting a connection failed: {error}; raise the limit on open files");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            Err(_) => {}
        }
    }
    drop(listener);
    // This thread relays the responses in progress, so it runs until the last connection ends.
    while table.len() > 0 {
        tokio::time::sleep(WAKE_INTERVAL).await;
    }
}

/// Wakes the library while one of its connections is left unread.
///
/// The library may queue a connection for an idle thread that has just taken another one. The
/// request then waits until some other connection ends, which can take minutes with streams.
/// Opening and closing a connection makes the library check its queue again.
async fn wake_library(library_address: SocketAddr, table: &ConnectionTable) {
    while !table.is_stopped() {
        tokio::time::sleep(WAKE_INTERVAL).await;
        if table.has_unread(WAKE_INTERVAL) {
            drop(tokio::net::TcpStream::connect(library_address).await);
        }
    }
    // The library leaves its accept loop only after another connection arrives.
    drop(TcpStream::connect(library_address));
}

/// Binds the loopback listener of the HTTP library, with TCP_NODELAY for its connections.
pub(crate) fn bind_loopback_listener() -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}
