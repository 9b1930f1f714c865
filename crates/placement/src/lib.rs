//! Groups of hosts: the leases that keep a group whole or closed, and the planner that forms and
//! mends groups.

pub mod lease;
pub mod planner;
