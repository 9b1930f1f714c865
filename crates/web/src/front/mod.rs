//! A front before the HTTP library that bounds what a connection may cost.
//!
//! The library has a thread for each connection, no read timeout, no limit on a request head, and
//! ends its accept loop at the first failed accept. None of its sockets can be reached from
//! outside, and a receive timeout set on the listener would end its accept loop as well. So this
//! front accepts instead and relays bytes over loopback. It parses no HTTP: the library reports
//! when it has read a head and when a body is whole, and the front sees only how many bytes came
//! and when.

mod limits;
mod relay;
mod state;
mod table;

pub use limits::{FrontLimits, connection_allowance};
pub(crate) use state::{RunningGuard, body_is_whole, serve_as};
pub(crate) use table::ConnectionTable;

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;

use crate::worker::{WORKER_STACK_BYTES, spawn_worker};

/// How long accepting pauses when the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often the front looks for connections that the library left lying.
const NUDGE_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the front's thread: connections to `listener` are relayed to `inner`.
pub(crate) fn start(
    listener: TcpListener,
    inner: SocketAddr,
    limits: FrontLimits,
    table: Arc<ConnectionTable>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let run = move || runtime.block_on(accept_all(listener, inner, limits, table));
    spawn_worker("http-front", 4 * WORKER_STACK_BYTES, run).map(drop)
}

async fn accept_all(
    listener: TcpListener,
    inner: SocketAddr,
    limits: FrontLimits,
    table: Arc<ConnectionTable>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("http front cannot listen: {error}; restart the process"),
    };
    let nudges = Arc::clone(&table);
    tokio::spawn(async move { nudge_all(inner, &nudges).await });
    while !table.is_stopped() {
        let accepted = tokio::time::timeout(NUDGE_INTERVAL * 10, listener.accept()).await;
        match accepted {
            Ok(Ok((client, _))) => {
                let (limits, table) = (limits.clone(), Arc::clone(&table));
                tokio::spawn(relay::serve(client, inner, limits, table));
            }
            Ok(Err(error)) => {
                // Mostly a lack of descriptors. The library would never accept again.
                log::warn!("a connection could not be accepted: {error}; raise the limit of files");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            Err(_) => {}
        }
    }
    drop(listener);
    // Answers in progress pass through this thread; it ends with the last of them.
    while table.len() > 0 {
        tokio::time::sleep(NUDGE_INTERVAL).await;
    }
}

/// Wakes the library's threads while a connection waits for one.
///
/// The library queues a connection for an idle thread even when that thread has just been given
/// another one. The caller's request then hangs until some other connection ends, which with
/// streams may take minutes. A connection that closes at once makes the library look again.
async fn nudge_all(inner: SocketAddr, table: &ConnectionTable) {
    while !table.is_stopped() {
        tokio::time::sleep(NUDGE_INTERVAL).await;
        if table.has_unseen(NUDGE_INTERVAL) {
            drop(tokio::net::TcpStream::connect(inner).await);
        }
    }
    // The library leaves its accept loop only when a connection comes.
    drop(TcpStream::connect(inner));
}

/// A loopback listener for the HTTP library, without delays for small pieces.
pub(crate) fn inner_listener() -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}
