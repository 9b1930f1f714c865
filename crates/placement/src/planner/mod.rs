//! Deciding which groups to form and which to dissolve.

mod first_come;
mod view;

pub use first_come::plan_first_come;
pub use view::{FleetView, GroupView, HostView, PlanAction};
