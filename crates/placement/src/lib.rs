//! Placement of replicas on groups of hosts.
//!
//! `lease` decides when a group may serve, `planner` forms, repairs and dissolves groups,
//! `accounting` integrates group downtime and stranded accelerators, and `replay` runs recorded or
//! generated host events through all of them.

pub mod accounting;
pub mod lease;
pub mod planner;
pub mod replay;
