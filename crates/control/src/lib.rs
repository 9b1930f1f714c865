//! The control plane's replicated state: the state machine, the consensus log that keeps it equal
//! on all control hosts, and the data folder that persists the log.

pub mod agreement;
pub mod lease;
pub mod snapshots;
pub mod state;
pub mod storage;
