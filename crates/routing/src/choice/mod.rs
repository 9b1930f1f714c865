//! Choosing the replica that serves a request.
//!
//! A [`ReplicaTable`] belongs to one entry. Candidates are indexed when a snapshot is adopted, so
//! that one choice touches a handful of replicas however many there are.

mod affinity;
mod index;
pub mod naive;
mod prefix;
mod state;
mod table;
mod view;

pub use prefix::PrefixDigest;
pub use table::{AttemptResult, ChoiceOutcome, ChoiceRequest, ReplicaTable};
