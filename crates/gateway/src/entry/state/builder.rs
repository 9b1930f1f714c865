//! Building the state on the thread that uses it.

use std::cell::{Cell, RefCell};

use briartray_fleet::entry::{EntryLease, ReturnSchedule, StartupWait, TargetTable};
use briartray_fleet::message::EntryReport;
use briartray_fleet::retry::RetryBudget;
use briartray_http::ConnectionPool;
use briartray_node::ClockReader;
use briartray_quarantine::FingerprintKey;
use crossbeam::channel::Sender;
use tokio::sync::Notify;

use super::EntryState;
use crate::entry::telemetry::{EntryMetrics, LogBudget};
use crate::entry::unanswered::CutOff;
use crate::entry::waiting::WaitingRequests;
use crate::settings::GatewaySettings;

/// The parts of an entry's state that can be sent to another thread.
pub(in crate::entry) struct StateBuilder {
    settings: GatewaySettings,
    report_sender: Sender<EntryReport>,
    metrics: EntryMetrics,
}

impl StateBuilder {
    /// Builds the state on the thread that uses it.
    pub(in crate::entry) fn build(self) -> EntryState {
        let Self { settings, report_sender, metrics } = self;
        let limits = &settings.limits;
        let budget = RetryBudget::new(limits.retry_terms(), rand::random());
        let clock = ClockReader::start();
        EntryState {
            startup_wait: StartupWait::new(clock.now()),
            notice_notify: Notify::new(),
            accept_gate: RefCell::default(),
            clock,
            book: RefCell::new(None),
            table: RefCell::new(TargetTable::new(settings.zone.clone(), rand::random())),
            lease: RefCell::new(EntryLease::new(limits.lease_bound())),
            budget: RefCell::new(budget),
            completions: RefCell::default(),
            returns: RefCell::new(ReturnSchedule::new(rand::random())),
            pool: RefCell::new(ConnectionPool::default()),
            fingerprint_key: FingerprintKey::new(&settings.link_token),
            quarantine_guard: RefCell::default(),
            evidence_log: RefCell::default(),
            completed_parts: RefCell::default(),
            broken_runs: RefCell::default(),
            given_up_runs: RefCell::default(),
            observed: Cell::default(),
            silence_notify: Notify::new(),
            report_sender,
            demand: RefCell::default(),
            waiting: WaitingRequests::new(&settings),
            unconfirmed_reports: Cell::new(0),
            draining: Cell::new(false),
            cut_off: CutOff::default(),
            serving: Cell::new(false),
            running: Cell::new(0),
            log_budget: LogBudget::default(),
            metrics,
            settings,
        }
    }
}

impl EntryState {
    pub(in crate::entry) fn builder(
        settings: GatewaySettings,
        report_sender: Sender<EntryReport>,
        metrics: EntryMetrics,
    ) -> StateBuilder {
        StateBuilder { settings, report_sender, metrics }
    }
}
