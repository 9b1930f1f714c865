//! Per-request decisions of an entry, without I/O: admission, replica choice, retries, and tracking
//! of the outcome of each attempt.

pub mod admission;
pub mod attempt;
pub mod choice;
pub mod retry;
