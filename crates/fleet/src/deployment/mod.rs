//! The deployment plan that operators submit (routes, services, teams and limits) and lookups in
//! it.

mod book;
mod engine;
mod plan;

pub use book::{RouteBook, TeamAccess};
pub use engine::{EngineModel, ModelSpec};
pub use plan::{
    CallerLimits, ColdTerms, DeploymentPlan, PlanError, RepeatKind, RouteRule, ServiceSpec,
    TeamKeys, WeightedTarget,
};
