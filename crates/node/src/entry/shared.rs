//! What the entry's threads share: an immutable view that is swapped as a whole, and the load of
//! replicas.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use briartray_link::LinkClient;
use briartray_model::TimePoint;
use briartray_model::message::RoutingSnapshot;
use briartray_model::names::{NodeName, ZoneName};
use briartray_model::rules::RuleBook;
use briartray_model::settings::{DaemonSettings, EntrySettings, UnconfirmedPolicy};
use briartray_routing::choice::ReplicaTable;

use super::claims::ClaimClient;
use crate::ClockReader;
use crate::metrics::{MetricsHub, RequestMetrics};

/// What the entry decides on.
#[derive(Debug, Default)]
pub(super) struct EntryView {
    pub(super) snapshot: RoutingSnapshot,
    pub(super) book: RuleBook,
    /// Until when the rules are confirmed; `None` before the first confirmation.
    pub(super) confirmed_until: Option<TimePoint>,
}

/// State shared between the threads of one entry.
pub(super) struct EntryShared {
    pub(super) node: NodeName,
    pub(super) zone: ZoneName,
    pub(super) settings: EntrySettings,
    pub(super) clock: ClockReader,
    pub(super) link: LinkClient,
    pub(super) claims: ClaimClient,
    pub(super) hub: MetricsHub,
    pub(super) metrics: RequestMetrics,
    view: ArcSwap<EntryView>,
    replicas: Mutex<ReplicaTable>,
    /// Whether the balancer is told to send nothing more.
    stop_announced: AtomicBool,
    stopped: AtomicBool,
}

impl EntryShared {
    pub(super) fn new(
        settings: &DaemonSettings,
        role: &EntrySettings,
        link: LinkClient,
        claims: ClaimClient,
        hub: &MetricsHub,
    ) -> Self {
        Self {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            settings: role.clone(),
            clock: ClockReader::start(),
            link,
            claims,
            hub: hub.clone(),
            metrics: hub.add(RequestMetrics::register),
            view: ArcSwap::from_pointee(EntryView::default()),
            replicas: Mutex::new(ReplicaTable::new()),
            stop_announced: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        }
    }

    pub(super) fn view(&self) -> Arc<EntryView> {
        self.view.load_full()
    }

    pub(super) fn adopt(&self, view: EntryView) {
        self.replicas().retain(&view.snapshot);
        self.view.store(Arc::new(view));
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

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Whether decisions may be made on `view` now.
    pub(super) fn rules_hold(&self, view: &EntryView) -> bool {
        let Some(until) = view.confirmed_until else { return false };
        let confirmed = self.clock.now() < until;
        confirmed || self.settings.when_rules_unconfirmed == UnconfirmedPolicy::Serve
    }

    pub(super) fn is_ready(&self) -> bool {
        let view = self.view();
        !self.is_stopped()
            && !self.stop_announced.load(Ordering::SeqCst)
            && self.rules_hold(&view)
            && view.snapshot.groups.iter().any(|record| record.whole)
    }
}
