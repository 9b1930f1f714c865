//! Waiting for a slot: the admission queue with the threads that wait in it.
//!
//! A waiting request costs its thread, its body, a queue record and a one-message channel; nothing
//! turns while it waits. One thread steps the queue while requests wait, so that rate limits,
//! deadlines and lost capacity take effect without any request ending.

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

/// Time between two steps while requests wait.
const TICK: Duration = Duration::from_millis(10);

/// Time between two looks while none waits.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// How long past its deadline a verdict is waited for; it comes earlier unless the queue is broken.
const VERDICT_GRACE: Duration = Duration::from_secs(2);

/// Units of a rate of one request per second.
const RATE_UNITS: f64 = 1000.0;

struct GateState {
    queue: AdmissionQueue,
    waiters: SortedTable<TicketNumber, Sender<AdmissionVerdict>>,
    /// Whether the gate's thread steps the queue by itself.
    ticking: bool,
}

/// The gate of one entry.
pub(super) struct AdmissionGate {
    clock: ClockReader,
    metrics: AdmissionMetrics,
    state: Mutex<GateState>,
    ticker: Unparker,
}

impl AdmissionGate {
    /// A gate that holds at most `most_held` requests, and its thread.
    pub(super) fn start(
        clock: ClockReader,
        metrics: AdmissionMetrics,
        most_held: usize,
    ) -> std::io::Result<Arc<Self>> {
        let parker = Parker::new();
        let state = GateState {
            queue: AdmissionQueue::new(most_held),
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
                parker.park_timeout(if waits { TICK } else { IDLE_TICK });
            }
        })?;
        Ok(gate)
    }

    /// Tells the slots of each service; services that are not named have none.
    pub(super) fn set_capacities(&self, capacities: &[(briartray_model::names::ServiceName, u64)]) {
        let mut state = self.lock();
        for gone in state.queue.served() {
            if !capacities.iter().any(|(service, _)| *service == gone) {
                state.queue.set_capacity(&gone, 0);
            }
        }
        for (service, capacity) in capacities {
            state.queue.set_capacity(service, *capacity);
        }
        self.step(&mut state);
    }

    /// What this entry could use of each limit, for the next renewal.
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

    /// Takes shares of limits, which run out at `until`.
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

    /// Waits until the request may run.
    ///
    /// # Errors
    /// The refusal, as soon as it is known that the request cannot be done in time.
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
            let waiting = offered.map(|ticket| (ticket, state.wait_for(ticket)));
            // An offer may push another request out, also when it is refused itself.
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

    /// Steps the queue; tells whether requests wait.
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
                // The channel holds one message and gets one; it is never full.
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
    fn wait_for(&mut self, ticket: TicketNumber) -> Receiver<AdmissionVerdict> {
        let (sender, receiver) = bounded(1);
        self.waiters.insert(ticket, sender);
        receiver
    }
}

/// A slot that one request holds; given back when dropped.
pub(super) struct SlotPermit<'a> {
    gate: &'a AdmissionGate,
    ticket: TicketNumber,
    held: bool,
}

impl<'a> SlotPermit<'a> {
    /// Gives the slot back; `ran` tells whether a replica ran the request.
    pub(super) fn finish(mut self, ran: bool) {
        self.give_back(ran);
    }

    /// Waits again, in front of those that came later: every replica asked was full.
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
            let verdicts = state.wait_for(self.ticket);
            self.gate.step(&mut state);
            verdicts
        };
        self.gate.await_verdict(self.ticket, &verdicts, request)
    }

    fn give_back(&mut self, ran: bool) {
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
        self.give_back(false);
    }
}
