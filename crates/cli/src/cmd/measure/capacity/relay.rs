//! A TCP relay on loopback that counts the bytes it copies.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use briartray_web::{WORKER_STACK_BYTES, spawn_worker};

/// Size of the copy buffer.
const COPY_BYTES: usize = 16 * 1024;

/// A relay to one target address; dropping it stops accepting connections.
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
                if let Err(error) = relay_connection(caller, target, &count) {
                    log::debug!(
                        "relay could not connect to its target; connection dropped: {error}"
                    );
                }
            }
        })?;
        Ok(Self { address, bytes, stopped })
    }

    /// Address to connect to instead of the target.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes copied so far, in both directions.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for CountingRelay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // A connection unblocks the accepting thread, which then sees the flag.
        drop(TcpStream::connect(self.address));
    }
}

fn relay_connection(
    caller: TcpStream,
    target: SocketAddr,
    count: &Arc<AtomicU64>,
) -> std::io::Result<()> {
    let peer = TcpStream::connect(target)?;
    caller.set_nodelay(true)?;
    peer.set_nodelay(true)?;
    let (caller_back, peer_back) = (caller.try_clone()?, peer.try_clone()?);
    let (forth, back) = (Arc::clone(count), Arc::clone(count));
    spawn_worker("relay-forth", WORKER_STACK_BYTES, move || copy_counted(caller, peer, &forth))?;
    spawn_worker("relay-back", WORKER_STACK_BYTES, move || {
        copy_counted(peer_back, caller_back, &back)
    })?;
    Ok(())
}

fn copy_counted(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
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
