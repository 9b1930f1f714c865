//! Serving endpoints that announce themselves: the decisions, without input and output.
//!
//! [`deployment`] holds what operators declare, [`state`] what control hosts agree on,
//! [`director`] how the leader forms and mends groups, [`entry`] how a request is admitted, sent
//! and resumed, [`limit`] what endpoints with a limit get, and [`message`] what entries and control
//! hosts tell each other.

pub mod deployment;
pub mod director;
pub mod entry;
pub mod limit;
pub mod message;
pub mod state;
