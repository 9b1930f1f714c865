//! Open-loop load generator for an entry or an engine.
//!
//! Requests start at the times of a seeded schedule, however slow the answers are, and every answer
//! is checked against its prompt.

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
