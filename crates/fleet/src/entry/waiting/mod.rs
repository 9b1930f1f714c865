//! Requests that wait at an entry because no target has capacity for them.
//!
//! The [`WaitQueue`] orders them by priority, callers that return before new ones, fair queueing of
//! the teams, and age. A request waits only while the slots that its entry's own requests free are
//! likely to reach it within its limit, so that a caller who has to come back learns so at once.
//! Every ticket ends exactly once: it is sent, refused, or withdrawn with its caller.

mod fairness;
mod model_queue;
mod queue;
mod request;

pub use queue::WaitQueue;
pub use request::{
    CheckCause, RefusedWait, TurnOutcome, WaitBounds, WaitRefusal, WaitRequest, WaitTicket,
};
