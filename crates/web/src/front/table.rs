//! All connections of one front, by the relay's own address.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::SortedTable;

use super::state::ConnectionState;

/// Callers that are told at one time that there are too many connections.
const MAX_REFUSALS: usize = 256;

/// Connections by the address under which the HTTP library sees them.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    connections: Mutex<SortedTable<SocketAddr, Arc<ConnectionState>>>,
    stopped: AtomicBool,
    refusals: AtomicUsize,
}

/// A place among the connections that are being refused.
#[derive(Debug)]
pub(super) struct RefusalPlace<'a>(&'a AtomicUsize);

impl Drop for RefusalPlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ConnectionTable {
    /// Adds a connection.
    pub(super) fn add(&self, address: SocketAddr, state: Arc<ConnectionState>) {
        self.lock().insert(address, state);
    }

    pub(super) fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// A place for telling one more caller why it is refused; `None` when many are told already.
    pub(super) fn begin_refusal(&self) -> Option<RefusalPlace<'_>> {
        let place = RefusalPlace(&self.refusals);
        (self.refusals.fetch_add(1, Ordering::SeqCst) < MAX_REFUSALS).then_some(place)
    }

    /// Connections open now.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// The connection that the library sees under `address`.
    pub(crate) fn find(&self, address: SocketAddr) -> Option<Arc<ConnectionState>> {
        self.lock().get(&address).cloned()
    }

    /// Whether a connection has brought bytes for `age` without the library reading them.
    pub(super) fn has_unseen(&self, age: Duration) -> bool {
        self.lock().values().any(|state| state.is_unseen(age))
    }

    /// Connections whose last answer may still be on its way.
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
