//! Subcommands of the `briartray` program, and the fleets that they and the tests use: one in this
//! process for demonstrations, one of real processes for trials of failures.

pub mod cmd;
pub mod demo;
pub mod trial;
