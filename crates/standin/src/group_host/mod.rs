//! An endpoint that serves in groups and follows orders, as the platform's published protocol
//! describes it: joins under rising epochs, one head that opens, staged weights, a stall when a
//! member is missing. No sockets and no clock; [`HostModel::tick`] brings it up to a time.

mod model;
mod server;

pub use model::{HostModel, HostPlace, Membership};
pub use server::{HostServer, HostSettings};
