//! State shared by the entry's threads.
//!
//! Rules and routing are an immutable view that is swapped atomically as a whole; the load of
//! replicas changes with every request and is kept under a lock.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use briartray_control::lease::{HolderState, LeaseWindow};
use briartray_link::LinkClient;
use briartray_model::message::{AllowanceGrant, AllowanceReport, RoutingSnapshot};
use briartray_model::names::{NodeName, ServiceName, ZoneName};
use briartray_model::rules::RuleBook;
use briartray_model::settings::{DaemonSettings, EntrySettings, UnconfirmedPolicy};
use briartray_model::{SortedTable, TimePoint};
use briartray_routing::choice::ReplicaTable;
use briartray_routing::retry::{MAX_REPORTED_SERVICES, RetryBudget};

use super::claims::ClaimClient;
use super::gate::AdmissionGate;
use super::quarantine::QuarantineClient;
use crate::metrics::{AdmissionMetrics, MetricsHub, ProcessMetrics, RequestMetrics};
use crate::trace::TraceHub;
use crate::{ClockReader, new_incarnation};

/// Share of the open requests that may wait or run, in percent.
///
/// The rest is reserved for requests that are refused immediately, so that a full entry still
/// answers.
const MAX_HELD_PERCENT: u32 = 90;

/// The rules and routing data that the entry decides on.
#[derive(Debug, Default)]
pub(super) struct EntryView {
    pub(super) snapshot: Arc<RoutingSnapshot>,
    pub(super) book: Arc<RuleBook>,
    /// Lease window in which the rules may be used; `None` before the first confirmation.
    pub(super) window: Option<LeaseWindow>,
}

/// State shared between the threads of one entry.
pub(super) struct EntryShared {
    pub(super) node: NodeName,
    /// Random identity of this run of the process.
    pub(super) incarnation: u64,
    pub(super) zone: ZoneName,
    pub(super) settings: EntrySettings,
    pub(super) clock: ClockReader,
    pub(super) link: LinkClient,
    pub(super) claims: ClaimClient,
    pub(super) hub: MetricsHub,
    pub(super) metrics: RequestMetrics,
    pub(super) process_metrics: ProcessMetrics,
    pub(super) traces: TraceHub,
    view: ArcSwap<EntryView>,
    replicas: Mutex<ReplicaTable>,
    pub(super) gate: Arc<AdmissionGate>,
    pub(super) admission_metrics: AdmissionMetrics,
    /// Tracks requests that crash endpoints.
    pub(super) quarantine: QuarantineClient,
    budgets: Mutex<SortedTable<ServiceName, RetryBudget>>,
    /// Whether the entry reports itself as not ready so that the load balancer stops sending.
    stop_announced: AtomicBool,
    stopped: AtomicBool,
    finished: AtomicBool,
}

impl EntryShared {
    pub(super) fn new(
        settings: &DaemonSettings,
        role: &EntrySettings,
        link: LinkClient,
        claims: ClaimClient,
        hub: &MetricsHub,
        traces: &TraceHub,
    ) -> std::io::Result<Self> {
        let clock = ClockReader::start();
        let admission_metrics = hub.add(AdmissionMetrics::register);
        let max_held = role.max_open_requests / 100 * MAX_HELD_PERCENT;
        let gate =
            AdmissionGate::start(clock, admission_metrics.clone(), max_held.max(1) as usize)?;
        Ok(Self {
            node: settings.node.clone(),
            incarnation: new_incarnation(),
            zone: settings.zone.clone(),
            settings: role.clone(),
            clock,
            link,
            claims,
            hub: hub.clone(),
            metrics: hub.add(RequestMetrics::register),
            process_metrics: hub.add(ProcessMetrics::register),
            traces: traces.clone(),
            view: ArcSwap::from_pointee(EntryView::default()),
            replicas: Mutex::new(ReplicaTable::new(&settings.zone)),
            gate,
            admission_metrics,
            quarantine: QuarantineClient::new(&settings.cluster.token),
            budgets: Mutex::new(SortedTable::new()),
            stop_announced: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            finished: AtomicBool::new(false),
        })
    }

    pub(super) fn view(&self) -> Arc<EntryView> {
        self.view.load_full()
    }

    pub(super) fn adopt(&self, view: EntryView) {
        let changed = self.view.load().snapshot.version != view.snapshot.version;
        if changed {
            let mut replicas = self.replicas();
            replicas.adopt(&view.snapshot);
            let capacities: Vec<_> =
                replicas.capacities().map(|(name, slots)| (name.clone(), slots)).collect();
            drop(replicas);
            self.gate.set_capacities(&capacities);
        }
        self.process_metrics.rules_revision.set(gauge_value(view.snapshot.revision.0));
        let now = self.clock.now();
        let left = view.window.map(|window| window.confirmed_until.since(now).as_millis());
        self.process_metrics.rules_lease_ms.set(gauge_value(left.unwrap_or(0)));
        self.process_metrics.spans_dropped.set(gauge_value(self.traces.dropped()));
        self.view.store(Arc::new(view));
    }

    /// Returns what a renewal at `now` says about the retry allowance. A `leaving` entry gives its
    /// shares back.
    pub(super) fn allowance_report(&self, now: TimePoint, leaving: bool) -> AllowanceReport {
        let view = self.view();
        let mut budgets = self.budgets();
        for declared in &view.book.document().services {
            budgets.get_or_insert_with(declared.name.clone(), RetryBudget::default);
        }
        let report = |(service, budget): (&ServiceName, &mut RetryBudget)| {
            if leaving {
                budget.release();
            }
            budget.report(now, service)
        };
        let services = budgets.iter_mut().map(report).take(MAX_REPORTED_SERVICES).collect();
        AllowanceReport { incarnation: self.incarnation, leaving, services }
    }

    /// Applies shares of the retry allowance from the answer to the newest renewal, which was sent
    /// at `sent_at`.
    pub(super) fn grant_allowance(&self, sent_at: TimePoint, grants: &[AllowanceGrant]) {
        let mut budgets = self.budgets();
        let now = self.clock.now();
        for grant in grants {
            if let Some(budget) = budgets.get_mut(&grant.service) {
                budget.grant(now, sent_at, grant.share);
            }
        }
    }

    fn budgets(&self) -> MutexGuard<'_, SortedTable<ServiceName, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `decide` with the retry budget of `service`.
    pub(super) fn with_budget<T>(
        &self,
        service: &ServiceName,
        decide: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        decide(self.budgets().get_or_insert_with(service.clone(), RetryBudget::default))
    }

    pub(super) fn replicas(&self) -> MutexGuard<'_, ReplicaTable> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn announce_stop(&self) {
        self.stop_announced.store(true, Ordering::SeqCst);
    }

    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Ends all decisions, so that the watch thread returns the lease.
    pub(super) fn finish(&self) {
        self.finished.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_finished(&self) -> bool {
        self.finished.load(Ordering::SeqCst)
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Whether decisions may be made on `view` now: its lease holds, or the settings allow serving
    /// without one.
    pub(super) fn rules_usable(&self, view: &EntryView) -> bool {
        let Some(window) = view.window else { return false };
        window.state(self.clock.now()) != HolderState::Lapsed
            || self.settings.when_rules_unconfirmed == UnconfirmedPolicy::Serve
    }

    pub(super) fn is_ready(&self) -> bool {
        let view = self.view();
        !self.is_stopped()
            && !self.stop_announced.load(Ordering::SeqCst)
            && self.rules_usable(&view)
            && view.snapshot.groups.iter().any(|record| record.whole)
    }
}

/// Converts a number for a gauge; too large ones become the maximum.
fn gauge_value(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}
