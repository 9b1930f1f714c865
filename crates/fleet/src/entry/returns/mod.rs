//! Callers that come back after a refusal: how they are recognized, and when they are told to return.

mod promises;
mod schedule;

use std::time::Duration;

pub use schedule::{ReturnQuery, ReturnSchedule};

/// Shortest time that callers are told to wait. A caller that repeats its request sooner did not wait
/// as told.
pub const MIN_RETURN_DELAY: Duration = Duration::from_millis(200);

/// Returns the time since a caller's first attempt: what its deadline lacks of the route's timeout.
/// Zero for a deadline that exceeds the timeout.
pub fn caller_age(timeout: Duration, deadline: Option<Duration>) -> Duration {
    deadline.map_or(Duration::ZERO, |deadline| timeout.saturating_sub(deadline))
}

/// Whether a request of `age` is from a caller that was refused before and waited as told.
pub fn has_returned(age: Duration) -> bool {
    age >= MIN_RETURN_DELAY
}
