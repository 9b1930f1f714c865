//! An endpoint that serves in groups and follows the orders of the platform's published protocol.
//!
//! Members join groups with increasing epochs, only the head of a group opens it, and weights can
//! be staged in advance. [`HostModel`] is the state machine without sockets or a clock;
//! [`HostModel::tick`] advances it to a given time. [`HostServer`] serves it on a socket.

mod endless;
mod model;
mod server;

pub use endless::{EndlessHost, EndlessPart, EndlessStreams};
pub use model::{HostModel, IncarnationPlace, Membership};
pub use server::{HostServer, HostSettings};
