//! Open connections of one listener.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::SortedTable;

use super::state::ConnectionState;

/// Maximum number of refusal responses in progress when there are too many connections.
const MAX_REFUSALS: usize = 256;

/// Connections by the loopback address that the HTTP library sees as their peer.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    connections: Mutex<SortedTable<SocketAddr, Arc<ConnectionState>>>,
    stopped: AtomicBool,
    refusals: AtomicUsize,
}

/// Slot for one refusal in progress, released when dropped.
#[derive(Debug)]
pub(super) struct RefusalSlot<'a>(&'a AtomicUsize);

impl Drop for RefusalSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ConnectionTable {
    pub(super) fn add(&self, address: SocketAddr, state: Arc<ConnectionState>) {
        self.lock().insert(address, state);
    }

    pub(super) fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Slot for one more refusal; `None` when the maximum is in progress.
    pub(super) fn acquire_refusal_slot(&self) -> Option<RefusalSlot<'_>> {
        let slot = RefusalSlot(&self.refusals);
        (self.refusals.fetch_add(1, Ordering::SeqCst) < MAX_REFUSALS).then_some(slot)
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Connection whose peer address at the library is `address`.
    pub(crate) fn find(&self, address: SocketAddr) -> Option<Arc<ConnectionState>> {
        self.lock().get(&address).cloned()
    }

    /// Whether a connection older than `age` has bytes that the library has not read.
    pub(super) fn has_unread(&self, age: Duration) -> bool {
        self.lock().values().any(|state| state.is_unread(age))
    }

    /// Number of connections whose last response may still be in transit.
    pub(crate) fn flushing(&self) -> usize {
        self.lock().values().filter(|state| state.is_flushing()).count()
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn lock(&self) -> MutexGuard<'_, SortedTable<SocketAddr, Arc<ConnectionState>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
