//! Relaying one connection under the limits.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep, timeout};

use super::limits::FrontLimits;
use super::state::ConnectionState;
use super::table::ConnectionTable;
use crate::reply::JsonReply;

/// Most bytes moved at one time.
const PIECE_BYTES: usize = 16 * 1024;

/// Time between two looks at the limits.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Looks without a write after which the last answer counts as delivered to the caller's socket.
const QUIET_LOOKS: u32 = 2;

/// Time that the library gets to read a head of the largest size.
const HEAD_GRACE: Duration = Duration::from_secs(1);

/// Pause before the library is asked again whether it has read the head.
const HEAD_PAUSE: Duration = Duration::from_millis(2);

/// Time and bytes for which a refused caller is still read, so that it sees its answer.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Bytes that a refused caller may still send.
const LINGER_BYTES: usize = 1024 * 1024;

/// Why a connection is closed by the front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    TooSlow,
    HeadTooLarge,
    BadHead,
    TooMany,
    Idle,
}

impl CloseReason {
    fn reply(self) -> Option<JsonReply> {
        let (status, code, message) = match self {
            Self::TooSlow => {
                (408, "request_too_slow", "the request did not arrive in time; send it faster")
            }
            Self::HeadTooLarge => {
                (431, "head_too_large", "the request head is too large; send fewer headers")
            }
            Self::BadHead => {
                (400, "bad_request", "the request head is not HTTP/1.1; correct and send it again")
            }
            Self::TooMany => {
                (503, "too_many_connections", "too many connections; try again in a second")
            }
            Self::Idle => return None,
        };
        Some(JsonReply::not_run(status, code, message))
    }
}

/// Relays one connection until it ends.
pub(super) async fn serve(
    mut client: TcpStream,
    inner: SocketAddr,
    limits: FrontLimits,
    table: Arc<ConnectionTable>,
) {
    if table.len() >= limits.connections as usize {
        // A flood of refused callers must not take the descriptors that others need.
        if let Some(_place) = table.begin_refusal() {
            refuse(&mut client, CloseReason::TooMany).await;
        }
        return;
    }
    let relayed = relay(&mut client, inner, &limits, &table).await;
    match relayed {
        Ok(Some(reason)) => refuse(&mut client, reason).await,
        Ok(None) => linger(&mut client).await,
        Err(error) => log::debug!("a connection broke: {error}"),
    }
}

async fn relay(
    client: &mut TcpStream,
    inner: SocketAddr,
    limits: &FrontLimits,
    table: &ConnectionTable,
) -> Result<Option<CloseReason>> {
    client.set_nodelay(true)?;
    let mut server = TcpStream::connect(inner).await?;
    server.set_nodelay(true)?;
    let address = server.local_addr()?;
    let state = Arc::new(ConnectionState::new());
    table.add(address, Arc::clone(&state));
    let _entry = TableEntry { table, address };
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.split();
    tokio::select! {
        ended = pump_down(&mut from_server, &mut to_client, &state, limits) => ended,
        ended = pump_up(&mut from_client, &mut to_server, &state, limits) => ended,
        reason = watch(&state, limits, table) => Ok(Some(reason)),
    }
}

/// Takes a connection out of the table however its relay ends.
struct TableEntry<'a> {
    table: &'a ConnectionTable,
    address: SocketAddr,
}

impl Drop for TableEntry<'_> {
    fn drop(&mut self) {
        self.table.remove(self.address);
    }
}

/// Caller to library; ends only when the connection must.
async fn pump_up(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    state: &ConnectionState,
    limits: &FrontLimits,
) -> Result<Option<CloseReason>> {
    loop {
        if let Some(reason) = wait_for_head(state, limits).await {
            return Ok(Some(reason));
        }
        let Some(piece) = read_piece(from).await? else { break };
        state.add_received(piece.len());
        if to.write_all(&piece).await.is_err() {
            // The library closed; what it still had to say comes the other way.
            break;
        }
    }
    // A caller may close its side and still read its answer.
    let _ = to.shutdown().await;
    std::future::pending().await
}

/// Holds the caller back while a head of the largest size is not read.
async fn wait_for_head(state: &ConnectionState, limits: &FrontLimits) -> Option<CloseReason> {
    let since = Instant::now();
    while state.head_pending() > limits.head_bytes {
        if since.elapsed() > HEAD_GRACE {
            return Some(CloseReason::HeadTooLarge);
        }
        sleep(HEAD_PAUSE).await;
    }
    None
}

/// Library to caller, until the library closes.
async fn pump_down(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    state: &ConnectionState,
    limits: &FrontLimits,
) -> Result<Option<CloseReason>> {
    loop {
        let Some(piece) = read_piece(from).await? else { break };
        if state.seen() == 0 {
            // No request came of it, so this is the library's own refusal, without a body.
            return Ok(Some(CloseReason::BadHead));
        }
        state.set_writing(true);
        let written = timeout(limits.write_time, to.write_all(&piece)).await;
        state.set_writing(false);
        written.map_err(|_| Error::new(ErrorKind::TimedOut, "the caller does not read"))??;
        state.add_sent(piece.len());
    }
    let refused = state.seen() == 0 && state.received() > 0;
    Ok(refused.then_some(CloseReason::BadHead))
}

/// The next bytes; `None` at the end. Keeps no buffer while it waits.
async fn read_piece(from: &mut ReadHalf<'_>) -> Result<Option<Vec<u8>>> {
    loop {
        from.readable().await?;
        let mut buffer = [0_u8; PIECE_BYTES];
        match from.try_read(&mut buffer) {
            Ok(0) => return Ok(None),
            Ok(count) => return Ok(Some(buffer[..count].to_vec())),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Looks after the time limits; ends when one is passed.
async fn watch(
    state: &ConnectionState,
    limits: &FrontLimits,
    table: &ConnectionTable,
) -> CloseReason {
    let mut quiet = 0;
    let mut phase = (state.seen(), false, false);
    let mut since = Instant::now();
    let mut sent = 0;
    loop {
        sleep(WATCH_INTERVAL).await;
        quiet = if state.is_flushing() && !state.is_writing() { quiet + 1 } else { 0 };
        if quiet >= QUIET_LOOKS {
            state.set_flushed();
        }
        if table.is_stopped() && state.is_idle() && !state.is_flushing() {
            return CloseReason::Idle;
        }
        let current = (state.seen(), state.is_receiving(), state.is_idle());
        if current != phase {
            (phase, since, sent) = (current, Instant::now(), state.sent());
            continue;
        }
        let (_, receiving, idle) = phase;
        if receiving && since.elapsed() >= limits.receive_time {
            // A caller that has been answered already would take a second answer for another's.
            return if state.sent() > sent { CloseReason::Idle } else { CloseReason::TooSlow };
        }
        if idle && since.elapsed() >= limits.idle_time {
            return CloseReason::Idle;
        }
    }
}

async fn refuse(client: &mut TcpStream, reason: CloseReason) {
    if let Some(reply) = reason.reply() {
        log::debug!("a connection was refused: {reason:?}");
        let _ = timeout(LINGER_TIME, client.write_all(&reply.to_bytes())).await;
    }
    linger(client).await;
}

/// Closes our side, then reads on for a moment: a close with unread bytes would reset the
/// connection, and the caller would lose the answer that it has not read yet.
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
