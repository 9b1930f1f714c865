//! What the planner aims at for each model, and what a model lacks for its next group.

use briartray_model::names::DomainName;

use super::{GroupPlanner, whole_groups};
use crate::deployment::ModelSpec;

/// Groups of one model, as the planner counts them.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSupply {
    /// The model.
    pub model: String,
    /// Groups that the measured demand keeps busy.
    pub busy: f64,
    /// Groups that the model is to have.
    pub wanted: f64,
    /// Groups that serve or form.
    pub placed: usize,
    /// Domain whose free hosts are closest to a further group; `None` if the model lacks no group
    /// or no host is free.
    pub nearest: Option<NearestDomain>,
}

/// Free hosts of the domain that is closest to a further group of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct NearestDomain {
    /// The domain.
    pub domain: DomainName,
    /// Free hosts.
    pub free: usize,
    /// Free hosts that can join a group of the model now.
    pub ready: usize,
    /// Free hosts that are loading the model.
    pub loading: usize,
}

impl ModelSupply {
    /// Number of whole groups that the model lacks.
    pub fn lacking(&self) -> usize {
        whole_groups(self.wanted).saturating_sub(self.placed)
    }

    /// Describes what the model lacks, for a log line.
    pub fn shortage(&self) -> String {
        let lacking = format!("{} lacks {}", self.model, self.lacking());
        let Some(nearest) = &self.nearest else { return format!("{lacking}, no free hosts") };
        let NearestDomain { domain, free, ready, loading } = nearest;
        format!("{lacking}, {domain} {ready} ready {loading} loading of {free} free")
    }
}

impl GroupPlanner<'_> {
    /// Returns the supply of each model, in the order of the engine's models.
    pub fn supplies(&self) -> Vec<ModelSupply> {
        let supply = |(index, model): (usize, &ModelSpec)| {
            let mut supply = ModelSupply {
                model: model.name.clone(),
                busy: self.view.demand.get(index).map_or(0.0, |demand| demand.work_ms / 1e3),
                wanted: self.wanted[index],
                placed: self.view.groups[index].len(),
                nearest: None,
            };
            if supply.lacking() > 0 {
                supply.nearest = self.nearest_domain(model);
            }
            supply
        };
        self.models().iter().enumerate().map(supply).collect()
    }

    fn nearest_domain(&self, model: &ModelSpec) -> Option<NearestDomain> {
        let describe = |domain: DomainName| {
            let hosts = self.free_in(&domain);
            let ready = hosts.iter().filter(|host| host.can_join(&model.name)).count();
            let joinable = hosts.iter().filter(|host| host.will_join(&model.name)).count();
            let loading = joinable.saturating_sub(ready);
            NearestDomain { domain, free: hosts.len(), ready, loading }
        };
        let domains = self.domains().into_iter().map(describe);
        domains.max_by_key(|nearest| (nearest.ready + nearest.loading, nearest.free))
    }
}
