//! Why no target can take a request, and when one may.

use std::time::Duration;

/// Reason why no target was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// No target serves the service and model.
    NoReplica,
    /// All targets are at capacity.
    Full,
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

/// Times until the targets that are excluded for a time may be used, the shortest of each reason.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ExclusionWait {
    /// Whether a target is at capacity.
    pub(super) full: bool,
    /// Time until a rate limit allows a request.
    pub(super) limited: Option<Duration>,
    /// Time until a backoff ends.
    pub(super) backoff: Option<Duration>,
}

impl ExclusionWait {
    /// The refusal when no target is left. A target that is full may have room at any moment, so it
    /// precedes those with a known time.
    pub(super) fn refusal(self) -> ChoiceRefusal {
        match (self.limited, self.backoff) {
            _ if self.full => ChoiceRefusal::Full,
            (Some(wait), None) => ChoiceRefusal::Limited { wait },
            (Some(wait), Some(backoff)) if wait <= backoff => ChoiceRefusal::Limited { wait },
            (_, Some(wait)) => ChoiceRefusal::Backoff { wait },
            (None, None) => ChoiceRefusal::NoReplica,
        }
    }
}

/// The shorter of `known` and `wait`.
pub(super) fn shorter_wait(known: Option<Duration>, wait: Duration) -> Option<Duration> {
    Some(known.map_or(wait, |known| known.min(wait)))
}
