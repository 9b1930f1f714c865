//! The entry role: accepts callers' requests, applies the rules, and relays each admitted request
//! to the first host of a group.

mod api;
mod attempt;
mod call;
mod claims;
mod decide;
mod gate;
mod idempotency;
mod output;
mod quarantine;
mod refusal;
mod shared;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briartray_link::{ClientSettings, LinkClient};
use briartray_model::settings::{DaemonSettings, EntrySettings};
use briartray_web::HttpListener;
use crossbeam::channel::Receiver;

pub use refusal::{CallRefusal, RefusalCode};

use self::claims::ClaimClient;
use self::shared::EntryShared;
use crate::DaemonError;
use crate::metrics::MetricsHub;
use crate::trace::TraceHub;

/// Timeout for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval at which a draining entry checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time that a stopping entry waits for its lease to be returned.
const LEASE_RETURN_TIMEOUT: Duration = Duration::from_millis(1500);

/// A running entry role.
pub struct EntryNode {
    listener: HttpListener,
    shared: Arc<EntryShared>,
    watch_ended: Receiver<()>,
}

impl EntryNode {
    /// Starts the listener and the threads of the entry.
    ///
    /// # Errors
    /// A `DaemonError` when the port cannot be used or a thread cannot start.
    pub fn start(
        settings: &DaemonSettings,
        role: &EntrySettings,
        metrics: &MetricsHub,
        traces: &TraceHub,
    ) -> Result<Self, DaemonError> {
        let link = LinkClient::start(
            "entry-link",
            ClientSettings {
                token: settings.cluster.token.clone(),
                connect_timeout: CONNECT_TIMEOUT,
            },
        )?;
        let peers: Vec<_> = settings.cluster.control.iter().map(|peer| peer.link).collect();
        let claims = ClaimClient::start(link.clone(), peers.clone())?;
        let shared = Arc::new(EntryShared::new(settings, role, link, claims, metrics, traces)?);
        let watch_ended = watch::start(Arc::clone(&shared), peers)?;
        let calls = Arc::clone(&shared);
        let handler = Arc::new(move |request| api::handle(request, &calls));
        let listener = HttpListener::start(role.listen, role.max_open_requests, handler)?;
        Ok(Self { listener, shared, watch_ended })
    }

    /// Address on which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Whether the entry accepts requests now, as reported on `/readyz`.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Number of whole groups of `service` in the entry's routing snapshot.
    pub fn whole_groups(&self, service: &str) -> usize {
        let view = self.shared.view();
        let groups = view.snapshot.groups.iter();
        groups.filter(|record| record.whole && record.service.as_str() == service).count()
    }

    /// Drains the entry: reports it as not ready, keeps serving for `notice` so that the load
    /// balancer sees this, then refuses new requests and waits for the open ones to finish.
    ///
    /// Returns `true` once no request is open, and `false` when some still are after `limit`.
    pub fn drain(&self, notice: Duration, limit: Duration) -> bool {
        let started = Instant::now();
        self.shared.announce_stop();
        std::thread::sleep(notice.min(limit));
        self.shared.stop();
        while started.elapsed() < limit {
            if self.listener.open_requests() == 0 {
                return true;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        false
    }

    /// Accepts no more requests and returns the rules lease; running requests continue.
    pub fn stop(&self) {
        self.shared.stop();
        self.shared.finish();
        // The watch thread returns the lease; otherwise rule changes would wait until it expires.
        let _ = self.watch_ended.recv_timeout(LEASE_RETURN_TIMEOUT);
        self.listener.stop();
    }
}
