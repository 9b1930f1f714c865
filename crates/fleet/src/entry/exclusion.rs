//! Why no target can take a request, and when one may.

use std::time::Duration;

/// Reason why no target was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// No target serves the service and model.
    NoReplica,
    /// All targets are at capacity.
    Full,
    /// Groups have free slots, but the request or the streams that run there would be late.
    Late {
        /// Smallest forecast of the request's first event, in milliseconds.
        best_ms: u32,
    },
    /// The targets with free capacity have rate limits that allow no request now.
    Limited {
        /// Estimated time until a limit allows one.
        wait: Duration,
    },
    /// The targets that are left asked for a time without requests.
    Backoff {
        /// Time until the first of them accepts requests again.
        wait: Duration,
    },
}

/// What the entry knew when it refused a request, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChoiceDetail {
    /// Smallest forecast of the first event on a group that responds, in milliseconds; `None`
    /// without terms of latency.
    pub best_ms: Option<u32>,
    /// Age of the newest known load of a target, in milliseconds; `None` if none is known.
    pub known_ms: Option<u32>,
}

/// Times until the targets that are excluded for a time may be used, the shortest of each reason.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ExclusionWait {
    /// Whether a target is at capacity.
    pub(super) full: bool,
    /// Whether a request or stream would be late on a group with free slots.
    pub(super) late: bool,
    /// Smallest forecast of the first event, in milliseconds.
    pub(super) best_ms: Option<f64>,
    /// Age of the newest known load.
    pub(super) known: Option<Duration>,
    /// Time until a rate limit allows a request.
    pub(super) limited: Option<Duration>,
    /// Time until a backoff ends.
    pub(super) backoff: Option<Duration>,
}

impl ExclusionWait {
    /// The refusal when no target is left. A target that is full or late may have room at any
    /// moment, so it precedes those with a known time.
    pub(super) fn refusal(self) -> ChoiceRefusal {
        match (self.limited, self.backoff) {
            _ if self.full => ChoiceRefusal::Full,
            _ if self.late => {
                ChoiceRefusal::Late { best_ms: self.detail().best_ms.unwrap_or(u32::MAX) }
            }
            (Some(wait), None) => ChoiceRefusal::Limited { wait },
            (Some(wait), Some(backoff)) if wait <= backoff => ChoiceRefusal::Limited { wait },
            (_, Some(wait)) => ChoiceRefusal::Backoff { wait },
            (None, None) => ChoiceRefusal::NoReplica,
        }
    }

    /// What was known of the targets.
    pub(super) fn detail(&self) -> ChoiceDetail {
        ChoiceDetail {
            best_ms: self.best_ms.map(|best_ms| best_ms.ceil() as u32),
            known_ms: self.known.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
        }
    }

    /// Records the forecast of a group for the request, in milliseconds.
    pub(super) fn note_forecast(&mut self, first_ms: f64) {
        self.best_ms = Some(self.best_ms.map_or(first_ms, |best_ms| best_ms.min(first_ms)));
    }
}

/// The shorter of `known` and `wait`.
pub(super) fn shorter_wait(known: Option<Duration>, wait: Duration) -> Option<Duration> {
    Some(known.map_or(wait, |known| known.min(wait)))
}
