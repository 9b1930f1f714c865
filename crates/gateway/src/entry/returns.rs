//! What a refusal tells its caller and the log: when to return, and why there was no capacity.

use std::time::Duration;

use briartray_fleet::entry::{ChoiceDetail, ChoiceRefusal, ReturnQuery, WaitRefusal, has_returned};
use briartray_model::names::{ServiceName, TeamName};
use http::Response;

use super::dispatch::ServedRequest;
use super::refusal::{RefusalKind, refuse_with};
use super::state::EntryState;
use briartray_http::ResponseBody;

/// Cause of a refusal: no group of the model has a free slot.
const CAUSE_SLOTS: &str = "slots";

/// Cause of a refusal: the request, or streams that run, would be late on the groups with free slots.
const CAUSE_LATE: &str = "late";

/// Reason why a request found no capacity; `None` for what is not known.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RefusalDetail {
    /// Stable code of the cause for logs and metrics.
    pub(super) cause: Option<&'static str>,
    /// Forecast time to the first event on the best group.
    pub(super) best: Option<Duration>,
    /// Age of the newest known load of a group of the model.
    pub(super) known: Option<Duration>,
    /// Time after which the caller is told to return.
    pub(super) retry: Option<Duration>,
}

/// What the log and the metrics tell about the caller of a request to a service with engines.
#[derive(Debug, Clone)]
pub(super) struct CallerFacts {
    pub(super) model: String,
    pub(super) team: Option<TeamName>,
    pub(super) priority: Option<u8>,
    /// Time since the caller's first attempt.
    pub(super) age: Duration,
}

impl EntryState {
    /// Time after which a caller that was refused for lack of capacity is told to return. `left` is
    /// the time until its deadline, `has_returned` whether it was refused before.
    fn retry_after(
        &self,
        service: &ServiceName,
        model: &str,
        left: Duration,
        has_returned: bool,
    ) -> Duration {
        let now = self.now();
        let per_second = self.completions.borrow().per_second(now, service, model);
        let query = ReturnQuery { service, model, per_second, left, has_returned };
        self.returns.borrow_mut().retry_after(now, &query)
    }
}

impl RefusalDetail {
    /// What a choice that ended with `refusal` knew.
    pub(super) fn of_choice(refusal: ChoiceRefusal, known: ChoiceDetail) -> Self {
        let millis = |time: u32| Duration::from_millis(u64::from(time));
        let late = matches!(refusal, ChoiceRefusal::Late { .. });
        Self {
            cause: Some(if late { CAUSE_LATE } else { CAUSE_SLOTS }),
            best: known.best_ms.map(millis),
            known: known.known_ms.map(millis),
            retry: None,
        }
    }
}

impl ServedRequest {
    /// Facts about the caller; `None` for services without engines.
    pub(super) fn caller_facts(&self) -> Option<CallerFacts> {
        self.work?;
        Some(CallerFacts {
            model: self.head.model.clone()?,
            team: self.team.clone(),
            priority: self.priority,
            age: self.caller_age,
        })
    }

    /// The response for `kind`. If there is no capacity, it tells when the caller should return.
    pub(super) fn refuse(&self, kind: RefusalKind) -> Response<ResponseBody> {
        if kind != RefusalKind::ReplicasFull || self.work.is_none() {
            return refuse_with(kind, kind.retry_after());
        }
        let retry = self.scheduled_return().or_else(|| kind.retry_after());
        let detail = self.refusal.get();
        let cause = self.wait_refusal.map(WaitRefusal::code).or(detail.cause);
        let mut answer = refuse_with(kind, retry);
        answer.extensions_mut().insert(RefusalDetail { cause, retry, ..detail });
        answer
    }

    /// Time after which the schedule tells the caller to return; `None` unless the service is
    /// latency-bound.
    fn scheduled_return(&self) -> Option<Duration> {
        let overload = self.state.settings.entry.as_ref().and_then(|entry| entry.overload.as_ref());
        let enabled = self.latency_bound && overload.is_some_and(|part| part.scheduled_returns);
        let model = self.head.model.as_deref().filter(|_| enabled)?;
        let returned = has_returned(self.caller_age);
        Some(self.state.retry_after(&self.service, model, self.time_left(), returned))
    }
}
