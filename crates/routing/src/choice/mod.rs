//! Choosing the replica that serves a request.

mod replica;

pub use replica::ReplicaTable;
