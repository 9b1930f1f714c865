//! What a control host counts about the replicated log.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use briartray_control::agreement::{AgreementCore, MemberRole};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Shortest sync that has a bucket of its own, in seconds.
const SYNC_BUCKET_START: f64 = 0.0001;

/// Buckets for the time of a sync; each is twice as long as the one before.
const SYNC_BUCKETS: u16 = 16;

type NumberGauge = Gauge<u64, AtomicU64>;

/// Metrics of the replicated log.
#[derive(Debug, Clone)]
pub struct AgreementMetrics {
    term: NumberGauge,
    leads: NumberGauge,
    seated: NumberGauge,
    commit: NumberGauge,
    last: NumberGauge,
    durable: NumberGauge,
    sync: Histogram,
    restores: Counter,
}

impl AgreementMetrics {
    /// Makes the metrics and adds them to `registry`.
    pub fn register(registry: &mut Registry) -> Self {
        let buckets = exponential_buckets(SYNC_BUCKET_START, 2.0, SYNC_BUCKETS);
        let metrics = Self {
            term: NumberGauge::default(),
            leads: NumberGauge::default(),
            seated: NumberGauge::default(),
            commit: NumberGauge::default(),
            last: NumberGauge::default(),
            durable: NumberGauge::default(),
            sync: Histogram::new(buckets),
            restores: Counter::default(),
        };
        let group = registry.sub_registry_with_prefix("agreement");
        group.register("term", "Current term", metrics.term.clone());
        group.register("leads", "Whether this host leads", metrics.leads.clone());
        group.register("seated", "Whether the data folder may vote", metrics.seated.clone());
        group.register("commit_index", "Last committed entry known", metrics.commit.clone());
        group.register("last_index", "Last entry of the log", metrics.last.clone());
        group.register("durable_index", "Last entry synced here", metrics.durable.clone());
        group.register("sync_seconds", "Time of one write and sync", metrics.sync.clone());
        group.register("restores", "Snapshots adopted", metrics.restores.clone());
        metrics
    }

    /// Takes over where `core` stands.
    pub fn update(&self, core: &AgreementCore) {
        let role = core.role();
        self.term.set(core.term().0);
        self.leads.set(u64::from(role == MemberRole::Leader));
        self.seated.set(u64::from(role != MemberRole::Learner));
        self.commit.set(core.commit().0);
        self.last.set(core.last_index().0);
        self.durable.set(core.durable().0);
    }

    /// Counts one write and sync.
    pub fn record_sync(&self, time: Duration) {
        self.sync.observe(time.as_secs_f64());
    }

    /// Counts a snapshot that replaced the state.
    pub fn record_restore(&self) {
        self.restores.inc();
    }
}
