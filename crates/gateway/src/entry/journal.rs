//! What an entry writes and counts about requests, so that a failed one can be explained later.
//!
//! Each decision that touches a request is one line with the request's id and what decided it. A
//! line costs as much as passing on some events, and when thousands are refused they say the same,
//! so there is a bound of lines a second; what is left out is counted and told.

use std::cell::Cell;

use briartray_model::TimePoint;
use briartray_node::metrics::OutcomeLabel;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Lines about requests that one entry writes in a second; the rest is counted.
const LINES_PER_SECOND: u32 = 40;

/// Shortest time with a bucket of its own, in seconds.
const FIRST_BUCKET: f64 = 0.01;

/// Buckets of times; each is half as long again as the one before, up to 7 s.
const TIME_BUCKETS: u16 = 17;

/// Bounds the lines about requests.
#[derive(Debug, Default)]
pub(super) struct LineBudget {
    second: Cell<u64>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl LineBudget {
    /// Whether a line may be written at `now`.
    pub(super) fn allows(&self, now: TimePoint) -> bool {
        let second = now.0 / 1_000_000;
        if self.second.replace(second) != second {
            self.written.set(0);
            let left_out = self.left_out.take();
            if left_out > 0 {
                log::info!(left_out; "lines about requests were left out");
            }
        }
        if self.written.get() >= LINES_PER_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return false;
        }
        self.written.set(self.written.get() + 1);
        true
    }
}

/// Counters and times of one entry.
#[derive(Debug, Clone)]
pub(super) struct EntryMetrics {
    requests: Family<OutcomeLabel, Counter>,
    attempts: Family<OutcomeLabel, Counter>,
    late: Family<OutcomeLabel, Counter>,
    /// Streams that went on at another replica.
    pub(super) resumed: Counter,
    /// Streams that were cut off.
    pub(super) cut: Counter,
    /// Endpoints that crashed while requests of this entry ran there.
    pub(super) crashes: Counter,
    /// Endpoints that name a limit, as far as this entry knows.
    pub(super) limited: Gauge,
    /// Requests in quarantine, as far as this entry knows.
    pub(super) quarantined: Gauge,
    /// Time from a request's arrival to the first part of its answer.
    pub(super) first_part: Histogram,
    /// Version of the declaration in force here.
    pub(super) plan: Gauge,
    /// Time left of the lease at its last renewal, in milliseconds.
    pub(super) lease_left: Gauge,
    /// Requests in progress.
    pub(super) running: Gauge,
}

impl EntryMetrics {
    /// Makes the metrics and adds them to `registry`.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET, 1.5, TIME_BUCKETS);
        let metrics = Self {
            requests: Family::default(),
            attempts: Family::default(),
            late: Family::default(),
            resumed: Counter::default(),
            cut: Counter::default(),
            crashes: Counter::default(),
            limited: Gauge::default(),
            quarantined: Gauge::default(),
            first_part: Histogram::new(buckets),
            plan: Gauge::default(),
            lease_left: Gauge::default(),
            running: Gauge::default(),
        };
        let entry = registry.sub_registry_with_prefix("entry");
        entry.register("requests", "Requests by how they ended", metrics.requests.clone());
        entry.register("attempts", "Attempts by how they ended", metrics.attempts.clone());
        entry.register("streams_late", "Late streams by cause", metrics.late.clone());
        let help = "Streams that went on at another replica";
        entry.register("streams_resumed", help, metrics.resumed.clone());
        entry.register("streams_cut", "Streams that were cut off", metrics.cut.clone());
        let help = "Endpoints that crashed while requests of this entry ran there";
        entry.register("endpoint_crashes", help, metrics.crashes.clone());
        let help = "Endpoints that name a limit, as far as this entry knows";
        entry.register("limited_endpoints", help, metrics.limited.clone());
        let help = "Requests in quarantine, as far as this entry knows";
        entry.register("quarantined", help, metrics.quarantined.clone());
        let help = "Time to the first part of an answer";
        entry.register("first_part_seconds", help, metrics.first_part.clone());
        entry.register("plan_version", "Declaration in force", metrics.plan.clone());
        let help = "Time left of the lease when it was last renewed";
        entry.register("lease_left_ms", help, metrics.lease_left.clone());
        entry.register("running", "Requests in progress", metrics.running.clone());
        metrics
    }

    /// Counts one request that ended as `outcome`.
    pub(super) fn ended(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts one attempt that ended as `outcome`.
    pub(super) fn attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts one stream that was late because of `cause`.
    pub(super) fn late(&self, cause: &'static str) {
        self.late.get_or_create(&OutcomeLabel { outcome: cause }).inc();
    }
}
