//! Fresh random identities.

use briartray_model::names::{AttemptId, ChangeId, RequestId};

/// An attempt id that no other attempt has.
pub fn new_attempt_id() -> AttemptId {
    AttemptId(rand::random())
}

/// A request id that no other request has.
pub fn new_request_id() -> RequestId {
    RequestId(rand::random())
}

/// A change id that no other change has.
pub fn new_change_id() -> ChangeId {
    ChangeId(rand::random())
}

/// A number that tells one start of a process from the next.
pub fn new_incarnation() -> u64 {
    rand::random()
}

/// A span id, never zero.
pub fn new_span() -> u64 {
    rand::random::<u64>().max(1)
}
