//! Responses without end, on real sockets.

mod bodies;
#[path = "../common/mod.rs"]
mod common;
mod endpoint;
mod heads;
mod requests;
