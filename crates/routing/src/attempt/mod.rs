//! State of attempts on agents and entries. It ensures that no attempt runs twice, that no answer
//! is truncated or delivered to the wrong caller, and that `not_run` is reported only if it is
//! true.
//!
//! The agent keeps an [`AttemptBook`], which decides what may start, and one [`AnswerBuffer`] for
//! each attempt, which outlives the stream to the entry. The entry keeps an [`AttemptTracker`] for
//! each attempt, which decides after each event what to do next.

mod book;
mod buffer;
mod tracker;

pub use book::{
    AttemptBook, AttemptState, BeginDecision, BookLimits, MAX_DISPATCH_AGE, TOMBSTONE_RETENTION,
};
pub use buffer::{AnswerBuffer, AnswerEnd, AnswerHead, BufferItem, BufferReader};
pub use tracker::{
    ACCEPT_TIMEOUT, AttemptTracker, DisconnectCause, FRAME_TIMEOUT, TrackerAction, TrackerPlan,
};
