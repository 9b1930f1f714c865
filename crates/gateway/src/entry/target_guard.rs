//! Counts a request on its target, with its unread prompt, while it runs there.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::entry::{CheckCause, SentPrompt, TargetChoice, TargetId};
use briartray_model::TimePoint;
use briartray_model::names::ServiceName;

use super::dispatch::ServedRequest;
use super::state::EntryState;

/// Counts a request on its target until dropped.
pub(super) struct TargetGuard {
    state: Rc<EntryState>,
    began: TimePoint,
    pub(super) target: TargetId,
    /// Service and model, where admission by latency applies.
    model: Option<(ServiceName, String)>,
    /// Whether the target accepted the request, so that its end frees a slot.
    accepted: bool,
    prompt: Cell<SentPrompt>,
}

impl TargetGuard {
    /// Counts `request` on the target of `choice`.
    pub(super) fn new(request: &ServedRequest, choice: &TargetChoice) -> Self {
        let state = &request.state;
        let work = request.work.filter(|_| request.latency_bound);
        let reading_ms = work.map_or(0.0, |work| work.reading_ms);
        let mut table = state.table.borrow_mut();
        table.limits().send(state.now(), &choice.endpoint);
        table.begin(state.now(), &choice.target);
        let prompt = Cell::new(SentPrompt::send(table.load(&choice.target), reading_ms));
        drop(table);
        let model = request.head.model.clone().filter(|_| request.latency_bound);
        Self {
            state: Rc::clone(state),
            began: state.now(),
            target: choice.target.clone(),
            model: model.map(|model| (request.service.clone(), model)),
            accepted: false,
            prompt,
        }
    }

    /// Records that the target accepted the request, so that its end frees a slot.
    pub(super) fn note_accepted(&mut self) {
        self.accepted = true;
    }

    /// Records that the target was lost during the request, so that its end frees no slot.
    pub(super) fn note_lost(&mut self) {
        self.accepted = false;
    }

    /// Records that bytes arrived from the target.
    pub(super) fn note_progress(&self) {
        self.state.table.borrow_mut().moved(self.state.now(), &self.target);
    }

    /// Records that the first part of the response arrived.
    pub(super) fn note_first_part(&self) {
        let now = self.state.now();
        let took = now.since(self.began);
        let mut table = self.state.table.borrow_mut();
        table.first_part(now, &self.target, took);
        let mut prompt = self.prompt.get();
        prompt.begin(table.load(&self.target));
        self.prompt.set(prompt);
    }

    /// Records that an event of a stream arrived.
    pub(super) fn note_event(&self, now: TimePoint) {
        let mut prompt = self.prompt.get();
        prompt.event(now, self.state.table.borrow_mut().load(&self.target));
        self.prompt.set(prompt);
    }

    /// Records that the caller took `held` to accept an event.
    pub(super) fn note_caller(&self, held: Duration) {
        let mut prompt = self.prompt.get();
        prompt.skip_gap(held);
        self.prompt.set(prompt);
    }
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut table = self.state.table.borrow_mut();
        self.prompt.get().end(table.load(&self.target));
        table.end(now, &self.target);
        drop(table);
        if let Some((service, model)) = &self.model {
            if self.accepted {
                self.state.completions.borrow_mut().record(now, service, model);
            }
            self.state.check_waiting(CheckCause::Ended { service, model });
        }
    }
}
