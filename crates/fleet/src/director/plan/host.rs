//! What a host of the pool can serve, and how soon.

use briartray_model::names::{DomainName, GroupId, IncarnationId, ZoneName};

/// A host that is alive and stays.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolHost {
    /// Its endpoint.
    pub id: IncarnationId,
    /// Where it listens.
    pub address: String,
    /// Its fabric domain.
    pub domain: DomainName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Models whose weights are kept on the host: it joins one of their groups within a warmup.
    pub staged: Vec<String>,
    /// Model that it is loading.
    pub staging: Option<String>,
    /// Model of its last group: it joins the next one within a fraction of a second, whatever is
    /// staged.
    pub warm: Option<String>,
    /// Whether it is much slower than it should be, as was its group's pace then.
    pub slow: bool,
    /// Whether it has been so for some time.
    pub lasting_slow: bool,
    /// Whether it has just been heard for the first time: when a domain comes back, its hosts are
    /// heard one after the other, and the first ones would be given other work although they
    /// form a group with those that follow.
    pub fresh: bool,
    /// Model of the standby group that it is in.
    pub standby: Option<String>,
}

impl PoolHost {
    /// Whether it was in a group of `model` last.
    pub(super) fn is_warm(&self, model: &str) -> bool {
        self.warm.as_deref() == Some(model)
    }

    /// Whether it can join a group of `model` without a load.
    pub(super) fn can_join(&self, model: &str) -> bool {
        let staged = self.staging.is_none() && self.staged.iter().any(|staged| staged == model);
        staged || self.is_warm(model)
    }

    /// Whether it can, or will when its load is over.
    pub(super) fn will_join(&self, model: &str) -> bool {
        match &self.staging {
            Some(staging) => staging == model || self.is_warm(model),
            None => self.can_join(model),
        }
    }

    /// Whether it can serve some model without a load.
    pub(super) fn has_weights(&self) -> bool {
        !self.staged.is_empty() || self.warm.is_some()
    }

    /// Whether it has no weights and is not loading any.
    pub(super) fn is_empty(&self) -> bool {
        !self.has_weights() && self.staging.is_none()
    }

    /// Whether further weights may take the place of what is staged: nothing is, or only the model
    /// that it is warm in.
    pub(super) fn has_room(&self) -> bool {
        self.staging.is_none() && self.staged.iter().all(|staged| self.is_warm(staged))
    }
}

/// A group that serves or forms.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedGroup {
    /// The group.
    pub group: GroupId,
    /// Its fabric domain.
    pub domain: DomainName,
    /// Its hosts that are alive and stay.
    pub hosts: Vec<PoolHost>,
}
