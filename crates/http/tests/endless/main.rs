//! Responses without end, on real sockets.

#[path = "../common/mod.rs"]
mod common;
mod endpoint;
mod heads;
