//! The roles of the daemon: entry, control and agent, with the input and output around their
//! decisions.

pub mod agent;
mod clock;
pub mod control;
mod daemon;
pub mod entry;
mod ids;
pub mod logs;
pub mod metrics;
pub mod timestamp;
pub mod trace;

pub use clock::ClockReader;
pub use daemon::{DaemonError, RunningDaemon};
pub use ids::{new_attempt_id, new_change_id, new_incarnation, new_request_id, new_span};
