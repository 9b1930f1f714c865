//! Callers that come back after a refusal: how they are recognized, and when they are told to return.

mod promises;
mod schedule;

use std::time::Duration;

pub use schedule::{ReturnQuery, ReturnSchedule};

/// Shortest time that callers are told to wait.
pub const MIN_RETURN_DELAY: Duration = Duration::from_millis(200);

/// Age from which a request is not the caller's first attempt. It is longer than the way of a new
/// request to an entry, and shorter than that of a refusal to the caller and back, with the
/// connection that the caller makes for it.
const MIN_RETURN_AGE: Duration = Duration::from_millis(20);

/// Returns the time since a caller's first attempt: what its deadline lacks of the route's timeout.
/// Zero for a deadline that exceeds the timeout.
pub fn caller_age(timeout: Duration, deadline: Option<Duration>) -> Duration {
    deadline.map_or(Duration::ZERO, |deadline| timeout.saturating_sub(deadline))
}

/// Whether a request of `age` is from a caller that was refused before. A caller that repeats its
/// request at once counts too, so that it gains nothing over those that wait as told.
pub fn has_returned(age: Duration) -> bool {
    age >= MIN_RETURN_AGE
}
