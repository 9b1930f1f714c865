//! What the agent's control thread shares with its traffic threads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use briartray_model::TimePoint;
use briartray_model::message::{DispatchOrder, LoadReport, RefusalReason};
use briartray_model::names::{FencingNumber, GroupId};
use briartray_model::settings::AgentSettings;
use briartray_routing::attempt::AttemptBook;

use crate::ClockReader;

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
    gate: ArcSwap<GateView>,
    closed: AtomicBool,
    slots: Mutex<SlotCount>,
    slot_freed: Condvar,
    attempts: Mutex<AttemptBook>,
}

impl AgentShared {
    pub(super) fn new(settings: &AgentSettings) -> Self {
        Self {
            settings: settings.clone(),
            clock: ClockReader::start(),
            gate: ArcSwap::from_pointee(GateView::default()),
            closed: AtomicBool::new(false),
            slots: Mutex::new(SlotCount::default()),
            slot_freed: Condvar::new(),
            attempts: Mutex::new(AttemptBook::new()),
        }
    }

    /// Publishes the gate's state.
    pub(super) fn publish(&self, view: GateView) {
        self.gate.store(std::sync::Arc::new(view));
    }

    /// Takes no new work from now on.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Why `order` must not run now, if so.
    ///
    /// The time is read after the view: a process that slept in between finds the lease gone.
    pub(super) fn refusal(&self, order: &DispatchOrder) -> Option<RefusalReason> {
        if self.closed.load(Ordering::SeqCst) {
            return Some(RefusalReason::Leaving);
        }
        let gate = self.gate.load();
        if (gate.group, gate.fencing) != (order.group, order.fencing) {
            return Some(RefusalReason::WrongGroup);
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
    pub(super) fn take_slot(&self, order: &DispatchOrder) -> Result<EngineSlot<'_>, RefusalReason> {
        let wait = MAX_SLOT_WAIT.min(Duration::from_millis(u64::from(order.deadline_ms)));
        let until = self.clock.now().after(wait);
        let mut slots = self.lock_slots();
        if slots.queued == 0 && slots.in_flight < self.capacity() {
            slots.in_flight += 1;
            return Ok(EngineSlot(self));
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
                return Ok(EngineSlot(self));
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
            step_micros: 0,
        }
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
pub(super) struct EngineSlot<'a>(&'a AgentShared);

impl Drop for EngineSlot<'_> {
    fn drop(&mut self) {
        self.0.lock_slots().in_flight -= 1;
        self.0.slot_freed.notify_one();
    }
}

/// Orders that may wait for a slot.
fn queue_length(capacity: u32) -> u32 {
    (capacity / QUEUE_SHARE).clamp(1, MAX_QUEUED)
}
