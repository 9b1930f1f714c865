//! Forming groups of free hosts.

use briartray_model::names::DomainName;

use super::{GroupPlanner, PlanAction, PoolHost, SPARES_KEPT, whole_groups};
use crate::deployment::ModelSpec;
use crate::state::{GroupHost, GroupRecord};

/// A group that could be formed, and how good its domain is for it; less is better.
struct Proposal<'h> {
    /// Whether it would run at the pace of a slow member: late answers are better than none.
    slow: bool,
    /// Members that have to load the weights.
    loads: usize,
    /// Groups of the model in the domain already: a whole domain can go dark.
    same: usize,
    /// Members that have to warm up.
    cold: usize,
    /// Free hosts that stay behind, the other way round.
    left: usize,
    hosts: Vec<&'h PoolHost>,
}

impl Proposal<'_> {
    fn rank(&self) -> (bool, usize, usize, usize, usize) {
        (self.slow, self.loads, self.same, self.cold, self.left)
    }
}

impl GroupPlanner<'_> {
    /// Forms a group of a model that has fewer than callers need.
    pub(super) fn form_missing(&self, wanted: &[f64]) -> Option<PlanAction> {
        let order = self.by_lack(wanted);
        let mut lacking = order.into_iter().filter(|index| self.lacks(*index, wanted));
        lacking.find_map(|index| self.form_of(index, false, wanted))
    }

    /// Forms a further group of hosts that no repair would miss.
    pub(super) fn form_further(&self, wanted: &[f64]) -> Option<PlanAction> {
        let order = self.by_lack(wanted);
        order.into_iter().find_map(|index| self.form_of(index, true, wanted))
    }

    /// A group of the model at `index`; a `further` one leaves its domain some spares.
    fn form_of(&self, index: usize, further: bool, wanted: &[f64]) -> Option<PlanAction> {
        let domains = self.domains();
        let proposals =
            domains.iter().filter_map(|domain| self.propose(domain, index, further, wanted));
        let best = proposals.min_by_key(Proposal::rank)?;
        let group = self.record(&self.models()[index], &best.hosts);
        Some(PlanAction::Form { group, loads: best.loads })
    }

    fn propose(
        &self,
        domain: &DomainName,
        index: usize,
        further: bool,
        wanted: &[f64],
    ) -> Option<Proposal<'_>> {
        if self.is_reserved(domain, index) || self.is_claimed(domain, index, further, wanted) {
            return None;
        }
        let model = &self.models()[index];
        let placed = self.view.groups[index].iter();
        let same = placed.filter(|group| group.domain == *domain).count();
        if same >= self.most_in_domain(index, wanted) {
            return None;
        }
        // Spares serve their own domain only: where no group is left to mend, they are of most use
        // as one.
        let kept = if further && same > 0 { SPARES_KEPT } else { 0 };
        let (hosts, free) = self.members_for(domain, model, further, kept)?;
        let cold = hosts.iter().filter(|host| !host.is_warm(&model.name)).count();
        if cold > 0 && self.is_rest_coming(domain, model) {
            return None;
        }
        let slow = hosts.iter().any(|host| host.slow);
        let loads = hosts.iter().filter(|host| !host.can_join(&model.name)).count();
        Some(Proposal { slow, loads, same, cold, left: usize::MAX - free, hosts })
    }

    /// Free hosts of `domain` for a group of `model` that leaves `kept` others, and how many are
    /// free in all; only a group that callers lack takes slow ones.
    fn members_for(
        &self,
        domain: &DomainName,
        model: &ModelSpec,
        further: bool,
        kept: usize,
    ) -> Option<(Vec<&PoolHost>, usize)> {
        let mut hosts = self.free_in(domain);
        if further {
            hosts.retain(|host| !host.slow);
        }
        let free = hosts.len();
        if self.view.serving {
            hosts.retain(|host| host.can_join(&model.name));
        } else {
            hosts.retain(|host| host.staging.is_none() || host.is_warm(&model.name));
        }
        if hosts.len() < model.size || free < model.size + kept {
            return None;
        }
        hosts.sort_by_key(|host| self.preference(host, model));
        hosts.truncate(model.size);
        Some((hosts, free))
    }

    /// Whether members of a broken group of `model` are free in a moment; they join at once, and
    /// no other host has to warm up in their place.
    fn is_rest_coming(&self, domain: &DomainName, model: &ModelSpec) -> bool {
        let warm = |host: &PoolHost| host.domain == *domain && host.is_warm(&model.name);
        self.view.leaving.iter().any(warm)
    }

    /// Whether the free hosts of `domain` are kept for another model that has no group at all.
    fn is_reserved(&self, domain: &DomainName, index: usize) -> bool {
        self.reserved().is_some_and(|(held, other)| held == *domain && other != index)
    }

    /// Whether a group of the model at `index` would take hosts of `domain`, free or about to be,
    /// that make one of a model which lacks more; a `further` group gives way to all that lack any.
    ///
    /// The members of a broken group come free one after the other, as do those of groups that
    /// are ended for its sake. Where the first ones were taken into another group, that one was
    /// ended again at once, and neither model was served for seconds.
    fn is_claimed(&self, domain: &DomainName, index: usize, further: bool, wanted: &[f64]) -> bool {
        let size = self.models()[index].size;
        let order = self.by_lack(wanted);
        let ahead = order.into_iter().take_while(|other| further || *other != index);
        let mut lacking = ahead.filter(|other| *other != index && self.lacks(*other, wanted));
        lacking.any(|other| {
            let model = &self.models()[other];
            let usable = self.usable(domain, model);
            (model.size..model.size + size).contains(&usable)
        })
    }

    /// Order in which hosts are taken into a group of `model`: those that are there soonest, and
    /// among them those that are of least use for another model.
    fn preference(&self, host: &PoolHost, model: &ModelSpec) -> (bool, bool, bool, bool, usize) {
        let others = self.models().iter().filter(|other| host.will_join(&other.name)).count();
        let must_load = !host.can_join(&model.name);
        let gives_up = must_load && !host.staged.is_empty();
        (host.slow, must_load, gives_up, !host.is_warm(&model.name), others)
    }

    /// The domain whose free hosts are kept for a model that has no group at all: the one that
    /// has most of its weights, among those with hosts enough.
    fn reserved(&self) -> Option<(DomainName, usize)> {
        let index = self.starved()?;
        let model = &self.models()[index];
        let mut domains = self.domains();
        domains.retain(|domain| self.free_in(domain).len() >= model.size);
        let domain = domains.into_iter().max_by_key(|domain| self.held(domain, model))?;
        Some((domain, index))
    }

    /// Groups of a model that one domain takes. While hosts are still heard for the first time,
    /// each domain gets its part, so that the domains heard first do not get all of them.
    fn most_in_domain(&self, index: usize, wanted: &[f64]) -> usize {
        match self.view.gathering {
            Some(domains) => whole_groups(wanted[index]).div_ceil(domains.max(1)),
            None => usize::MAX,
        }
    }

    /// Lets a spare join a group of its own, so that its model is warm when it is needed.
    ///
    /// Before callers ask, a spare without weights loads them by joining: it is warm as soon as
    /// it has them, and time is left to stage another model.
    pub(super) fn warm_up(&self) -> Option<PlanAction> {
        self.view.free.iter().find_map(|host| self.spare_of(host))
    }

    /// Standby groups for one spare of each of `most` domains: thousands of hosts have hundreds of
    /// spares, which are to be warm when callers come.
    pub fn early_spares(&self, most: usize) -> Vec<PlanAction> {
        let domains = self.domains();
        let first = |domain: &DomainName| {
            self.free_in(domain).into_iter().find_map(|host| self.spare_of(host))
        };
        domains.iter().filter_map(first).take(most).collect()
    }

    /// A standby group of `host`, where it is cold.
    fn spare_of(&self, host: &PoolHost) -> Option<PlanAction> {
        if host.standby.is_some() || host.warm.is_some() || (self.view.serving && host.fresh) {
            return None;
        }
        let model = match self.models().iter().find(|model| host.can_join(&model.name)) {
            Some(model) => model,
            None if !self.view.serving && host.is_empty() => self.coldest(&host.domain)?,
            None => return None,
        };
        let loads = usize::from(!host.can_join(&model.name));
        let group = GroupRecord { standby: true, ..self.record(model, &[host]) };
        Some(PlanAction::Form { group, loads })
    }

    /// The model that the fewest spares of `domain` are warm in; the largest of several, since a
    /// broken group of it idles the most hosts.
    fn coldest(&self, domain: &DomainName) -> Option<&ModelSpec> {
        let warm = |model: &ModelSpec| {
            let joined = |host: &&&PoolHost| {
                host.is_warm(&model.name) || host.standby.as_ref() == Some(&model.name)
            };
            self.free_in(domain).iter().filter(joined).count()
        };
        self.models().iter().min_by_key(|model| (warm(model), usize::MAX - model.size))
    }

    fn record(&self, model: &ModelSpec, hosts: &[&PoolHost]) -> GroupRecord {
        let member =
            |host: &&PoolHost| GroupHost { id: host.id.clone(), address: host.address.clone() };
        GroupRecord {
            service: self.view.service.clone(),
            model: model.name.clone(),
            domain: hosts[0].domain.clone(),
            zone: hosts[0].zone.clone(),
            members: hosts.iter().map(member).collect(),
            standby: false,
        }
    }
}
