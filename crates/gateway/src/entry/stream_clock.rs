//! Whether a stream keeps the times that its rule names, and what is written when it does not.

use std::time::Duration;

use briartray_fleet::deployment::RouteRule;
use briartray_model::TimePoint;

use super::dispatch::ServedRequest;

/// Why a stream counts as late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LateCause {
    /// Its first event came after the rule's target.
    FirstEvent,
    /// Two events lay further apart than the rule's target.
    Pause,
}

impl LateCause {
    /// A stable word for scripts.
    pub(super) fn code(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
        }
    }
}

/// Times of one stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamClock {
    arrived: TimePoint,
    last: Option<TimePoint>,
    first: Duration,
    pause: Duration,
}

impl StreamClock {
    /// A clock for a request that arrived at `arrived`.
    pub(super) fn new(arrived: TimePoint) -> Self {
        Self { arrived, last: None, first: Duration::ZERO, pause: Duration::ZERO }
    }

    /// An event is passed on.
    pub(super) fn event(&mut self, now: TimePoint) {
        match self.last.replace(now) {
            None => self.first = now.since(self.arrived),
            Some(last) => self.pause = self.pause.max(now.since(last)),
        }
    }

    /// Why the stream is late under `rule`, if it is.
    pub(super) fn late(&self, rule: &RouteRule) -> Option<LateCause> {
        self.last?;
        if self.first > rule.target_latency {
            return Some(LateCause::FirstEvent);
        }
        rule.target_gap.is_some_and(|gap| self.pause > gap).then_some(LateCause::Pause)
    }

    /// Counts a stream that has ended, and writes a line when it was late.
    pub(super) fn note(&self, request: &ServedRequest) {
        let Some(cause) = self.late(&request.rule) else { return };
        let state = &request.state;
        state.metrics.late(cause.code());
        if state.lines.allows(state.now()) {
            log::info!(
                request = request.id(), cause = cause.code(),
                rule = &*request.rule.name, sends = request.tried.len(),
                first_ms = millis(self.first), pause_ms = millis(self.pause);
                "an answer is late from {:?}", request.tried.last()
            );
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
