//! What the traffic thread knows and shares between requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::deployment::{RouteBook, RouteRule};
use briartray_fleet::entry::{
    EntryLease, RetryBudget, StartupWait, TargetTable, report_interval, retry_interval,
};
use briartray_fleet::limit::LimitHeader;
use briartray_fleet::message::{EntryNotice, EntryReport, ModelDemand, WorkSum};
use briartray_fleet::state::StoredPlan;
use briartray_model::message::FingerprintView;
use briartray_model::names::{IncarnationId, NodeName, RequestFingerprint, ServiceName};
use briartray_model::{SortedTable, TimePoint};
use briartray_node::ClockReader;
use briartray_platform::CallerHead;
use briartray_quarantine::{EvidenceLog, PrintGuard, PrintKey, PrintParts, PrintStanding};
use crossbeam::channel::Sender;
use tokio::sync::Notify;

use super::crash_check::BrokenRun;
use super::journal::{EntryMetrics, LineBudget};
use crate::settings::GatewaySettings;
use crate::stored::read_stored;
use briartray_http::ConnectionPool;

/// Everything that requests share; one thread uses it.
pub(super) struct EntryState {
    pub(super) settings: GatewaySettings,
    clock: ClockReader,
    book: RefCell<Option<Rc<RouteBook>>>,
    pub(super) table: RefCell<TargetTable>,
    lease: RefCell<EntryLease>,
    budget: RefCell<RetryBudget>,
    pub(super) pool: RefCell<ConnectionPool>,
    print_key: PrintKey,
    prints: RefCell<PrintGuard>,
    /// Runs that tell something about their requests.
    pub(super) runs: RefCell<EvidenceLog>,
    /// Requests whose connections broke, by endpoint, while it is found out whether that crashed.
    pub(super) broken: RefCell<SortedTable<IncarnationId, Vec<BrokenRun>>>,
    /// Told at every look while something of this entry waits on a target that does not answer.
    pub(super) silence: Notify,
    /// Told whenever news of the leader came.
    news: Notify,
    startup_wait: StartupWait,
    reports: Sender<EntryReport>,
    demand: RefCell<SortedTable<(ServiceName, String), WorkSum>>,
    /// Reports in a row without an answer.
    unanswered: Cell<u32>,
    draining: Cell<bool>,
    serving: Cell<bool>,
    running: Cell<usize>,
    pub(super) lines: LineBudget,
    pub(super) metrics: EntryMetrics,
}

/// The parts of an entry's state that can cross threads.
pub(super) struct StateBuilder {
    settings: GatewaySettings,
    reports: Sender<EntryReport>,
    metrics: EntryMetrics,
}

impl StateBuilder {
    /// The state, on the thread that will use it.
    pub(super) fn build(self) -> EntryState {
        let Self { settings, reports, metrics } = self;
        let limits = &settings.limits;
        let budget =
            RetryBudget::new(limits.retry_ratio, limits.retry_allowance, limits.retry_window());
        let clock = ClockReader::start();
        EntryState {
            startup_wait: StartupWait::new(clock.now()),
            news: Notify::new(),
            clock,
            book: RefCell::new(None),
            table: RefCell::new(TargetTable::new(settings.zone.clone(), rand::random())),
            lease: RefCell::new(EntryLease::new(limits.lease_bound())),
            budget: RefCell::new(budget),
            pool: RefCell::new(ConnectionPool::default()),
            print_key: PrintKey::new(&settings.link_token),
            prints: RefCell::default(),
            runs: RefCell::default(),
            broken: RefCell::default(),
            silence: Notify::new(),
            reports,
            demand: RefCell::default(),
            unanswered: Cell::new(0),
            draining: Cell::new(false),
            serving: Cell::new(false),
            running: Cell::new(0),
            lines: LineBudget::default(),
            metrics,
            settings,
        }
    }
}

/// Counts one request for as long as it runs.
pub(super) struct RunningGuard(Rc<EntryState>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.metrics.running.dec();
    }
}

impl EntryState {
    pub(super) fn builder(
        settings: GatewaySettings,
        reports: Sender<EntryReport>,
        metrics: EntryMetrics,
    ) -> StateBuilder {
        StateBuilder { settings, reports, metrics }
    }

    pub(super) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Rules to decide a request by; `None` while they cannot be known to be in force.
    pub(super) fn book(&self) -> Option<Rc<RouteBook>> {
        let fresh = self.now() < self.lease.borrow().until();
        self.book.borrow().clone().filter(|_| fresh)
    }

    /// As [`Self::book`]; a process that has just started waits a moment until it is in touch, as
    /// long as `patience` of the caller allows.
    pub(super) async fn book_soon(&self, patience: Duration) -> Option<Rc<RouteBook>> {
        self.wait_for(patience, || self.is_in_touch()).await;
        self.book()
    }

    /// A process that has just started waits a moment until something serves what is asked for.
    ///
    /// After a stop of everything the first news names plain endpoints, and no group before its first
    /// host has answered the new leader. Requests for models were refused for half a second, by every
    /// entry, while their groups worked.
    pub(super) async fn replica_soon(
        &self,
        service: &ServiceName,
        model: Option<&str>,
        patience: Duration,
    ) {
        self.wait_for(patience, || self.table.borrow().serves(service, model)).await;
    }

    /// Waits for news until `met`, as long as a start excuses; whether it came is for the caller to see.
    async fn wait_for(&self, patience: Duration, met: impl Fn() -> bool) {
        if met() {
            return;
        }
        let limit = self.startup_wait.patience(self.now(), patience);
        let waited = async {
            while !met() {
                self.news.notified().await;
            }
        };
        let _ = tokio::time::timeout(limit, waited).await;
    }

    /// Whether callers should be sent here.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.is_in_touch()
    }

    /// Whether the rules in force are known, and where requests may go.
    fn is_in_touch(&self) -> bool {
        self.book().is_some() && !self.table.borrow().is_empty()
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    pub(super) fn begin_drain(&self) {
        self.draining.set(true);
    }

    pub(super) fn running(&self) -> usize {
        self.running.get()
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn begin_request(self: &Rc<Self>) -> RunningGuard {
        self.serving.set(true);
        self.running.set(self.running.get() + 1);
        self.metrics.running.inc();
        RunningGuard(Rc::clone(self))
    }

    /// Counts a request against the budget for repeats.
    pub(super) fn count_request(&self, service: &ServiceName) {
        self.budget.borrow_mut().request(self.now(), service);
    }

    /// Time left of the lease, in milliseconds.
    pub(super) fn lease_left_ms(&self) -> u64 {
        let left = self.lease.borrow().until().since(self.now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Version of the declaration that is held, whether or not it may be used.
    pub(super) fn held_plan(&self) -> u64 {
        self.book.borrow().as_ref().map_or(0, |book| book.version())
    }

    /// Takes one repeat out of the budget.
    pub(super) fn take_repeat(&self, service: &ServiceName) -> bool {
        let entries = self.table.borrow().entries();
        self.budget.borrow_mut().take(self.now(), service, entries)
    }

    pub(super) fn keep_house(&self) {
        let now = self.now();
        let silent = self.table.borrow_mut().detect_silent_groups(now);
        if !silent.is_empty() {
            for group in &silent {
                log::warn!(group = group.0; "a group gives no sign of life and is left alone");
            }
            self.send_report();
        }
        if self.table.borrow().waits_on_suspect(now) {
            self.silence.notify_waiters();
        }
        self.pool.borrow_mut().prune(now);
    }

    /// Tells the leader what was seen, and asks for a longer lease.
    pub(super) fn send_report(&self) {
        let now = self.now();
        self.unanswered.set(self.unanswered.get().saturating_add(1));
        let mut table = self.table.borrow_mut();
        let runs = self.runs.borrow().events_to_report(now);
        let nonce = self.lease.borrow_mut().ask(now);
        let limits = table.limits().report(now, nonce);
        let report = EntryReport {
            node: self.settings.node_name(),
            nonce,
            plan: self.book.borrow().as_ref().map(|book| book.version()),
            view: table.version(),
            settled: table.is_settled(),
            pulses: table.pulses(now),
            demand: self.take_demand(),
            serving: self.serving.get(),
            prints: self.prints.borrow().version(),
            runs,
            limits,
        };
        // A report that finds no room is made up for by the next one.
        let _ = self.reports.try_send(report);
    }

    /// Counts what a request under `rule` asks of a model.
    pub(super) fn count_demand(
        &self,
        book: &RouteBook,
        service: &ServiceName,
        head: &CallerHead,
        rule: &RouteRule,
    ) {
        let (Some(model), Some(tokens)) = (&head.model, head.tokens) else { return };
        let engine = book.service(service).and_then(|spec| spec.engine.as_ref());
        let Some(engine) = engine else { return };
        let Some(spec) = engine.model(model) else { return };
        // The most that a caller allows says little: it is three times the usual answer.
        let answer = head.output_estimate.unwrap_or(engine.usual_answer);
        let reading = engine.prefill_ms(tokens.prompt) * spec.pace;
        let millis = |time: Duration| time.as_secs_f64() * 1e3;
        let sum = WorkSum {
            work_ms: engine.work_ms(spec, tokens.prompt, answer),
            requests: 1.0,
            reading_ms: reading,
            reading_squares: reading * reading,
            events: engine.events(answer),
            target_ms: millis(rule.target_latency),
            gap_ms: millis(rule.target_gap.unwrap_or(rule.target_latency)),
        };
        let key = (service.clone(), model.clone());
        self.demand.borrow_mut().get_or_insert_with(key, WorkSum::default).add(&sum);
    }

    fn take_demand(&self) -> Vec<ModelDemand> {
        let counted = std::mem::take(&mut *self.demand.borrow_mut());
        let tell = |((service, model), sum): (&(ServiceName, String), &WorkSum)| ModelDemand {
            service: service.clone(),
            model: model.clone(),
            sum: *sum,
        };
        counted.iter().map(tell).collect()
    }

    /// Takes what the leader tells.
    pub(super) fn adopt(&self, notice: EntryNotice) {
        if let Some(plan) = notice.plan {
            self.adopt_plan(&plan);
        }
        let mut table = self.table.borrow_mut();
        if !notice.leaving.is_empty() {
            table.mark_leaving(notice.leaving);
        }
        if let Some(update) = notice.view {
            let (term, number) = (update.version.term.0, update.version.number);
            let (whole, groups) = (update.base.is_none(), update.groups.len());
            log::debug!(term, number, whole, groups; "an update of the view came");
            table.update(self.now(), update);
        }
        table.record_other_loads(self.now(), &notice.loads);
        if let Some(prints) = notice.prints {
            self.adopt_prints(prints);
        }
        // The lease comes last: it confirms what was told with it.
        if let Some(nonce) = notice.nonce {
            table.limits().grant(self.now(), nonce, &notice.limits);
            let limited = table.limits().limited(self.now());
            self.metrics.limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
            self.unanswered.set(0);
            self.runs.borrow_mut().confirmed(nonce);
            let left = self.lease.borrow_mut().grant(nonce).since(self.now());
            self.metrics.lease_left.set(i64::try_from(left.as_millis()).unwrap_or(i64::MAX));
        }
        drop(table);
        self.news.notify_waiters();
    }

    fn adopt_prints(&self, view: FingerprintView) {
        let (quarantined, suspects) = (view.quarantined.len(), view.suspects.len());
        if quarantined + suspects > 0 || self.prints.borrow().is_watching() {
            log::info!(quarantined, suspects; "the quarantine has changed");
        }
        self.metrics.quarantined.set(i64::try_from(quarantined).unwrap_or(i64::MAX));
        for print in self.prints.borrow_mut().adopt(view) {
            self.runs.borrow_mut().forget(print);
        }
    }

    /// Takes what an answer of `endpoint` says of its limit.
    pub(super) fn hear_limit(&self, endpoint: Option<&IncarnationId>, header: LimitHeader) {
        let Some(endpoint) = endpoint else { return };
        let changed = self.table.borrow_mut().limits().record_header(self.now(), endpoint, header);
        if changed {
            log::info!(endpoint:% = endpoint; "an endpoint names another limit: {header:?}");
            self.send_report();
        }
    }

    /// Another leader may answer from now on: it has to be told of all runs that are kept.
    pub(super) fn begin_leader(&self) {
        let nonce = self.lease.borrow().last_nonce();
        self.runs.borrow_mut().begin_leader(nonce);
    }

    /// What `parts` identify.
    pub(super) fn print(&self, parts: &PrintParts<'_>) -> RequestFingerprint {
        self.print_key.print(parts)
    }

    /// How the request that `print` makes the print of stands.
    pub(super) fn standing(&self, print: impl FnOnce() -> RequestFingerprint) -> PrintStanding {
        let prints = self.prints.borrow();
        // Prints cost a pass over the body, and are wanted only in times of crashes.
        if prints.is_watching() { prints.standing(print()) } else { PrintStanding::Clear }
    }

    fn adopt_plan(&self, stored: &StoredPlan) {
        let version = stored.version;
        // A leader that is behind must not bring back what was replaced.
        if self.book.borrow().as_ref().is_some_and(|book| book.version() >= version) {
            return;
        }
        match read_stored(stored) {
            Ok(plan) => {
                log::info!(version, routes = plan.routes.len(); "a declaration is in force here");
                self.metrics.plan.set(i64::try_from(version).unwrap_or(i64::MAX));
                *self.book.borrow_mut() = Some(Rc::new(RouteBook::compile(plan)));
            }
            Err(error) => log::error!(version; "an accepted declaration does not read: {error}"),
        }
    }

    /// The address of an endpoint, when it is one.
    pub(super) fn parse_address(text: &str) -> Option<SocketAddr> {
        text.parse().ok()
    }

    /// Time between two reports to the leader.
    pub(super) fn report_interval(&self) -> Duration {
        match self.is_in_touch() {
            true => report_interval(self.table.borrow().entries()),
            false => retry_interval(self.unanswered.get()),
        }
    }
}

/// Names of control hosts, without repetition.
pub(super) fn merge_hosts(known: &mut Vec<NodeName>, more: Vec<NodeName>) {
    for host in more {
        if !known.contains(&host) {
            known.push(host);
        }
    }
}
