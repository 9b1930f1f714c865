//! Control state: the aggregates that must survive, the log by which control hosts agree on
//! them, and the data folder that keeps the log.

pub mod agreement;
pub mod lease;
pub mod snapshots;
pub mod state;
pub mod storage;
