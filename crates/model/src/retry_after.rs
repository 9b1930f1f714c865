//! The `Retry-After` header of HTTP responses.

use std::time::Duration;

/// Reads a positive number of seconds, possibly with a fraction; `None` for any other value.
///
/// A date is not read: the clocks of two hosts may differ by more than the time that it names.
pub fn read_retry_after(text: &str) -> Option<Duration> {
    let text = text.trim();
    let decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| decimal)?;
    // Seconds beyond the range of a duration are a wait without end.
    let wait = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    (!wait.is_zero()).then_some(wait)
}
