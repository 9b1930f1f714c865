//! Input and actions of the planner.

use briartray_model::names::{GroupId, IncarnationId, ServiceName};

use super::{PlacedGroup, PoolHost};
use crate::deployment::EngineModel;
use crate::message::WorkSum;
use crate::state::GroupRecord;

/// Input of the planner for one service.
#[derive(Debug, Clone)]
pub struct PlanView<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its engine.
    pub engine: &'a EngineModel,
    /// Hosts in no serving group.
    pub free: Vec<PoolHost>,
    /// Hosts that are ordered to leave an ended group: free in a moment.
    pub leaving: Vec<PoolHost>,
    /// Hosts of groups that are about to end: free once running requests are completed.
    pub closing: Vec<PoolHost>,
    /// Groups that serve or form, by model in the order of the engine's models.
    pub groups: Vec<Vec<PlacedGroup>>,
    /// Demand per second, by model.
    pub demand: Vec<WorkSum>,
    /// Demand per second, by model, averaged over the time of a load.
    pub steady_demand: Vec<WorkSum>,
    /// Weight of the measured demand, 0 to 1; the declared or inherited `shares` count for the
    /// rest.
    pub trust: f64,
    /// Share of each model in the work, used as far as the demand is not trusted.
    pub shares: Vec<f64>,
    /// Number of loads that are running.
    pub loading: usize,
    /// Number of domains known so far on a first start, while new hosts may still appear; `None`
    /// later.
    pub first_start_domains: Option<usize>,
    /// Whether callers send requests: before that, loads take a tenth of their time.
    pub serving: bool,
    /// Whether idle hosts are to serve models that are short of groups, see `idle`.
    pub overload: bool,
}

/// An action of the planner.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Form a group.
    Form {
        /// The group.
        group: GroupRecord,
        /// Members that have to load the weights first.
        loads: usize,
    },
    /// Let a group complete its requests and end, so that its hosts can serve a model with a larger
    /// shortage.
    End(GroupId),
    /// Stage a model on a host.
    Stage {
        /// The host.
        host: IncarnationId,
        /// The model.
        model: String,
    },
}

impl PlanAction {
    /// Whether the action only prepares for later losses.
    pub fn only_prepares(&self) -> bool {
        match self {
            Self::Form { group, .. } => group.standby,
            Self::Stage { .. } => true,
            Self::End(_) => false,
        }
    }
}
