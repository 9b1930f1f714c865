//! Replaying recorded host events through the planner and the real registry.

mod engine;
mod fleet;
mod generate;
mod registry;
mod run;
mod search;
mod trace;

pub use fleet::ReplayFleet;
pub use generate::{TraceShape, generate_small_trace, generate_trace};
pub use registry::NaiveRegistry;
pub use run::{PlannerKind, ReplayReport, StatedOutcome, run_trace};
pub use search::{SearchResult, search_best_plan};
pub use trace::{HostTrace, TraceError, TraceEvent, TraceHeader, TraceLine, WeightState};
