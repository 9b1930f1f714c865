//! Decisions about requests, as plain structs: who is let in, which replica serves, whether an
//! attempt is repeated, and what became of each attempt.

pub mod admission;
pub mod attempt;
pub mod choice;
pub mod retry;
