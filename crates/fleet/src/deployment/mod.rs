//! The deployment plan that operators submit (routes, services, teams and limits) and lookups in
//! it.

mod book;
mod engine;
mod plan;
mod work;

pub use book::{RouteBook, TeamAccess};
pub use engine::{EngineModel, ModelSpec};
pub use plan::{
    CallerLimits, ColdTerms, DeploymentPlan, PlanError, RepeatKind, RouteRule, ServiceSpec,
    TeamKeys, WeightedTarget,
};
pub use work::{
    FIRST_TOKEN_FIXED_MS, FIRST_TOKEN_PASSES, RequestWork, first_token_late, first_token_ms,
};
