//! Control state: the aggregates that must survive, and the commands that change them.

pub mod lease;
pub mod state;
