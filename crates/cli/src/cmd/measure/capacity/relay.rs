//! A relay on loopback that counts what passes.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use briartray_web::{WORKER_STACK_BYTES, spawn_worker};

/// Bytes that are copied at one time.
const COPY_BYTES: usize = 16 * 1024;

/// A relay in front of one address.
pub(super) struct CountingRelay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl CountingRelay {
    /// Starts a relay to `target`.
    pub(super) fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let (count, stop) = (Arc::clone(&bytes), Arc::clone(&stopped));
        spawn_worker("relay", WORKER_STACK_BYTES, move || {
            for caller in listener.incoming().flatten() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                if let Err(error) = join(caller, target, &count) {
                    log::debug!("relay could not connect: {error}");
                }
            }
        })?;
        Ok(Self { address, bytes, stopped })
    }

    /// Where to connect instead of the target.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes passed so far, both ways.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for CountingRelay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // One connection wakes the thread that accepts.
        drop(TcpStream::connect(self.address));
    }
}

fn join(caller: TcpStream, target: SocketAddr, count: &Arc<AtomicU64>) -> std::io::Result<()> {
    let peer = TcpStream::connect(target)?;
    caller.set_nodelay(true)?;
    peer.set_nodelay(true)?;
    let (caller_back, peer_back) = (caller.try_clone()?, peer.try_clone()?);
    let (forth, back) = (Arc::clone(count), Arc::clone(count));
    spawn_worker("relay-forth", WORKER_STACK_BYTES, move || copy(caller, peer, &forth))?;
    spawn_worker("relay-back", WORKER_STACK_BYTES, move || copy(peer_back, caller_back, &back))?;
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut buffer = vec![0; COPY_BYTES];
    while let Ok(read) = from.read(&mut buffer) {
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
        count.fetch_add(read as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
