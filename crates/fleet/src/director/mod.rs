//! The leader's view of endpoints, and the planning of groups and staged weights.
//!
//! [`FleetDirector`] is a state machine. Its inputs are heartbeats, results of probes and orders,
//! and reports of entries; a step returns orders, probes and commands for the log. It keeps only
//! state that can be learnt again: a new leader starts with an empty one, and heartbeats fill it
//! within one heartbeat interval.

mod demand;
mod demand_share;
mod evacuation;
mod group;
mod group_activity;
mod heartbeat;
mod host_record;
mod hosts;
mod loads;
mod order;
mod order_window;
mod plan;
mod planning;
mod records;
mod stale_member;
mod step;
mod supply_meter;
mod view;

pub use demand::DemandBook;
pub use demand_share::ShareTracker;
pub use group_activity::ActivityTracker;
pub use heartbeat::{EndpointHeartbeat, EndpointReport, GroupMembership, MemberState};
pub use host_record::HostRecord;
pub use hosts::HostTable;
pub use loads::LoadLimiter;
pub use order::{CloseMethod, EndpointOrder, OrderCall, OrderOutcome, ProbeCall};
pub use plan::{
    GroupPlanner, IdleCount, IdleReason, ModelSupply, NearestDomain, PlacedGroup, PlanAction,
    PlanView, PoolHost,
};
pub use step::{DirectorOutput, ENTRY_TIMEOUT, FleetDirector};
pub use supply_meter::{ServiceSupply, SupplyMeter, SupplyTimes};
