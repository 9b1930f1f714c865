//! Random identities.

use briartray_model::names::{AttemptId, ChangeId, RequestId};

/// Creates a unique attempt id.
pub fn new_attempt_id() -> AttemptId {
    AttemptId(rand::random())
}

/// Creates a unique request id.
pub fn new_request_id() -> RequestId {
    RequestId(rand::random())
}

/// Creates a unique change id.
pub fn new_change_id() -> ChangeId {
    ChangeId(rand::random())
}

/// Creates a number that distinguishes this run of a process from earlier ones.
pub fn new_incarnation() -> u64 {
    rand::random()
}

/// Creates a span id, never zero.
pub fn new_span_id() -> u64 {
    rand::random::<u64>().max(1)
}
