//! A relay between two processes that can lose track of its connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use briartray_web::{WORKER_STACK_BYTES, spawn_worker};

/// Bytes moved at one time.
const PIECE_BYTES: usize = 16 * 1024;

/// How long the other half of a forgotten connection stays open after one half has ended.
const FORGOTTEN_HOLD: Duration = Duration::from_secs(60);

/// Time to connect to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Passes connections on to a target until told to forget them.
///
/// What stands between two hosts may drop the state of a connection: both ends keep it open, and
/// whatever they send is swallowed without an error. New connections work.
#[derive(Debug)]
pub struct PathRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

#[derive(Debug)]
struct RelayState {
    target: Mutex<Option<SocketAddr>>,
    /// Connections numbered below this are forgotten.
    forgotten: AtomicU64,
    /// Connections numbered below this carry nothing towards the target.
    muted: AtomicU64,
    next: AtomicU64,
}

impl PathRelay {
    /// Listens on a free port of loopback.
    ///
    /// # Errors
    /// No port or thread is to be had.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState {
            target: Mutex::new(None),
            forgotten: AtomicU64::new(0),
            muted: AtomicU64::new(0),
            next: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        spawn_worker("relay", WORKER_STACK_BYTES, move || accept_all(&listener, &shared))?;
        Ok(Self { address, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where connections are passed on to.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Swallows everything on the connections that are open now, in both directions.
    pub fn forget_open(&self) {
        let next = self.state.next.load(Ordering::SeqCst);
        self.state.forgotten.store(next, Ordering::SeqCst);
    }

    /// Swallows what goes towards the target, on open and on new connections.
    pub fn mute(&self) {
        self.state.muted.store(u64::MAX, Ordering::SeqCst);
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
        log::error!("cannot relay a connection: {error}; raise the thread limit");
    }
}

fn copy_all(
    state: &RelayState,
    number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
    towards_target: bool,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = from.read(&mut piece);
        if number < state.forgotten.load(Ordering::SeqCst) {
            if matches!(read, Ok(0) | Err(_)) {
                // Not even the end of the connection is passed on.
                std::thread::sleep(FORGOTTEN_HOLD);
                return;
            }
            continue;
        }
        match read {
            Ok(0) | Err(_) => break,
            Ok(_) if towards_target && number < state.muted.load(Ordering::SeqCst) => {}
            Ok(count) if to.write_all(&piece[..count]).is_ok() => {}
            Ok(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
