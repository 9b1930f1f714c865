//! Subcommands of the `briartray` program and the demonstration fleet that they and the tests use.

pub mod cmd;
pub mod demo;
