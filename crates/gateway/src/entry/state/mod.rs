//! State that the traffic thread shares between requests.

mod builder;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::deployment::{RequestWork, RouteBook, RouteRule};
use briartray_fleet::entry::{
    AcceptGate, CheckCause, CompletionRate, EntryLease, ReturnSchedule, StartupWait, TargetTable,
    report_interval, retry_interval,
};
use briartray_fleet::limit::LimitHeader;
use briartray_fleet::message::{EntryNotice, EntryReport, ModelDemand, WorkSum};
use briartray_fleet::retry::RetryBudget;
use briartray_fleet::state::StoredPlan;
use briartray_model::names::{IncarnationId, NodeName, ServiceName};
use briartray_model::{SortedTable, TimePoint};
use briartray_node::ClockReader;
use briartray_platform::CallerHead;
use briartray_quarantine::{
    ClosedRuns, CompletedParts, EvidenceLog, FingerprintKey, QuarantineGuard,
};
use crossbeam::channel::Sender;
use http::StatusCode;
use tokio::sync::Notify;

use super::crash_check::BrokenRun;
use super::given_up::ObservedLoad;
use super::telemetry::{EntryMetrics, LogBudget};
use super::unanswered::CutOff;
use super::waiting::WaitingRequests;
use crate::settings::{EntryOverload, GatewaySettings};
use crate::stored_plan::read_stored_plan;
use briartray_http::ConnectionPool;

/// State shared by all requests; used by a single thread.
pub(super) struct EntryState {
    pub(super) settings: GatewaySettings,
    clock: ClockReader,
    book: RefCell<Option<Rc<RouteBook>>>,
    pub(super) table: RefCell<TargetTable>,
    lease: RefCell<EntryLease>,
    pub(super) budget: RefCell<RetryBudget>,
    /// Ends of own requests, for services to which admission by latency applies.
    pub(super) completions: RefCell<CompletionRate>,
    /// Times at which refused callers were told to return, for the same services.
    pub(super) returns: RefCell<ReturnSchedule>,
    pub(super) pool: RefCell<ConnectionPool>,
    pub(super) fingerprint_key: FingerprintKey,
    pub(super) quarantine_guard: RefCell<QuarantineGuard>,
    /// Runs that ended in a crash, and completed runs of suspected requests, which are reported to
    /// the leader.
    pub(super) evidence_log: RefCell<EvidenceLog>,
    /// Prompt parts whose requests this entry has seen complete.
    pub(super) completed_parts: RefCell<CompletedParts>,
    /// Requests whose connections broke, by endpoint, while a crash check is running.
    pub(super) broken_runs: RefCell<SortedTable<IncarnationId, Vec<BrokenRun>>>,
    /// The same for requests that were given up before.
    pub(super) given_up_runs: RefCell<SortedTable<IncarnationId, ClosedRuns<BrokenRun>>>,
    /// Runs that are observed after they were given up.
    pub(super) observed: Cell<ObservedLoad>,
    /// Notified at each housekeeping pass while a request waits for a silent target.
    pub(super) silence_notify: Notify,
    /// Notified after each notice from the leader.
    notice_notify: Notify,
    startup_wait: StartupWait,
    accept_gate: RefCell<AcceptGate>,
    report_sender: Sender<EntryReport>,
    demand: RefCell<SortedTable<(ServiceName, String), WorkSum>>,
    /// Requests that wait for capacity.
    pub(super) waiting: WaitingRequests,
    /// Consecutive reports without a confirmation.
    unconfirmed_reports: Cell<u32>,
    draining: Cell<bool>,
    /// Notified when a planned stop cuts off the requests that still run.
    pub(super) cut_off: CutOff,
    serving: Cell<bool>,
    running: Cell<usize>,
    pub(super) log_budget: LogBudget,
    pub(super) metrics: EntryMetrics,
}

/// Counts a request as running until dropped.
pub(super) struct RunningGuard(Rc<EntryState>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.metrics.running.dec();
    }
}

impl EntryState {
    pub(super) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The rules by which to route a request; `None` unless a valid lease confirms that they are in
    /// force.
    pub(super) fn book(&self) -> Option<Rc<RouteBook>> {
        let fresh = self.now() < self.lease.borrow().until();
        self.book.borrow().clone().filter(|_| fresh)
    }

    /// As [`Self::book`]. Shortly after the start it waits until the rules and targets are known,
    /// for up to `max_wait`.
    pub(super) async fn wait_for_book(&self, max_wait: Duration) -> Option<Rc<RouteBook>> {
        self.wait_at_startup(max_wait, || self.has_routing_state()).await;
        self.book()
    }

    /// Shortly after the start, waits until a target serves `service` and `model`.
    ///
    /// After a restart of the whole deployment, the first notice lists plain endpoints but no
    /// group whose first host has not yet answered the new leader. Without this wait every entry
    /// refused requests for models for half a second although their groups were working.
    pub(super) async fn wait_for_replica(
        &self,
        service: &ServiceName,
        model: Option<&str>,
        max_wait: Duration,
    ) {
        self.wait_at_startup(max_wait, || self.table.borrow().serves(service, model)).await;
    }

    /// Waits for notices until `met` holds, at most as long as the startup wait allows. Callers
    /// check the condition again.
    async fn wait_at_startup(&self, max_wait: Duration, met: impl Fn() -> bool) {
        if met() {
            return;
        }
        let limit = self.startup_wait.max_wait(self.now(), max_wait);
        let waited = async {
            while !met() {
                self.notice_notify.notified().await;
            }
        };
        let _ = tokio::time::timeout(limit, waited).await;
    }

    /// Whether the load balancer should send callers to this entry.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.has_routing_state()
    }

    /// Whether the rules in force and at least one target are known.
    fn has_routing_state(&self) -> bool {
        self.book().is_some() && !self.table.borrow().is_empty()
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Begins a planned stop, and gives the shares of the retry allowance back.
    pub(super) fn begin_drain(&self) {
        self.draining.set(true);
        self.budget.borrow_mut().release();
        self.send_report();
    }

    pub(super) fn running(&self) -> usize {
        self.running.get()
    }

    /// Counts a request as running until the guard is dropped.
    pub(super) fn begin_request(self: &Rc<Self>) -> RunningGuard {
        self.serving.set(true);
        self.running.set(self.running.get() + 1);
        self.metrics.running.inc();
        RunningGuard(Rc::clone(self))
    }

    /// Time left of the lease, in milliseconds.
    pub(super) fn lease_left_ms(&self) -> u64 {
        let left = self.lease.borrow().until().since(self.now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Version of the deployment plan held, even if the lease has expired; 0 if there is none.
    pub(super) fn held_plan(&self) -> u64 {
        self.book.borrow().as_ref().map_or(0, |book| book.version())
    }

    /// Whether to accept a new connection of a caller.
    pub(super) fn admits_connection(&self) -> bool {
        let admits = self.accept_gate.borrow_mut().admits();
        if !admits {
            self.metrics.shed.inc();
        }
        admits
    }

    /// Records by how much the housekeeping task ran late.
    pub(super) fn record_delay(&self, delay: Duration) {
        let mut gate = self.accept_gate.borrow_mut();
        let was_overloaded = gate.is_overloaded();
        gate.record_delay(delay);
        self.metrics.accepted_percent.set((gate.part() * 100.0).round() as i64);
        if gate.is_overloaded() && !was_overloaded {
            log::warn!("overloaded; closing some new connections, whose callers try another entry");
        }
    }

    pub(super) fn housekeeping_pass(&self) {
        let now = self.now();
        let silent = self.table.borrow_mut().detect_silent_groups(now);
        if !silent.is_empty() {
            for group in &silent {
                log::warn!(group = group.0; "group is silent; sending it no more requests");
            }
            self.send_report();
        }
        if self.table.borrow().waits_on_suspect(now) {
            self.silence_notify.notify_waiters();
        }
        self.pool.borrow_mut().prune(now);
        self.update_holds(now);
    }

    fn update_holds(&self, now: TimePoint) {
        let mut table = self.table.borrow_mut();
        table.prune_holds(now);
        let count = table.holds().count(now);
        let gauge = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.metrics.held_backoff.set(gauge(count.backoff));
        self.metrics.passed_over.set(gauge(count.passed_over));
        self.metrics.held_leaving.set(gauge(count.leaving));
        self.metrics.show_shares(table.shares_mut().in_force(now));
    }

    /// Whether `endpoint` accepts no requests from this entry now.
    pub(super) fn is_held(&self, endpoint: &IncarnationId) -> bool {
        self.table.borrow().holds().hold(self.now(), endpoint).is_some()
    }

    /// Sends a report to the leader, which also requests a lease renewal.
    pub(super) fn send_report(&self) {
        let now = self.now();
        self.unconfirmed_reports.set(self.unconfirmed_reports.get().saturating_add(1));
        let mut table = self.table.borrow_mut();
        let runs = self.evidence_log.borrow().events_to_report(now);
        let guard = self.quarantine_guard.borrow();
        let completed_parts = self.completed_parts.borrow();
        let whole_parts = completed_parts.completions(now, guard.suspected_parts());
        let nonce = self.lease.borrow_mut().ask(now);
        let limits = table.limits().report(now, nonce);
        let retries = self.budget.borrow_mut().report(now, nonce);
        let report = EntryReport {
            node: self.settings.node_name(),
            nonce,
            plan: self.book.borrow().as_ref().map(|book| book.version()),
            view: table.version(),
            settled: table.is_settled(),
            pulses: table.group_activity(now),
            demand: self.take_demand(),
            serving: self.serving.get(),
            prints: guard.version(),
            runs,
            limits,
            whole_parts,
            retries,
        };
        // If the queue is full, the report is dropped; the next one makes up for it.
        let _ = self.report_sender.try_send(report);
    }

    /// Adds the work that a request under `rule` asks of a model to the reported demand, and returns
    /// it; `None` if the service has no such model.
    pub(super) fn count_demand(
        &self,
        book: &RouteBook,
        service: &ServiceName,
        head: &CallerHead,
        rule: &RouteRule,
    ) -> Option<RequestWork> {
        let model = head.model.as_ref()?;
        let engine = book.service(service).and_then(|spec| spec.engine.as_ref())?;
        let spec = engine.model(model)?;
        let Some(tokens) = head.tokens else { return Some(engine.usual_work(spec)) };
        // The caller's token limit is a poor estimate: it is three times the usual response length.
        let answer = head.output_estimate.unwrap_or(engine.usual_answer);
        let work = engine.request_work(spec, tokens.prompt, answer);
        let millis = |time: Duration| time.as_secs_f64() * 1e3;
        let sum = WorkSum {
            work_ms: work.group_ms,
            requests: 1.0,
            reading_ms: work.reading_ms,
            reading_squares: work.reading_ms * work.reading_ms,
            events: work.events,
            target_ms: millis(rule.target_latency),
            gap_ms: millis(rule.target_gap.unwrap_or(rule.target_latency)),
        };
        let key = (service.clone(), model.clone());
        self.demand.borrow_mut().get_or_insert_with(key, WorkSum::default).add(&sum);
        Some(work)
    }

    /// Overload settings if they apply to `service`: its full groups miss the targets of its routes.
    pub(super) fn overload(
        &self,
        book: &RouteBook,
        service: &ServiceName,
    ) -> Option<&EntryOverload> {
        let overload = self.settings.entry.as_ref()?.overload.as_ref()?;
        book.is_latency_bound(service, overload.late_percent).then_some(overload)
    }

    fn take_demand(&self) -> Vec<ModelDemand> {
        let counted = std::mem::take(&mut *self.demand.borrow_mut());
        let demand_of = |((service, model), sum): (&(ServiceName, String), &WorkSum)| ModelDemand {
            service: service.clone(),
            model: model.clone(),
            sum: *sum,
        };
        counted.iter().map(demand_of).collect()
    }

    /// Applies a notice from the leader.
    pub(super) fn apply_notice(&self, notice: EntryNotice) {
        let has_new_plan = notice.plan.is_some_and(|plan| self.adopt_plan(&plan));
        let mut table = self.table.borrow_mut();
        if !notice.leaving.is_empty() {
            table.holds_mut().set_announced(notice.leaving);
        }
        if let Some(update) = notice.view {
            let (term, number) = (update.version.term.0, update.version.number);
            let (whole, groups) = (update.base.is_none(), update.groups.len());
            log::debug!(term, number, whole, groups; "received view update");
            table.update(self.now(), update);
        }
        table.record_other_loads(self.now(), &notice.loads);
        let reports_completions =
            notice.prints.is_some_and(|fingerprints| self.adopt_quarantine(fingerprints));
        if notice.leads {
            table.shares_mut().record_leader_notice();
        }
        // The lease is renewed last: it confirms the state sent with it.
        if let Some(nonce) = notice.nonce {
            table.limits().grant(self.now(), nonce, &notice.limits);
            self.budget.borrow_mut().grant(self.now(), nonce, &notice.retries);
            let limited = table.limits().limited(self.now());
            self.metrics.limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
            self.unconfirmed_reports.set(0);
            self.evidence_log.borrow_mut().confirmed(nonce);
            if let Some(asked_at) = self.lease.borrow().sent_at(nonce) {
                table.shares_mut().grant(asked_at, &notice.shares);
            }
            let left = self.lease.borrow_mut().grant(nonce).since(self.now());
            self.metrics.lease_left.set(i64::try_from(left.as_millis()).unwrap_or(i64::MAX));
        }
        drop(table);
        // With a new plan the entry needs shares of the retry allowance for its services.
        if reports_completions || has_new_plan {
            self.send_report();
        }
        self.refuse_unserved();
        self.check_waiting(CheckCause::Loads);
        self.notice_notify.notify_waiters();
    }

    /// Records the rate limit that `endpoint` stated in a response.
    pub(super) fn record_limit(&self, endpoint: Option<&IncarnationId>, header: LimitHeader) {
        let Some(endpoint) = endpoint else { return };
        let changed = self.table.borrow_mut().limits().record_header(self.now(), endpoint, header);
        if changed {
            log::info!(endpoint:% = endpoint;
                "endpoint changed its rate limit to {header:?}; reporting to the leader");
            self.send_report();
        }
    }

    /// Records that `endpoint` rejected `request` and accepts no requests from this entry for `wait`.
    pub(super) fn record_backoff(
        &self,
        endpoint: &IncarnationId,
        wait: Duration,
        status: StatusCode,
        request: &str,
    ) {
        self.metrics.backoffs.inc();
        let now = self.now();
        let begins = self.table.borrow_mut().holds_mut().record_backoff(now, endpoint, wait);
        if begins {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            log::info!(endpoint:% = endpoint, wait_ms, status = status.as_u16(), request;
                "endpoint asked for a time without requests; sending it none");
        }
    }

    /// Records that `endpoint` rejected a request, and after which time it expects others.
    pub(super) fn record_rejection(&self, endpoint: &IncarnationId, wait: Option<Duration>) {
        let now = self.now();
        self.table.borrow_mut().holds_mut().record_rejection(now, endpoint, wait);
    }

    /// Records that `endpoint` stated in a response that it is leaving.
    pub(super) fn record_leaving(&self, endpoint: &IncarnationId) {
        self.metrics.leaving_answers.inc();
        let now = self.now();
        if self.table.borrow_mut().holds_mut().record_leaving(now, endpoint) {
            log::info!(endpoint:% = endpoint;
                "endpoint answers that it is leaving; sending it no more requests");
        }
    }

    /// The next response may come from a new leader, so all kept runs have to be reported again.
    pub(super) fn begin_leader(&self) {
        let nonce = self.lease.borrow().last_nonce();
        self.evidence_log.borrow_mut().begin_leader(nonce);
        self.table.borrow_mut().shares_mut().begin_leader();
    }

    /// Adopts a deployment plan; returns whether it is newer than the one held.
    fn adopt_plan(&self, stored_plan: &StoredPlan) -> bool {
        let version = stored_plan.version;
        // A lagging leader must not bring back a replaced deployment plan.
        if self.book.borrow().as_ref().is_some_and(|book| book.version() >= version) {
            return false;
        }
        match read_stored_plan(stored_plan) {
            Ok(plan) => {
                let services = plan.services.iter().map(|service| service.name.clone());
                self.budget.borrow_mut().set_services(services.collect());
                log::info!(version, routes = plan.routes.len(); "applied new deployment plan");
                self.metrics.plan.set(i64::try_from(version).unwrap_or(i64::MAX));
                *self.book.borrow_mut() = Some(Rc::new(RouteBook::compile(plan)));
                true
            }
            Err(error) => {
                log::error!(version;
                    "cannot decode accepted deployment plan; keeping the previous one: {error}");
                false
            }
        }
    }

    /// Parses an endpoint's address; `None` if it is not an IP address and port.
    pub(super) fn parse_address(text: &str) -> Option<SocketAddr> {
        text.parse().ok()
    }

    /// Interval until the next report to the leader.
    pub(super) fn next_report_pause(&self) -> Duration {
        match self.has_routing_state() {
            true => report_interval(self.table.borrow().entries()),
            false => retry_interval(self.unconfirmed_reports.get()),
        }
    }
}

/// Adds hosts to `known` without duplicates.
pub(super) fn merge_hosts(known: &mut Vec<NodeName>, more: Vec<NodeName>) {
    for host in more {
        if !known.contains(&host) {
            known.push(host);
        }
    }
}
