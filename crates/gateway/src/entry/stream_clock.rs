//! Checks whether a stream met its rule's latency targets, and logs violations.

use std::time::Duration;

use briartray_fleet::deployment::RouteRule;
use briartray_fleet::entry::TargetId;
use briartray_model::TimePoint;

use super::dispatch::ServedRequest;

/// Reason why a stream counts as late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LateCause {
    /// The first event came later than the rule's target latency.
    FirstEvent,
    /// The gap between two events exceeded the rule's target gap.
    Pause,
}

impl LateCause {
    /// Stable code for metrics and logs.
    pub(super) fn code(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
        }
    }
}

/// Timing of one stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamClock {
    arrived: TimePoint,
    last: Option<TimePoint>,
    first_latency: Duration,
    longest_pause: Duration,
}

impl StreamClock {
    /// Starts timing a request that arrived at `arrived`.
    pub(super) fn new(arrived: TimePoint) -> Self {
        Self { arrived, last: None, first_latency: Duration::ZERO, longest_pause: Duration::ZERO }
    }

    /// Records that an event is forwarded.
    pub(super) fn record_event(&mut self, now: TimePoint) {
        match self.last.replace(now) {
            None => self.first_latency = now.since(self.arrived),
            Some(last) => self.longest_pause = self.longest_pause.max(now.since(last)),
        }
    }

    /// Reason why the stream is late under `rule`; `None` if it is on time.
    pub(super) fn late_cause(&self, rule: &RouteRule) -> Option<LateCause> {
        self.last?;
        if self.first_latency > rule.target_latency {
            return Some(LateCause::FirstEvent);
        }
        rule.target_gap.is_some_and(|gap| self.longest_pause > gap).then_some(LateCause::Pause)
    }

    /// Counts and logs a finished stream, whose last event came from `target`, if it was late.
    pub(super) fn log_if_late(&self, request: &ServedRequest, target: &TargetId) {
        let Some(cause) = self.late_cause(&request.rule) else { return };
        let state = &request.state;
        state.metrics.count_late_stream(cause.code());
        if state.log_budget.allows(state.now()) {
            log::info!(
                request = request.request_id(), cause = cause.code(),
                rule = &*request.rule.name, sends = request.tried.len(),
                first_ms = millis(self.first_latency), pause_ms = millis(self.longest_pause);
                "stream from target {:?} missed its latency target", Some(target)
            );
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
