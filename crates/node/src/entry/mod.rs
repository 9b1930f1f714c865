//! The entry role: takes callers' requests, decides, and relays to a group's first host.

mod api;
mod attempt;
mod call;
mod claims;
mod crashes;
mod decide;
mod gate;
mod once;
mod output;
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

/// Time to connect to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time between two looks at the requests that are left.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// How long a stopping entry may take to give its lease back.
const GOODBYE_WAIT: Duration = Duration::from_millis(1500);

/// A running entry role.
pub struct EntryNode {
    listener: HttpListener,
    shared: Arc<EntryShared>,
    watch_end: Receiver<()>,
}

impl EntryNode {
    /// Starts the entry.
    ///
    /// # Errors
    /// A `DaemonError` when its port cannot be used.
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
        let watch_end = watch::start(Arc::clone(&shared), peers)?;
        let calls = Arc::clone(&shared);
        let handler = Arc::new(move |request| api::handle(request, &calls));
        let listener = HttpListener::start(role.listen, role.max_open_requests, handler)?;
        Ok(Self { listener, shared, watch_end })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Whether the entry would take a request now.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Whole groups of `service` as the entry knows them.
    pub fn whole_groups(&self, service: &str) -> usize {
        let view = self.shared.view();
        let groups = view.snapshot.groups.iter();
        groups.filter(|record| record.whole && record.service.as_str() == service).count()
    }

    /// Says that it is not ready, goes on for `notice` so that the balancer sees it, then refuses
    /// new requests and finishes open ones. Returns when none is left, or after `limit`; `false`
    /// when some were left.
    pub fn drain(&self, notice: Duration, limit: Duration) -> bool {
        let started = Instant::now();
        self.shared.announce_stop();
        std::thread::sleep(notice.min(limit));
        self.shared.stop();
        while started.elapsed() < limit {
            if self.listener.open_requests() == 0 {
                return true;
            }
            std::thread::sleep(DRAIN_CHECK);
        }
        false
    }

    /// Takes no more requests; those that run go on.
    pub fn stop(&self) {
        self.shared.stop();
        self.shared.finish();
        // The watch gives the lease back; without that, changes would wait for it to run out.
        let _ = self.watch_end.recv_timeout(GOODBYE_WAIT);
        self.listener.stop();
    }
}
