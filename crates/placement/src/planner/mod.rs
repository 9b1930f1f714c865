//! Decides which groups to form, repair, replace and dissolve.
//!
//! `GroupPlanner` minimizes the expected cost of group downtime and stranded accelerators;
//! `plan_first_come` is the naive planner that it is compared with. Both do no I/O: they take the
//! time, a view of the fleet and the rules, and return actions.
//!
//! A place is a provider together with one of its fabric domains. The members of a group are
//! ordered; the rank of a member is its position in that order and determines which part of the
//! model's weights it loads.

mod absence;
mod command;
mod first_come;
mod group_planner;
mod memory;
mod pool;
mod queue;
mod reason;
mod repair;
mod replicas;
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
