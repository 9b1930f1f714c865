//! TCP relay between two processes that can black-hole its connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use briartray_web::{WORKER_STACK_BYTES, spawn_worker};

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 16 * 1024;

/// How long the other half of a black-holed connection stays open after one half has closed.
const BLACK_HOLE_CLOSE_DELAY: Duration = Duration::from_secs(60);

/// Time limit for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// TCP relay that forwards connections to a target and can black-hole them on request.
///
/// This simulates a middlebox, such as a firewall, that drops its state of open connections: both
/// ends keep the connection open, and whatever they send is lost without an error. New connections
/// work.
#[derive(Debug)]
pub struct PathRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

#[derive(Debug)]
struct RelayState {
    target: Mutex<Option<SocketAddr>>,
    /// Connections with a lower number are black-holed in both directions.
    black_holed_below: AtomicU64,
    /// Connections with a lower number carry nothing towards the target.
    muted_below: AtomicU64,
    /// Number of the next connection.
    next: AtomicU64,
}

impl PathRelay {
    /// Starts a relay on a free loopback port. Connections are dropped until a target is set.
    ///
    /// # Errors
    /// I/O error if no port or thread is available.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState {
            target: Mutex::new(None),
            black_holed_below: AtomicU64::new(0),
            muted_below: AtomicU64::new(0),
            next: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        spawn_worker("relay", WORKER_STACK_BYTES, move || accept_all(&listener, &shared))?;
        Ok(Self { address, state })
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Discards all data on the connections that are open now, in both directions.
    pub fn black_hole_open(&self) {
        let next = self.state.next.load(Ordering::SeqCst);
        self.state.black_holed_below.store(next, Ordering::SeqCst);
    }

    /// Discards all data towards the target, on open and on new connections.
    pub fn discard_outbound(&self) {
        self.state.muted_below.store(u64::MAX, Ordering::SeqCst);
    }
}

fn accept_all(listener: &TcpListener, state: &Arc<RelayState>) {
    for socket in listener.incoming() {
        let Ok(caller) = socket else { continue };
        let target = *state.target.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(target) = target else { continue };
        let Ok(callee) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else { continue };
        let number = state.next.fetch_add(1, Ordering::SeqCst);
        let (Ok(caller_back), Ok(callee_back)) = (caller.try_clone(), callee.try_clone()) else {
            continue;
        };
        for socket in [&caller, &callee] {
            let _ = socket.set_nodelay(true);
        }
        start_copy(Arc::clone(state), number, caller, callee, true);
        start_copy(Arc::clone(state), number, callee_back, caller_back, false);
    }
}

fn start_copy(
    state: Arc<RelayState>,
    number: u64,
    from: TcpStream,
    to: TcpStream,
    towards_target: bool,
) {
    let copy = move || copy_all(&state, number, from, to, towards_target);
    if let Err(error) = spawn_worker("relay-copy", WORKER_STACK_BYTES, copy) {
        log::error!("cannot start a relay thread: {error}; raise the thread limit");
    }
}

fn copy_all(
    state: &RelayState,
    number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
    towards_target: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer);
        if number < state.black_holed_below.load(Ordering::SeqCst) {
            if matches!(read, Ok(0) | Err(_)) {
                // The close is not forwarded either.
                std::thread::sleep(BLACK_HOLE_CLOSE_DELAY);
                return;
            }
            continue;
        }
        match read {
            Ok(0) | Err(_) => break,
            Ok(_) if towards_target && number < state.muted_below.load(Ordering::SeqCst) => {}
            Ok(count) if to.write_all(&buffer[..count]).is_ok() => {}
            Ok(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
