//! The director with stand-in endpoints: groups form, are repaired and end while orders are lost or
//! late, hosts fail and leaders change.

mod calls;
mod downtime;
mod evacuation;
mod fleet;
mod idle;
mod idle_plan;
mod idle_reason;
mod large;
mod losses;
mod models;
mod planner;
mod seeded;
mod silences;
mod split;
