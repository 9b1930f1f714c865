//! Trials of failures on real processes: a fleet of daemons and stand-ins on loopback, a relay that
//! breaks paths, and a count of what callers were told against what truly ran.

mod caller;
mod claims;
mod fault;
mod fleet;
mod probe;
mod process;
mod relay;

pub use caller::{KeyedCaller, KeyedTally};
pub use claims::{ClaimRow, measure_claims};
pub use fault::{OutcomeRow, TrialFault, run_fault};
pub use fleet::{FleetAgent, ProcessFleet, TrialPlan};
pub use probe::{ask_desk, get_json, post_json};
pub use process::{ChildProcess, ProcessSignal, TrialError};
pub use relay::PathRelay;
