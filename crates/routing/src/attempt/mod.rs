//! What agents and entries remember of attempts, so that none runs twice, no answer is cut short
//! or crossed, and `not_run` stays true.
//!
//! The agent's side is the [`AttemptBook`], which knows what may start, and one [`AnswerBuffer`]
//! for each attempt, which outlives the stream to the entry. The entry's side is the
//! [`AttemptTracker`], which decides after each event what to do next.

mod book;
mod buffer;
mod tracker;

pub use book::{
    AttemptBook, AttemptState, BeginDecision, BookLimits, MAX_ORDER_AGE, TOMBSTONE_MEMORY,
};
pub use buffer::{AnswerBuffer, AnswerEnd, AnswerHead, BufferItem, BufferReader};
pub use tracker::{ACCEPT_BOUND, AttemptTracker, SILENCE_BOUND, TrackerAction, TrackerPlan};
