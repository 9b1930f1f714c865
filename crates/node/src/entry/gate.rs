//! The admission gate: the admission queue and the threads that wait in it for a slot.
//!
//! A waiting request costs its thread, its body, a queue record and a one-message channel; it
//! blocks on the channel and does not poll. One thread steps the queue while requests wait, so that
//! rate limits, deadlines and lost capacity take effect even when no request ends.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::message::{LimitDemand, LimitGrant};
use briartray_model::{SortedTable, TimePoint};
use briartray_routing::admission::{
    AdmissionQueue, AdmissionRefusal, AdmissionRequest, AdmissionVerdict, LimitKey, RefusalCause,
    TicketNumber,
};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, bounded};
use crossbeam::sync::{Parker, Unparker};

use crate::ClockReader;
use crate::metrics::AdmissionMetrics;

/// Interval between queue steps while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between checks for waiting requests while there are none.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// How long past its deadline a request waits for a verdict, which comes earlier unless the queue
/// has a fault.
const VERDICT_GRACE: Duration = Duration::from_secs(2);

/// Granted rate units that make up one request per second.
const RATE_UNITS: f64 = 1000.0;

struct GateState {
    queue: AdmissionQueue,
    waiters: SortedTable<TicketNumber, Sender<AdmissionVerdict>>,
    /// Whether the gate's thread is stepping the queue at the short interval.
    ticking: bool,
}

/// The admission gate of one entry.
pub(super) struct AdmissionGate {
    clock: ClockReader,
    metrics: AdmissionMetrics,
    state: Mutex<GateState>,
    ticker: Unparker,
}

impl AdmissionGate {
    /// Creates a gate that holds at most `max_held` waiting and running requests, and starts its
    /// thread.
    pub(super) fn start(
        clock: ClockReader,
        metrics: AdmissionMetrics,
        max_held: usize,
    ) -> std::io::Result<Arc<Self>> {
        let parker = Parker::new();
        let state = GateState {
            queue: AdmissionQueue::new(max_held),
            waiters: SortedTable::new(),
            ticking: false,
        };
        let ticker = parker.unparker().clone();
        let gate = Arc::new(Self { clock, metrics, state: Mutex::new(state), ticker });
        let weak = Arc::downgrade(&gate);
        spawn_worker("admission", WORKER_STACK_BYTES, move || {
            loop {
                let Some(gate) = weak.upgrade() else { return };
                let waits = gate.tick();
                drop(gate);
                parker.park_timeout(if waits { TICK_INTERVAL } else { IDLE_TICK_INTERVAL });
            }
        })?;
        Ok(gate)
    }

    /// Sets the number of slots of each service; services that are not listed get none.
    pub(super) fn set_capacities(&self, capacities: &[(briartray_model::names::ServiceName, u64)]) {
        let mut state = self.lock();
        for removed in state.queue.served() {
            if !capacities.iter().any(|(service, _)| *service == removed) {
                state.queue.set_capacity(&removed, 0);
            }
        }
        for (service, capacity) in capacities {
            state.queue.set_capacity(service, *capacity);
        }
        self.step(&mut state);
    }

    /// The demand of this entry on each shared limit, reported with the next lease renewal.
    pub(super) fn demands(&self) -> Vec<LimitDemand> {
        let uses = self.lock().queue.limit_usage(self.clock.now());
        uses.into_iter()
            .map(|used| LimitDemand {
                rule: used.key.rule,
                team: used.key.team,
                running_demand: used.running_demand,
                running_held: used.running_held,
                in_flight: used.in_flight,
                rate_demand: used.rate_demand,
                rate_held: used.rate_held,
            })
            .collect()
    }

    /// Applies granted shares of limits, which expire at `until`.
    pub(super) fn grant(&self, shares: &[LimitGrant], until: TimePoint) {
        let mut state = self.lock();
        let now = self.clock.now();
        for share in shares {
            let key = LimitKey { rule: share.rule.clone(), team: share.team.clone() };
            let running = share.running.map(|units| u32::try_from(units).unwrap_or(u32::MAX));
            let rate = share.rate.map(|units| units as f64 / RATE_UNITS);
            state.queue.grant(now, &key, running, rate, until);
        }
        if !shares.is_empty() {
            self.step(&mut state);
        }
    }

    /// Blocks until the request may run.
    ///
    /// # Errors
    /// The refusal, as soon as it is known that the request cannot finish in time.
    pub(super) fn enter(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> Result<SlotPermit<'_>, AdmissionRefusal> {
        let (ticket, verdicts) = {
            let mut state = self.lock();
            let now = self.clock.now();
            if let Some(key) = request.limit {
                let (counted, rated) = (request.action.concurrency > 0, request.action.rate > 0.0);
                state.queue.register_limit(now, key, counted, rated);
            }
            let offered = state.queue.offer(now, request);
            let waiting = offered.map(|ticket| (ticket, state.add_waiter(ticket)));
            // An offer may evict another request, even when it is itself refused.
            self.step(&mut state);
            waiting?
        };
        self.await_verdict(ticket, &verdicts, request)
    }

    fn await_verdict(
        &self,
        ticket: TicketNumber,
        verdicts: &Receiver<AdmissionVerdict>,
        request: &AdmissionRequest<'_>,
    ) -> Result<SlotPermit<'_>, AdmissionRefusal> {
        let limit = request.deadline.since(self.clock.now()) + VERDICT_GRACE;
        match verdicts.recv_timeout(limit) {
            Ok(AdmissionVerdict::Run) => Ok(SlotPermit { gate: self, ticket, held: true }),
            Ok(AdmissionVerdict::Refuse(refusal)) => Err(refusal),
            Err(_) => {
                let mut state = self.lock();
                state.queue.cancel(ticket);
                state.queue.finish(self.clock.now(), ticket, false);
                state.waiters.remove(&ticket);
                let retry_after = Duration::from_secs(1);
                Err(AdmissionRefusal { cause: RefusalCause::TooLate, retry_after })
            }
        }
    }

    /// Steps the queue if requests wait; returns whether some still do.
    fn tick(&self) -> bool {
        let mut state = self.lock();
        if !state.waiters.is_empty() {
            self.step(&mut state);
        }
        state.ticking = !state.waiters.is_empty();
        state.ticking
    }

    fn step(&self, state: &mut GateState) {
        for output in state.queue.step(self.clock.now()) {
            if let Some(waiter) = state.waiters.remove(&output.ticket) {
                // The channel holds one message and is sent one, so it is never full.
                let _ = waiter.try_send(output.verdict);
            }
        }
        self.metrics.waiting.set(i64::try_from(state.queue.waiting()).unwrap_or(i64::MAX));
        self.metrics.running.set(i64::try_from(state.queue.running()).unwrap_or(i64::MAX));
        if !state.ticking && !state.waiters.is_empty() {
            state.ticking = true;
            self.ticker.unpark();
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    fn add_waiter(&mut self, ticket: TicketNumber) -> Receiver<AdmissionVerdict> {
        let (sender, receiver) = bounded(1);
        self.waiters.insert(ticket, sender);
        receiver
    }
}

/// A slot that one request holds; released when dropped.
pub(super) struct SlotPermit<'a> {
    gate: &'a AdmissionGate,
    ticket: TicketNumber,
    held: bool,
}

impl<'a> SlotPermit<'a> {
    /// Releases the slot; `ran` is whether a replica ran the request.
    pub(super) fn finish(mut self, ran: bool) {
        self.release(ran);
    }

    /// Waits again, ahead of requests that arrived later, because every replica tried was full.
    ///
    /// # Errors
    /// As [`AdmissionGate::enter`].
    pub(super) fn requeue(
        mut self,
        request: &AdmissionRequest<'_>,
    ) -> Result<SlotPermit<'a>, AdmissionRefusal> {
        self.held = false;
        let verdicts = {
            let mut state = self.gate.lock();
            state.queue.requeue(self.gate.clock.now(), self.ticket);
            let verdicts = state.add_waiter(self.ticket);
            self.gate.step(&mut state);
            verdicts
        };
        self.gate.await_verdict(self.ticket, &verdicts, request)
    }

    fn release(&mut self, ran: bool) {
        if !std::mem::replace(&mut self.held, false) {
            return;
        }
        let mut state = self.gate.lock();
        state.queue.finish(self.gate.clock.now(), self.ticket, ran);
        self.gate.step(&mut state);
    }
}

impl Drop for SlotPermit<'_> {
    fn drop(&mut self) {
        self.release(false);
    }
}
