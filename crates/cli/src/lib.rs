//! Subcommands of the `briartray` program and the fleets that they and the tests run against: an
//! in-process fleet for demonstrations and a multi-process fleet for fault injection.

pub mod cmd;
pub mod demo;
pub mod trial;
