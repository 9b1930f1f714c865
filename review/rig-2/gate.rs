//! Proxies on the links between control hosts, which cut pairs of hosts.
//!
//! Each control host has a link port of its own, and connects to all others at that port. So the proxy
//! for connections from one host to another listens at the address of the other one and the port of the
//! first. A cut is silent: bytes are held up, and no connection ends.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Pause between two looks at the cut.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The links between control hosts, by pair.
pub struct LinkGates {
    gates: Vec<((u8, u8), LinkGate)>,
}

impl LinkGates {
    /// Creates a gate for each pair of hosts with numbers from 1 to `hosts`.
    pub fn new(hosts: u8) -> Self {
        let pairs = (1..=hosts).flat_map(|a| (a + 1..=hosts).map(move |b| (a, b)));
        Self { gates: pairs.map(|pair| (pair, LinkGate::default())).collect() }
    }

    /// The gate between two hosts; one that is never cut for any other pair.
    pub fn between(&self, one: u8, other: u8) -> LinkGate {
        let pair = (one.min(other), one.max(other));
        let found = self.gates.iter().find(|(known, _)| *known == pair);
        found.map(|(_, gate)| gate.clone()).unwrap_or_default()
    }

    /// Cuts or restores all links of a host.
    pub fn set_host_cut(&self, host: u8, is_cut: bool) {
        for (_, gate) in self.gates.iter().filter(|((a, b), _)| *a == host || *b == host) {
            gate.set_cut(is_cut);
        }
    }
}

/// The links between two hosts.
#[derive(Clone, Default)]
pub struct LinkGate {
    is_cut: Arc<AtomicBool>,
    /// Number of times that held bytes were dropped.
    drops: Arc<AtomicU32>,
}

impl LinkGate {
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Closes the connections whose bytes are held up, without delivering these, as for a sender that
    /// has lost its power.
    pub fn drop_held(&self) {
        self.drops.fetch_add(1, Ordering::SeqCst);
    }

    /// Forwards connections from `listen` to `target`.
    ///
    /// # Errors
    /// Why `listen` cannot be used.
    pub fn forward(&self, listen: SocketAddr, target: SocketAddr) -> Result<(), String> {
        let listener = TcpListener::bind(listen).map_err(|error| error.to_string())?;
        let gate = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let gate = gate.clone();
                std::thread::spawn(move || gate.serve(stream, target));
            }
        });
        Ok(())
    }

    fn serve(&self, stream: TcpStream, target: SocketAddr) {
        let other = if self.wait() { TcpStream::connect(target).ok() } else { None };
        let Some(other) = other else {
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
            if !self.wait() || count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Waits while the links are cut; returns whether to go on.
    fn wait(&self) -> bool {
        let drops = self.drops.load(Ordering::SeqCst);
        while self.is_cut.load(Ordering::SeqCst) {
            if self.drops.load(Ordering::SeqCst) != drops {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }
}
