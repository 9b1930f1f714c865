//! Open-loop load against an entry or an engine: requests start when a seeded schedule says so,
//! however slow the answers are, and every answer is checked against its own prompt.

mod audit;
mod call;
mod driver;
mod plan;
mod report;
mod schedule;

pub use audit::{AuditError, RunAudit};
pub use driver::run_load;
pub use plan::LoadPlan;
pub use report::{LatencySummary, LoadReport, OutcomeCount};
pub use schedule::{LoadSchedule, PlannedCall};
