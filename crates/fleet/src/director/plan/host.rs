//! Hosts and groups as the planner sees them.

use briartray_model::names::{DomainName, GroupId, IncarnationId, ZoneName};

/// A host that is alive and not leaving.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolHost {
    /// Incarnation of its endpoint.
    pub id: IncarnationId,
    /// Address of its endpoint.
    pub address: String,
    /// Its fabric domain.
    pub domain: DomainName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Models whose weights are staged on the host: it joins a group of one of them within the
    /// warm-up time.
    pub staged: Vec<String>,
    /// Model that it is loading; empty when an earlier leader ordered the load.
    pub staging: Option<String>,
    /// Model of its last group: it joins the next one within a fraction of a second, whatever is
    /// staged.
    pub warm_model: Option<String>,
    /// Whether it is currently much slower than nominal, and so is the group that it is in.
    pub slow: bool,
    /// Whether it has been slow for some time.
    pub confirmed_slow: bool,
    /// Whether it was first heard from a moment ago. When a domain comes back, its hosts appear one
    /// after the other, and the first ones would be given other work although they form a group
    /// with those that follow.
    pub newly_seen: bool,
    /// Model of the standby group that it is in.
    pub standby: Option<String>,
}

impl PoolHost {
    /// Whether its last group served `model`.
    pub(super) fn is_warm(&self, model: &str) -> bool {
        self.warm_model.as_deref() == Some(model)
    }

    /// Whether it can join a group of `model` without a load.
    pub(super) fn can_join(&self, model: &str) -> bool {
        let staged = self.staging.is_none() && self.staged.iter().any(|staged| staged == model);
        staged || self.is_warm(model)
    }

    /// Whether it can join a group of `model`, now or after its current load.
    pub(super) fn will_join(&self, model: &str) -> bool {
        match &self.staging {
            Some(staging) => staging == model || self.is_warm(model),
            None => self.can_join(model),
        }
    }

    /// Whether it can serve some model without a load.
    pub(super) fn has_weights(&self) -> bool {
        !self.staged.is_empty() || self.warm_model.is_some()
    }

    /// Whether it has no weights and is not loading any.
    pub(super) fn is_empty(&self) -> bool {
        !self.has_weights() && self.staging.is_none()
    }

    /// Whether further weights may replace the staged ones: it is not loading, and nothing is
    /// staged but the model in which it is warm.
    pub(super) fn has_room(&self) -> bool {
        self.staging.is_none() && self.staged.iter().all(|staged| self.is_warm(staged))
    }
}

/// A group that serves or forms.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedGroup {
    /// Id of the group.
    pub group: GroupId,
    /// Its fabric domain.
    pub domain: DomainName,
    /// Its hosts that are alive and not leaving.
    pub hosts: Vec<PoolHost>,
}
