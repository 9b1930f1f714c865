//! Replica choice, also known as load balancing.
//!
//! Each entry has its own [`ReplicaTable`]. Candidates are indexed when a snapshot is adopted, so
//! that the cost of one choice does not grow with the number of replicas.

mod affinity;
mod index;
pub mod naive;
mod prefix;
mod state;
mod table;
mod view;

pub use prefix::PrefixDigest;
pub use table::{AttemptResult, ChoiceOutcome, ChoiceRequest, ReplicaTable};
