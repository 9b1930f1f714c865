//! What the agent's control thread shares with its traffic threads.

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

use super::crash_watch::CrashWatch;
use super::pace;
use super::running::RunningAttempt;
use crate::trace::TraceHub;
use crate::{ClockReader, new_incarnation};

/// The gate as traffic threads see it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct GateView {
    /// Group whose first host this is.
    pub(super) group: GroupId,
    /// Its fencing number; zero when this host is no first host.
    pub(super) fencing: FencingNumber,
    /// Until when every member's lease is held.
    pub(super) whole_until: Option<TimePoint>,
    /// How many attempts may be in flight.
    pub(super) capacity: u32,
}

/// Longest wait for a slot.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(250);

/// Slots per order that may wait.
const QUEUE_SHARE: u32 = 16;

/// Orders that may wait at most.
const MAX_QUEUED: u32 = 16;

/// Orders at the endpoint, and orders that wait for a slot there.
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
    /// Number of this start of the process.
    pub(super) incarnation: u64,
    gate: ArcSwap<GateView>,
    closed: AtomicBool,
    /// Fencing number of the group that takes no new work; zero for none.
    leaving: AtomicU64,
    /// Whether the process is ending; no directive takes that back.
    ending: AtomicBool,
    /// Whether control said that the host may be shut down.
    may_stop: AtomicBool,
    slots: Mutex<SlotCount>,
    slot_freed: Condvar,
    /// Recent time of an engine's step or a plain call, in microseconds; zero while unknown.
    pace: AtomicU32,
    attempts: Mutex<AttemptBook>,
    held: Mutex<SortedTable<AttemptId, Arc<RunningAttempt>>>,
    crashes: CrashWatch,
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
            ending: AtomicBool::new(false),
            may_stop: AtomicBool::new(false),
            slots: Mutex::new(SlotCount::default()),
            slot_freed: Condvar::new(),
            pace: AtomicU32::new(0),
            attempts: Mutex::new(AttemptBook::new(BookLimits::default())),
            held: Mutex::new(SortedTable::new()),
            crashes: CrashWatch::default(),
        }
    }

    /// Which start of the endpoint crashed under a call that began at `began` and has broken off.
    pub(super) fn endpoint_crash(&self, began: TimePoint) -> Option<IncarnationId> {
        // Agents count from one at each start, and two of their starts must not name the same crash.
        let life = format!("{}/{:x}", self.settings.host, self.incarnation);
        let address = self.settings.endpoint.address;
        self.crashes.crashed(address, &life, began, || self.clock.now())
    }

    /// Publishes the gate's state.
    pub(super) fn publish(&self, view: GateView) {
        self.gate.store(Arc::new(view));
    }

    /// Takes no new work from now on.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Notes that the host takes part in no work any more.
    pub(super) fn allow_stop(&self) {
        self.may_stop.store(true, Ordering::SeqCst);
    }

    /// Whether control said that the host may be shut down.
    pub(super) fn may_stop(&self) -> bool {
        self.may_stop.load(Ordering::SeqCst)
    }

    /// Lets every group that this host leads from now on take no new work.
    pub(super) fn leave_group(&self) {
        self.ending.store(true, Ordering::SeqCst);
    }

    /// Lets the group under `fencing` take no new work, or take it again.
    pub(super) fn set_leaving(&self, fencing: FencingNumber, leaving: bool) {
        if leaving {
            self.leaving.store(fencing.0, Ordering::SeqCst);
        } else {
            let change = |known| (known == fencing.0).then_some(0);
            let _ = self.leaving.fetch_update(Ordering::SeqCst, Ordering::SeqCst, change);
        }
    }

    /// Whether the group under `fencing` takes no new work and has none left.
    ///
    /// An order is counted in before it looks whether the group leaves, so that no order slips in
    /// after this was found true.
    pub(super) fn is_drained(&self, fencing: FencingNumber) -> bool {
        self.is_leaving(fencing) && self.is_idle()
    }

    fn is_leaving(&self, fencing: FencingNumber) -> bool {
        self.ending.load(Ordering::SeqCst) || self.leaving.load(Ordering::SeqCst) == fencing.0
    }

    /// Whether no attempt runs and no answer is on its way to an entry.
    pub(super) fn is_idle(&self) -> bool {
        let slots = *self.lock_slots();
        slots.in_flight == 0 && slots.queued == 0 && self.held().is_empty()
    }

    /// Why `order` must not run now, if so.
    ///
    /// The time is read after the view: a process that slept in between finds the lease gone.
    pub(super) fn refusal(&self, order: &DispatchOrder) -> Option<RefusalReason> {
        if self.closed.load(Ordering::SeqCst) {
            return Some(RefusalReason::Leaving);
        }
        // An order for an earlier start of this process may have been held up on its way; its
        // tombstone went with that process.
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
        (!self.is_whole(&gate)).then_some(RefusalReason::GroupNotWhole)
    }

    /// Counts `order` in, after a short wait when every slot is taken; it is counted out when the
    /// slot is dropped.
    ///
    /// The queue covers the time in which a freed slot would stand empty until an entry hears of
    /// it. It stays short: a request that waits here cannot go to another replica.
    ///
    /// # Errors
    /// Why the order is refused; it was not run.
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
    pub(super) fn still_whole(&self, order: &DispatchOrder) -> bool {
        let gate = self.gate.load();
        (gate.group, gate.fencing) == (order.group, order.fencing) && self.is_whole(&gate)
    }

    /// The load to report.
    pub(super) fn load(&self) -> LoadReport {
        let slots = self.lock_slots();
        LoadReport {
            in_flight: slots.in_flight,
            queued: slots.queued,
            capacity: self.capacity(),
            step_micros: self.pace.load(Ordering::Relaxed),
        }
    }

    /// Notes how long an engine's step or a plain call takes, in microseconds.
    pub(super) fn set_pace(&self, micros: u32) {
        self.pace.store(micros, Ordering::Relaxed);
    }

    /// Whether the agent takes no new work.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// The answers that are held, by attempt.
    pub(super) fn held(&self) -> MutexGuard<'_, SortedTable<AttemptId, Arc<RunningAttempt>>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The attempts seen so far.
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

/// One slot of the endpoint; counts as free again when dropped.
#[derive(Debug)]
pub(super) struct EngineSlot {
    shared: Arc<AgentShared>,
    taken: TimePoint,
}

impl EngineSlot {
    fn new(shared: &Arc<AgentShared>) -> Self {
        Self { shared: Arc::clone(shared), taken: shared.clock.now() }
    }
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        if self.shared.settings.endpoint.kind == EndpointKind::Plain {
            let took = self.shared.clock.now().since(self.taken).as_micros();
            let sample = u32::try_from(took).unwrap_or(u32::MAX);
            let running = self.shared.pace.load(Ordering::Relaxed);
            self.shared.set_pace(pace::blend(running, sample));
        }
        self.shared.lock_slots().in_flight -= 1;
        self.shared.slot_freed.notify_one();
    }
}

/// Orders that may wait for a slot.
fn queue_length(capacity: u32) -> u32 {
    (capacity / QUEUE_SHARE).clamp(1, MAX_QUEUED)
}
