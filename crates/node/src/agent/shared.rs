//! State that the agent's control thread shares with the threads that serve requests.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use briartray_model::SortedTable;
use briartray_model::TimePoint;
use briartray_model::message::{DispatchOrder, LoadReport, RefusalReason};
use briartray_model::names::{AttemptId, FencingNumber, GroupId, IncarnationId};
use briartray_model::settings::{AgentSettings, EndpointKind};
use briartray_routing::attempt::{AttemptBook, BookLimits};

use super::crash_detector::CrashDetector;
use super::running::RunningAttempt;
use super::step_time;
use crate::trace::TraceHub;
use crate::{ClockReader, new_incarnation};

/// Snapshot of the group's gate for the threads that serve requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct GateView {
    /// Group that this host leads.
    pub(super) group: GroupId,
    /// The group's fencing number; 0 when this host leads no group.
    pub(super) fencing: FencingNumber,
    /// Time until which the leases of all members are held.
    pub(super) whole_until: Option<TimePoint>,
    /// How often a member has refused its lease or reported that its endpoint is not ready.
    pub(super) refusals: u64,
    /// Maximum number of attempts in flight.
    pub(super) capacity: u32,
}

/// Longest time that an order waits for a slot.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(250);

/// Longest time for which the endpoint gets no requests after it asked for that. The agent does not
/// notice a restart of the endpoint, which ends the wait.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Slots per queued order; the queue's capacity is the slot count divided by this.
const SLOTS_PER_QUEUED_ORDER: u32 = 16;

/// Upper bound of the queue's capacity.
const MAX_QUEUED_ORDERS: u32 = 16;

/// Numbers of orders that hold a slot of the endpoint and that wait for one.
#[derive(Debug, Clone, Copy, Default)]
struct SlotCount {
    in_flight: u32,
    queued: u32,
}

/// State shared between the threads of one agent.
#[derive(Debug)]
pub(super) struct AgentShared {
    pub(super) settings: AgentSettings,
    pub(super) clock: ClockReader,
    pub(super) traces: TraceHub,
    /// Incarnation of this process.
    pub(super) incarnation: u64,
    gate: ArcSwap<GateView>,
    closed: AtomicBool,
    /// Fencing number of the group that leaves and takes no new work; 0 for none.
    leaving: AtomicU64,
    /// Whether the process is shutting down, which no directive revokes.
    shutting_down: AtomicBool,
    /// Whether control has allowed this host to shut down.
    may_stop: AtomicBool,
    slots: Mutex<SlotCount>,
    slot_freed: Condvar,
    /// Recent duration of an engine's step or a plain service's call, in microseconds; 0 while
    /// unknown.
    step_time: AtomicU32,
    /// Until when the endpoint accepts no requests.
    backoff_until: AtomicU64,
    attempts: Mutex<AttemptBook>,
    held_attempts: Mutex<SortedTable<AttemptId, Arc<RunningAttempt>>>,
    crash_detector: CrashDetector,
}

impl AgentShared {
    pub(super) fn new(settings: &AgentSettings, traces: &TraceHub) -> Self {
        Self {
            settings: settings.clone(),
            clock: ClockReader::start(),
            traces: traces.clone(),
            incarnation: new_incarnation(),
            gate: ArcSwap::from_pointee(GateView::default()),
            closed: AtomicBool::new(false),
            leaving: AtomicU64::new(0),
            shutting_down: AtomicBool::new(false),
            may_stop: AtomicBool::new(false),
            slots: Mutex::new(SlotCount::default()),
            slot_freed: Condvar::new(),
            step_time: AtomicU32::new(0),
            backoff_until: AtomicU64::new(0),
            attempts: Mutex::new(AttemptBook::new(BookLimits::default())),
            held_attempts: Mutex::new(SortedTable::new()),
            crash_detector: CrashDetector::default(),
        }
    }

    /// The incarnation of the endpoint that crashed during a call that began at `began` and broke
    /// off; `None` if the endpoint has not crashed.
    pub(super) fn endpoint_crash(&self, began: TimePoint) -> Option<IncarnationId> {
        // Crashes are counted from 1 after every start of the agent, so the name includes the
        // agent's incarnation to keep crashes of two starts apart.
        let incarnation_name = format!("{}/{:x}", self.settings.host, self.incarnation);
        let address = self.settings.endpoint.address;
        self.crash_detector.detect_crash(address, &incarnation_name, began, || self.clock.now())
    }

    /// Replaces the snapshot of the gate.
    pub(super) fn publish_gate(&self, view: GateView) {
        self.gate.store(Arc::new(view));
    }

    /// Refuses new work from now on.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Records that control has allowed this host to shut down.
    pub(super) fn allow_stop(&self) {
        self.may_stop.store(true, Ordering::SeqCst);
    }

    /// Whether control has allowed this host to shut down.
    pub(super) fn may_stop(&self) -> bool {
        self.may_stop.load(Ordering::SeqCst)
    }

    /// Makes every group that this host leads, now or later, refuse new work.
    pub(super) fn begin_leaving(&self) {
        self.shutting_down.store(true, Ordering::SeqCst);
    }

    /// Makes the group with `fencing` refuse new work, or accept it again.
    pub(super) fn set_leaving(&self, fencing: FencingNumber, leaving: bool) {
        if leaving {
            self.leaving.store(fencing.0, Ordering::SeqCst);
        } else {
            let change = |known| (known == fencing.0).then_some(0);
            let _ = self.leaving.fetch_update(Ordering::SeqCst, Ordering::SeqCst, change);
        }
    }

    /// Whether the group with `fencing` is leaving and has no work left.
    ///
    /// An order is counted before it checks whether the group is leaving, so no order can start
    /// after this has returned `true`.
    pub(super) fn is_drained(&self, fencing: FencingNumber) -> bool {
        self.is_leaving(fencing) && self.is_idle()
    }

    fn is_leaving(&self, fencing: FencingNumber) -> bool {
        self.shutting_down.load(Ordering::SeqCst)
            || self.leaving.load(Ordering::SeqCst) == fencing.0
    }

    /// Whether no attempt is running or queued and no answer is held for an entry.
    pub(super) fn is_idle(&self) -> bool {
        let slots = *self.lock_slots();
        slots.in_flight == 0 && slots.queued == 0 && self.held_attempts().is_empty()
    }

    /// The reason why `order` must not run now, if there is one.
    ///
    /// The clock is read after the gate's snapshot, so a process that was paused in between sees
    /// the lease as expired.
    pub(super) fn refusal_reason(&self, order: &DispatchOrder) -> Option<RefusalReason> {
        if self.closed.load(Ordering::SeqCst) {
            return Some(RefusalReason::Leaving);
        }
        // A delayed order may be addressed to an earlier incarnation of this process, whose
        // tombstone for it was lost on the restart.
        if order.incarnation != self.incarnation {
            return Some(RefusalReason::WrongGroup);
        }
        let gate = self.gate.load();
        if (gate.group, gate.fencing) != (order.group, order.fencing) {
            return Some(RefusalReason::WrongGroup);
        }
        if self.is_leaving(gate.fencing) {
            return Some(RefusalReason::Leaving);
        }
        if !self.is_whole(&gate) {
            return Some(RefusalReason::GroupNotWhole);
        }
        self.backoff_reason()
    }

    /// Records that the endpoint rejected a call and accepts none for `wait`.
    pub(super) fn record_backoff(&self, wait: Duration) {
        let wait = wait.min(MAX_BACKOFF);
        let now = self.clock.now();
        let until = now.after(wait);
        let earlier = TimePoint(self.backoff_until.fetch_max(until.0, Ordering::SeqCst));
        if earlier <= now {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            log::warn!(wait_ms; "endpoint asked for a time without requests; sending it none");
        }
    }

    /// The reason why the endpoint gets no requests now, if it asked for that.
    pub(super) fn backoff_reason(&self) -> Option<RefusalReason> {
        let left = TimePoint(self.backoff_until.load(Ordering::SeqCst)).since(self.clock.now());
        let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        (!left.is_zero()).then_some(RefusalReason::EndpointBackoff { left_ms })
    }

    /// Takes a slot for `order`, after a short wait if all slots are taken. The slot is released
    /// when it is dropped.
    ///
    /// The queue keeps a freed slot from staying unused until an entry learns of it. It is short,
    /// because a request that waits here cannot be sent to another replica.
    ///
    /// # Errors
    /// The reason why the order is refused; it has not run.
    pub(super) fn take_slot(
        self: &Arc<Self>,
        order: &DispatchOrder,
    ) -> Result<EngineSlot, RefusalReason> {
        let wait = MAX_SLOT_WAIT.min(Duration::from_millis(u64::from(order.deadline_ms)));
        let until = self.clock.now().after(wait);
        let mut slots = self.lock_slots();
        if slots.queued == 0 && slots.in_flight < self.capacity() {
            slots.in_flight += 1;
            return Ok(EngineSlot::new(self));
        }
        if slots.queued >= queue_length(self.capacity()) {
            return Err(RefusalReason::QueueFull);
        }
        slots.queued += 1;
        loop {
            let left = until.since(self.clock.now());
            if slots.in_flight < self.capacity() {
                slots.queued -= 1;
                slots.in_flight += 1;
                return Ok(EngineSlot::new(self));
            }
            if left.is_zero() {
                slots.queued -= 1;
                return Err(RefusalReason::QueueFull);
            }
            let waited = self.slot_freed.wait_timeout(slots, left);
            slots = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Whether the group of `order` is still whole at its fencing number.
    pub(super) fn is_still_whole(&self, order: &DispatchOrder) -> bool {
        let gate = self.gate.load();
        (gate.group, gate.fencing) == (order.group, order.fencing) && self.is_whole(&gate)
    }

    /// Number of refused leases of the group that this host leads.
    pub(super) fn lease_refusals(&self) -> u64 {
        self.gate.load().refusals
    }

    /// Whether the group of `order` has lost no member since `refusals` leases were refused. The
    /// leases may have expired: a member that was silent for a while can still renew its lease, and
    /// has been in no other group meanwhile.
    pub(super) fn may_become_whole(&self, order: &DispatchOrder, refusals: u64) -> bool {
        let gate = self.gate.load();
        (gate.group, gate.fencing) == (order.group, order.fencing) && gate.refusals == refusals
    }

    /// The current load, for reports to entries.
    pub(super) fn load(&self) -> LoadReport {
        let slots = self.lock_slots();
        LoadReport {
            in_flight: slots.in_flight,
            queued: slots.queued,
            capacity: self.capacity(),
            step_micros: self.step_time.load(Ordering::Relaxed),
        }
    }

    /// Sets the recent duration of an engine's step or a plain service's call, in microseconds.
    pub(super) fn set_step_time(&self, micros: u32) {
        self.step_time.store(micros, Ordering::Relaxed);
    }

    /// Whether the agent refuses new work.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Attempts that are running or whose answers are held for an entry.
    pub(super) fn held_attempts(
        &self,
    ) -> MutexGuard<'_, SortedTable<AttemptId, Arc<RunningAttempt>>> {
        self.held_attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Record of the attempts and tombstones seen so far.
    pub(super) fn attempts(&self) -> MutexGuard<'_, AttemptBook> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn capacity(&self) -> u32 {
        self.gate.load().capacity
    }

    fn lock_slots(&self) -> MutexGuard<'_, SlotCount> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_whole(&self, gate: &GateView) -> bool {
        gate.whole_until.is_some_and(|until| self.clock.now() < until)
    }
}

/// One slot of the endpoint, released on drop.
#[derive(Debug)]
pub(super) struct EngineSlot {
    shared: Arc<AgentShared>,
    taken_at: TimePoint,
}

impl EngineSlot {
    fn new(shared: &Arc<AgentShared>) -> Self {
        Self { shared: Arc::clone(shared), taken_at: shared.clock.now() }
    }
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        if self.shared.settings.endpoint.kind == EndpointKind::Plain {
            let took = self.shared.clock.now().since(self.taken_at).as_micros();
            let sample = u32::try_from(took).unwrap_or(u32::MAX);
            let average = self.shared.step_time.load(Ordering::Relaxed);
            self.shared.set_step_time(step_time::moving_average(average, sample));
        }
        self.shared.lock_slots().in_flight -= 1;
        self.shared.slot_freed.notify_one();
    }
}

/// Number of orders that may wait for a slot when there are `capacity` slots.
fn queue_length(capacity: u32) -> u32 {
    (capacity / SLOTS_PER_QUEUED_ORDER).clamp(1, MAX_QUEUED_ORDERS)
}
