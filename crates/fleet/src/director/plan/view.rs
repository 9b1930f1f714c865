//! What the planner is shown, and what it may want.

use briartray_model::names::{GroupId, IncarnationId, ServiceName};

use super::{PlacedGroup, PoolHost};
use crate::deployment::EngineModel;
use crate::message::WorkSum;
use crate::state::GroupRecord;

/// What the planner looks at, for one service.
#[derive(Debug, Clone)]
pub struct PlanView<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its engine.
    pub engine: &'a EngineModel,
    /// Hosts in no group that serves.
    pub free: Vec<PoolHost>,
    /// Hosts that are being told to leave a group which has ended: free in a moment.
    pub leaving: Vec<PoolHost>,
    /// Hosts of groups that are about to end, when what runs there has ended.
    pub closing: Vec<PoolHost>,
    /// Groups that serve or form, by model in the order of the engine's models.
    pub groups: Vec<Vec<PlacedGroup>>,
    /// What callers ask for in a second, by model.
    pub demand: Vec<WorkSum>,
    /// How much of the demand is believed, 0 to 1; the shares below count for the rest.
    pub trust: f64,
    /// Share of each model in the work as far as it is not known from the demand.
    pub shares: Vec<f64>,
    /// Loads that are under way.
    pub loading: usize,
    /// Domains known so far, while hosts are still heard for the first time.
    pub gathering: Option<usize>,
    /// Whether callers have begun to ask: before that, loads cost a tenth of their time.
    pub serving: bool,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Form a group; `loads` of its members have to load the weights first.
    Form {
        /// The group.
        group: GroupRecord,
        /// Members without the weights.
        loads: usize,
    },
    /// Let a group end in peace, so that its hosts can serve a model that lacks more.
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
    /// Whether it only makes ready for later losses.
    pub fn only_prepares(&self) -> bool {
        match self {
            Self::Form { group, .. } => group.standby,
            Self::Stage { .. } => true,
            Self::End(_) => false,
        }
    }
}
