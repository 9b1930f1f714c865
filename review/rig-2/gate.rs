//! Proxies on the links between control hosts, which cut one host off.
//!
//! Each control host has a link port of its own, and connects to all others at that port. So the proxy
//! for connections from one host to another listens at the address of the other one and the port of the
//! first. A cut is silent: bytes are held up, and no connection ends.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Pause between two looks at the cut.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The links between one host and all others.
#[derive(Clone, Default)]
pub struct LinkGate {
    is_cut: Arc<AtomicBool>,
}

impl LinkGate {
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Forwards connections from `listen` to `target`. They can be cut if they are `gated`.
    ///
    /// # Errors
    /// Why `listen` cannot be used.
    pub fn forward(&self, listen: SocketAddr, target: SocketAddr, gated: bool) -> Result<(), String> {
        let listener = TcpListener::bind(listen).map_err(|error| error.to_string())?;
        let gate = if gated { self.clone() } else { Self::default() };
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let gate = gate.clone();
                std::thread::spawn(move || gate.serve(stream, target));
            }
        });
        Ok(())
    }

    fn serve(&self, stream: TcpStream, target: SocketAddr) {
        self.wait();
        let Ok(other) = TcpStream::connect(target) else {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        };
        let (Ok(from), Ok(to)) = (stream.try_clone(), other.try_clone()) else { return };
        let gate = self.clone();
        std::thread::spawn(move || gate.copy(other, stream));
        self.copy(from, to);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = to.set_nodelay(true);
        let mut buffer = [0; 16 * 1024];
        while let Ok(count) = from.read(&mut buffer) {
            self.wait();
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Waits while the links are cut.
    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
