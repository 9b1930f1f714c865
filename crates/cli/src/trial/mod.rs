//! Fault injection on real processes.
//!
//! A trial starts a fleet of daemons and stand-ins on loopback, injects a fault (killed or paused
//! processes, broken network paths, faulty endpoints), and compares the outcomes that were reported
//! to callers with the run logs of the stand-ins.

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
pub use probe::{get_json, post_json, request_completion};
pub use process::{ChildProcess, ProcessSignal, TrialError};
pub use relay::PathRelay;
