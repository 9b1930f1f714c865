//! Deciding which groups to form, mend, replace and dissolve.
//!
//! `GroupPlanner` weighs group downtime against stranded accelerators; `plan_first_come` is the
//! naive planner that it is measured against. Both are pure: time, fleet and rules come in,
//! actions go out.

mod absence;
mod capacity;
mod command;
mod first_come;
mod group_planner;
mod memory;
mod pool;
mod queue;
mod reason;
mod repair;
mod service;
mod spares;
mod split;
mod survey;
mod view;

pub use absence::{AbsenceModel, WaitEstimate};
pub use command::command_for;
pub use first_come::plan_first_come;
pub use group_planner::{GroupPlanner, PlanRound};
pub use reason::{PlanDecision, PlanReason};
pub use view::{FleetView, GroupView, HostView, PlanAction};
