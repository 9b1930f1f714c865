//! Requests that wait for capacity: waking them on their turn, and ending each wait once.
//!
//! The [`WaitQueue`] decides whose turn it is. A request on its turn chooses a target itself and
//! reports the outcome, which lets the next one choose. The queue is checked when an own request
//! ends, when a notice arrives, and at short intervals while a request waits.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::entry::{
    CheckCause, ChoiceRefusal, TurnOutcome, WaitBounds, WaitQueue, WaitRefusal, WaitRequest,
    WaitTicket, has_returned,
};
use briartray_model::{SortedTable, TimePoint};
use tokio::sync::Notify;

use super::dispatch::{ReservedTarget, ServedRequest};
use super::state::EntryState;
use super::target_guard::TargetGuard;
use crate::settings::{EntryOverload, GatewaySettings};

/// Interval between checks while a request waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time before the deadline at which a wait ends, so that the refusal reaches the caller in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(60);

/// Bytes of one KiB.
const KIB_BYTES: usize = 1_024;

/// The admission queue of an entry, and the signals that wake its requests.
pub(super) struct WaitingRequests {
    queue: RefCell<WaitQueue>,
    signals: RefCell<SortedTable<WaitTicket, Rc<WaitSignal>>>,
    /// Whether the task that checks the queue at intervals is running.
    is_checked: Cell<bool>,
}

/// Wakes one waiting request.
#[derive(Default)]
struct WaitSignal {
    notify: Notify,
    reason: Cell<Option<WakeReason>>,
}

/// What a waiting request is woken for.
#[derive(Clone, Copy)]
enum WakeReason {
    Turn,
    Refused(WaitRefusal),
}

impl WaitingRequests {
    /// Creates an empty queue with the bounds in `settings`; without overload settings, nothing
    /// waits.
    pub(super) fn new(settings: &GatewaySettings) -> Self {
        let overload = settings.entry.as_ref().and_then(|entry| entry.overload.as_ref());
        let bounds = WaitBounds {
            requests: overload.map_or(0, |overload| overload.max_waiting),
            body_bytes: overload
                .map_or(0, |overload| overload.max_waiting_kb.saturating_mul(KIB_BYTES)),
        };
        Self {
            queue: RefCell::new(WaitQueue::new(bounds)),
            signals: RefCell::default(),
            is_checked: Cell::new(false),
        }
    }

    fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    fn wake(&self, ticket: WaitTicket, reason: WakeReason) {
        if let Some(signal) = self.signals.borrow().get(&ticket) {
            signal.reason.set(Some(reason));
            signal.notify.notify_one();
        }
    }
}

impl EntryState {
    /// Refuses waiting requests that are out of time, and gives others their turns.
    pub(super) fn check_waiting(&self, cause: CheckCause<'_>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut queue = self.waiting.queue.borrow_mut();
        queue.expire(self.now(), &self.completions.borrow());
        queue.begin_check(cause);
        drop(queue);
        self.wake_waiting();
    }

    /// Refuses waiting requests for models that have lost their last group.
    pub(super) fn refuse_unserved(&self) {
        if self.waiting.is_empty() {
            return;
        }
        let table = self.table.borrow();
        let serves = |service: &_, model: &str| table.serves(service, Some(model));
        self.waiting.queue.borrow_mut().refuse_unserved(serves);
        // An empty queue is not checked any more, so those who were refused are woken here.
        self.wake_waiting();
    }

    /// Wakes the requests that were refused, and those whose turn it is.
    fn wake_waiting(&self) {
        let mut queue = self.waiting.queue.borrow_mut();
        for refused in queue.take_refused() {
            self.waiting.wake(refused.ticket, WakeReason::Refused(refused.refusal));
        }
        while let Some(ticket) = queue.next_turn() {
            self.waiting.wake(ticket, WakeReason::Turn);
        }
        self.metrics.waiting.set(i64::try_from(queue.len()).unwrap_or(i64::MAX));
    }
}

/// Checks the queue at intervals until it is empty.
async fn check_at_intervals(state: Rc<EntryState>) {
    while !state.waiting.is_empty() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        state.check_waiting(CheckCause::Tick);
    }
    state.waiting.is_checked.set(false);
}

/// A request in the queue; withdraws it when dropped before its wait has ended.
struct WaitGuard {
    state: Rc<EntryState>,
    ticket: WaitTicket,
    signal: Rc<WaitSignal>,
    began: TimePoint,
    /// How the wait ended, for metrics.
    outcome: &'static str,
}

impl WaitGuard {
    /// Adds `request` to the queue.
    ///
    /// # Errors
    /// A `WaitRefusal` if it may not wait.
    fn enter(state: &Rc<EntryState>, request: &WaitRequest<'_>) -> Result<Self, WaitRefusal> {
        let began = state.now();
        let offered =
            state.waiting.queue.borrow_mut().offer(began, &state.completions.borrow(), request);
        let ticket = offered?;
        let signal = Rc::<WaitSignal>::default();
        state.waiting.signals.borrow_mut().insert(ticket, Rc::clone(&signal));
        if !state.waiting.is_checked.replace(true) {
            tokio::task::spawn_local(check_at_intervals(Rc::clone(state)));
        }
        state.wake_waiting();
        Ok(Self { state: Rc::clone(state), ticket, signal, began, outcome: "left" })
    }

    /// Waits for the request's turn.
    ///
    /// # Errors
    /// A `WaitRefusal` if it is refused before.
    async fn turn(&mut self) -> Result<(), WaitRefusal> {
        loop {
            match self.signal.reason.take() {
                Some(WakeReason::Turn) => return Ok(()),
                Some(WakeReason::Refused(refusal)) => {
                    let displaced = refusal == WaitRefusal::Displaced;
                    self.outcome = if displaced { "displaced" } else { "refused" };
                    return Err(refusal);
                }
                None => self.signal.notify.notified().await,
            }
        }
    }

    /// Ends the turn, which lets the next request choose.
    fn settle(&mut self, outcome: TurnOutcome) {
        match outcome {
            TurnOutcome::Sent => self.outcome = "sent",
            TurnOutcome::Refused => self.outcome = "refused",
            TurnOutcome::NoSlot | TurnOutcome::Late => {}
        }
        self.state.waiting.queue.borrow_mut().settle(self.ticket, outcome);
        self.state.wake_waiting();
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.state.waiting.signals.borrow_mut().remove(&self.ticket);
        if self.state.waiting.queue.borrow_mut().cancel(self.ticket) {
            self.state.wake_waiting();
        }
        self.state.metrics.count_wait(self.outcome);
        self.state.metrics.wait.observe(self.state.now().since(self.began).as_secs_f64());
    }
}

/// Whether `refusal` is for lack of capacity, which may come soon.
pub(super) fn is_no_capacity(refusal: &ChoiceRefusal) -> bool {
    turn_outcome(refusal) != TurnOutcome::Refused
}

/// What a turn that ended with `refusal` means for the queue.
fn turn_outcome(refusal: &ChoiceRefusal) -> TurnOutcome {
    match refusal {
        ChoiceRefusal::Full => TurnOutcome::NoSlot,
        ChoiceRefusal::Late { .. } => TurnOutcome::Late,
        ChoiceRefusal::NoReplica
        | ChoiceRefusal::Limited { .. }
        | ChoiceRefusal::Backoff { .. } => TurnOutcome::Refused,
    }
}

impl ServedRequest {
    /// Chooses the target of the first attempt, and waits for one if none has capacity. Does nothing
    /// for further attempts, and where admission by latency does not apply.
    ///
    /// # Errors
    /// A `ChoiceRefusal` if the request is refused.
    pub(super) async fn reserve_target(&mut self) -> Result<(), ChoiceRefusal> {
        let is_first = self.tried.is_empty() && self.runs == 0;
        if !is_first || !self.latency_bound || self.reserved.is_some() {
            return Ok(());
        }
        let state = Rc::clone(&self.state);
        let overload = state.settings.entry.as_ref().and_then(|entry| entry.overload.as_ref());
        let Some(overload) = overload.filter(|overload| overload.max_waiting > 0) else {
            return Ok(());
        };
        // Without a limit for its wait, a request has nothing to gain from joining.
        let may_wait = !self.max_wait(overload).is_zero();
        let tried = if may_wait && self.must_join() {
            None
        } else {
            match self.reserve() {
                Err(refusal) if is_no_capacity(&refusal) => Some(turn_outcome(&refusal)),
                chosen => return chosen,
            }
        };
        let entered = match self.wait_request(overload, tried) {
            Some(request) => WaitGuard::enter(&state, &request),
            None => return Err(ChoiceRefusal::NoReplica),
        };
        let mut guard = entered.map_err(|refusal| self.refuse_wait(refusal))?;
        loop {
            guard.turn().await.map_err(|refusal| self.refuse_wait(refusal))?;
            match self.reserve() {
                Ok(()) => {
                    guard.settle(TurnOutcome::Sent);
                    return Ok(());
                }
                Err(refusal) => {
                    guard.settle(turn_outcome(&refusal));
                    if !is_no_capacity(&refusal) {
                        return Err(refusal);
                    }
                }
            }
        }
    }

    /// Chooses a target and counts the request there.
    fn reserve(&mut self) -> Result<(), ChoiceRefusal> {
        let choice = self.choose_target()?;
        let guard = TargetGuard::new(self, &choice);
        self.reserved = Some(ReservedTarget { choice, guard });
        Ok(())
    }

    /// Priority for the queue; a request without one comes last.
    fn wait_priority(&self) -> u8 {
        self.priority.unwrap_or(u8::MAX)
    }

    /// Whether the request would overtake one that waits.
    fn must_join(&self) -> bool {
        let returned = has_returned(self.caller_age);
        let queue = self.state.waiting.queue.borrow();
        self.head.model.as_ref().is_some_and(|model| {
            queue.must_join(&self.service, model, self.wait_priority(), returned)
        })
    }

    /// Longest time that the request may wait; zero for a stream that its caller resumes, which no
    /// forecast keeps from a group.
    fn max_wait(&self, overload: &EntryOverload) -> Duration {
        if self.head.last_event.is_some() {
            return Duration::ZERO;
        }
        let percent = overload.wait_percent;
        let part = if percent.is_finite() { percent.clamp(0.0, 100.0) / 100.0 } else { 0.0 };
        let target = self.rule.target_latency;
        // A new caller that waits longer would not be on time even on the soonest group. Groups that
        // admit it beyond its target by tolerance are not worth a wait.
        let expected = self.refusal.get().best.filter(|_| !has_returned(self.caller_age));
        let spare = target.saturating_sub(expected.unwrap_or_default());
        let left = self.time_left().saturating_sub(REFUSAL_MARGIN);
        target.mul_f64(part).min(spare).min(left)
    }

    /// The request as the queue knows it; `None` without a model.
    fn wait_request(
        &self,
        overload: &EntryOverload,
        tried: Option<TurnOutcome>,
    ) -> Option<WaitRequest<'_>> {
        Some(WaitRequest {
            service: &self.service,
            model: self.head.model.as_deref()?,
            priority: self.wait_priority(),
            returned: has_returned(self.caller_age),
            team: self.team.as_ref(),
            group_ms: self.work.map_or(0.0, |work| work.group_ms),
            body_bytes: self.body.len(),
            max_wait: self.max_wait(overload),
            tried,
        })
    }

    /// Records why the request does not wait, and returns how it is refused.
    fn refuse_wait(&mut self, refusal: WaitRefusal) -> ChoiceRefusal {
        self.wait_refusal = Some(refusal);
        log::debug!(
            request = self.request_id(), cause = self.wait_refusal.map(WaitRefusal::code);
            "request found no capacity and does not wait"
        );
        match refusal {
            WaitRefusal::NoReplica => ChoiceRefusal::NoReplica,
            WaitRefusal::QueueFull | WaitRefusal::Displaced | WaitRefusal::TooLate => {
                ChoiceRefusal::Full
            }
        }
    }
}
