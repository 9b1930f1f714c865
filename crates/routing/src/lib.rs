//! Decisions about requests, as plain structs: which replica serves, and what became of each
//! attempt.

pub mod attempt;
pub mod choice;
