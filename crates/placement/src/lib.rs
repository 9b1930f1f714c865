//! Groups of hosts: the leases that keep a group whole or closed, the planner that forms and
//! mends groups, the account of what is down and stranded, and replay of recorded events.

pub mod accounting;
pub mod lease;
pub mod planner;
pub mod replay;
