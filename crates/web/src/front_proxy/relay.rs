//! Relays one connection between a caller and the HTTP library and enforces the limits.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep, timeout};

use super::limits::ListenerLimits;
use super::state::ConnectionState;
use super::table::ConnectionTable;
use crate::reply::JsonReply;

/// Size of the copy buffer, in bytes.
const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// Interval between two checks of the time limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Consecutive checks without a write after which the last response counts as delivered to the
/// caller's socket.
const QUIET_CHECKS: u32 = 2;

/// Time that the library gets to consume a head of the maximum size.
const HEAD_READ_GRACE: Duration = Duration::from_secs(1);

/// Interval between two checks whether the library has read the head.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Time for which input is drained after the write side is closed, so that the caller can read
/// its response; also the write timeout of a refusal.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Maximum number of bytes drained meanwhile.
const LINGER_BYTES: usize = 1024 * 1024;

/// Reason for which the proxy closes a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CloseReason {
    LastReply(Vec<u8>),
    TooSlow,
    HeadTooLarge,
    BodyTooLarge,
    BadHead,
    TooMany,
    Idle,
}

impl CloseReason {
    /// Bytes to send before the connection is closed.
    fn reply(self) -> Option<Vec<u8>> {
        let (status, code, message) = match self {
            Self::TooSlow => {
                (408, "request_too_slow", "the request did not arrive in time; send it faster")
            }
            Self::HeadTooLarge => {
                (431, "head_too_large", "the request head is too large; send fewer headers")
            }
            Self::BodyTooLarge => (413, "body_too_large", "the body is too large; send less"),
            Self::BadHead => {
                (400, "bad_request", "the request head is not HTTP/1.1; correct and send it again")
            }
            Self::TooMany => {
                (503, "too_many_connections", "too many connections; try again in a second")
            }
            Self::LastReply(bytes) => return Some(bytes),
            Self::Idle => return None,
        };
        Some(JsonReply::not_run(status, code, message).to_bytes())
    }
}

/// Relays one connection until it ends.
pub(super) async fn serve(
    mut client: TcpStream,
    library_address: SocketAddr,
    limits: ListenerLimits,
    table: Arc<ConnectionTable>,
) {
    if table.len() >= limits.max_connections as usize {
        // Limits refusals in progress, so that they can't use up the file descriptors.
        if let Some(_slot) = table.acquire_refusal_slot() {
            refuse(&mut client, CloseReason::TooMany).await;
        }
        return;
    }
    let relayed = relay(&mut client, library_address, &limits, &table).await;
    match relayed {
        Ok(Some(reason)) => refuse(&mut client, reason).await,
        Ok(None) => linger(&mut client).await,
        Err(error) => log::debug!("connection failed: {error}"),
    }
}

async fn relay(
    client: &mut TcpStream,
    library_address: SocketAddr,
    limits: &ListenerLimits,
    table: &ConnectionTable,
) -> Result<Option<CloseReason>> {
    client.set_nodelay(true)?;
    let mut server = TcpStream::connect(library_address).await?;
    server.set_nodelay(true)?;
    let address = server.local_addr()?;
    let state = Arc::new(ConnectionState::new());
    table.add(address, Arc::clone(&state));
    let _guard = TableGuard { table, address };
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.split();
    tokio::select! {
        result = copy_responses(&mut from_server, &mut to_client, &state, limits) => result,
        result = copy_requests(&mut from_client, &mut to_server, &state, limits) => result,
        reason = enforce_time_limits(&state, limits, table) => Ok(Some(reason)),
    }
}

/// Removes a connection from the table when its relay ends or is cancelled.
struct TableGuard<'a> {
    table: &'a ConnectionTable,
    address: SocketAddr,
}

impl Drop for TableGuard<'_> {
    fn drop(&mut self) {
        self.table.remove(self.address);
    }
}

/// Copies bytes from the caller to the library; returns only when the connection must be closed.
async fn copy_requests(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    state: &ConnectionState,
    limits: &ListenerLimits,
) -> Result<Option<CloseReason>> {
    loop {
        if let Some(reason) = wait_for_head(state, limits).await {
            return Ok(Some(reason));
        }
        let Some(chunk) = read_chunk(from).await? else { break };
        state.add_received(chunk.len());
        if state.exceeds_body() {
            return Ok(Some(CloseReason::BodyTooLarge));
        }
        if to.write_all(&chunk).await.is_err() {
            // The library closed its end; its remaining response bytes arrive through `copy_responses`.
            break;
        }
    }
    // A caller may close its write side and still read its response.
    let _ = to.shutdown().await;
    std::future::pending().await
}

/// Waits while the maximum number of head bytes is unread by the library.
async fn wait_for_head(state: &ConnectionState, limits: &ListenerLimits) -> Option<CloseReason> {
    let since = Instant::now();
    while state.unread_head_bytes() > limits.max_head_bytes {
        if since.elapsed() > HEAD_READ_GRACE {
            return Some(CloseReason::HeadTooLarge);
        }
        sleep(HEAD_CHECK_INTERVAL).await;
    }
    None
}

/// Copies bytes from the library to the caller until the library closes.
async fn copy_responses(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    state: &ConnectionState,
    limits: &ListenerLimits,
) -> Result<Option<CloseReason>> {
    loop {
        let Some(chunk) = read_chunk(from).await? else { break };
        if state.heads_read() == 0 {
            // The library has read no request, so this is its own error response, without a body.
            return Ok(Some(CloseReason::BadHead));
        }
        state.set_writing(true);
        let written = timeout(limits.write_timeout, to.write_all(&chunk)).await;
        state.set_writing(false);
        written
            .map_err(|_| Error::new(ErrorKind::TimedOut, "writing to the caller timed out"))??;
        state.add_sent(chunk.len());
    }
    let refused = state.heads_read() == 0 && state.received() > 0;
    Ok(refused.then_some(CloseReason::BadHead))
}

/// Next bytes; `None` at the end. Holds no buffer while it waits.
async fn read_chunk(from: &mut ReadHalf<'_>) -> Result<Option<Vec<u8>>> {
    loop {
        from.readable().await?;
        let mut buffer = [0_u8; COPY_BUFFER_BYTES];
        match from.try_read(&mut buffer) {
            Ok(0) => return Ok(None),
            Ok(count) => return Ok(Some(buffer[..count].to_vec())),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Checks the time limits until one is exceeded, and returns the reason.
async fn enforce_time_limits(
    state: &ConnectionState,
    limits: &ListenerLimits,
    table: &ConnectionTable,
) -> CloseReason {
    let mut quiet_checks = 0;
    let mut phase = (state.heads_read(), false, false);
    let mut since = Instant::now();
    let mut sent = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(reply) = state.take_last_reply() {
            return CloseReason::LastReply(reply);
        }
        quiet_checks =
            if state.is_flushing() && !state.is_writing() { quiet_checks + 1 } else { 0 };
        if quiet_checks >= QUIET_CHECKS {
            state.set_flushed();
        }
        if table.is_stopped() && state.is_idle() && !state.is_flushing() {
            return CloseReason::Idle;
        }
        let current = (state.heads_read(), state.is_receiving(), state.is_idle());
        if current != phase {
            (phase, since, sent) = (current, Instant::now(), state.sent());
            continue;
        }
        let (_, receiving, idle) = phase;
        if receiving && since.elapsed() >= limits.receive_timeout {
            // After a response has been sent, a second one could be taken for that of another request.
            return if state.sent() > sent { CloseReason::Idle } else { CloseReason::TooSlow };
        }
        if idle && since.elapsed() >= limits.idle_timeout {
            return CloseReason::Idle;
        }
    }
}

async fn refuse(client: &mut TcpStream, reason: CloseReason) {
    if !matches!(reason, CloseReason::LastReply(_)) {
        log::debug!("connection is closed: {reason:?}");
    }
    if let Some(reply) = reason.reply() {
        let _ = timeout(LINGER_TIME, client.write_all(&reply)).await;
    }
    linger(client).await;
}

/// Closes the write side, then drains input for a limited time: a close with unread input would
/// reset the connection, and the caller would lose a response that it has not read yet.
async fn linger(client: &mut TcpStream) {
    let _ = client.shutdown().await;
    let drain = async {
        let mut buffer = vec![0_u8; 4096];
        let mut left = LINGER_BYTES;
        while let Ok(count) = client.read(&mut buffer).await {
            if count == 0 || count > left {
                return;
            }
            left -= count;
        }
    };
    let _ = timeout(LINGER_TIME, drain).await;
}
