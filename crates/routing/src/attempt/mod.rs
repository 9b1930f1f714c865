//! What an agent remembers of attempts, so that none runs twice and `not_run` stays true.

mod book;

pub use book::{AttemptBook, AttemptState, BeginDecision};
