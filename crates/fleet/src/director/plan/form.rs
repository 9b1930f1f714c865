//! Forming groups of free hosts.

use briartray_model::names::DomainName;

use super::{GroupPlanner, PlanAction, PoolHost, SPARES_PER_DOMAIN, whole_groups};
use crate::deployment::ModelSpec;
use crate::state::{GroupHost, GroupRecord};

/// A possible group, with criteria that rank its domain; smaller is better.
struct Proposal<'h> {
    /// Whether a slow member would slow it down: late answers are still better than none.
    slow: bool,
    /// Members that have to load the weights.
    loads: usize,
    /// Groups of the model in the domain already: a whole domain can fail.
    groups_in_domain: usize,
    /// Members that have to warm up.
    cold_members: usize,
    /// Decreases with the number of free hosts in the domain.
    free_rank: usize,
    hosts: Vec<&'h PoolHost>,
}

impl Proposal<'_> {
    fn rank(&self) -> (bool, usize, usize, usize, usize) {
        (self.slow, self.loads, self.groups_in_domain, self.cold_members, self.free_rank)
    }
}

impl GroupPlanner<'_> {
    /// Forms a group of a model that has fewer than callers need.
    pub(super) fn form_missing(&self, wanted: &[f64]) -> Option<PlanAction> {
        let order = self.by_shortage(wanted);
        let mut short_models = order.into_iter().filter(|index| self.is_short(*index, wanted));
        short_models.find_map(|index| self.form_group(index, false, wanted))
    }

    /// Forms a further group of hosts that are not needed for repairs.
    pub(super) fn form_further(&self, wanted: &[f64]) -> Option<PlanAction> {
        let order = self.by_shortage(wanted);
        order.into_iter().find_map(|index| self.form_group(index, true, wanted))
    }

    /// Forms a group of the model at `index`; a `further` one leaves spares in its domain.
    fn form_group(&self, index: usize, further: bool, wanted: &[f64]) -> Option<PlanAction> {
        let domains = self.domains();
        let proposals =
            domains.iter().filter_map(|domain| self.propose(domain, index, further, wanted));
        let best = proposals.min_by_key(Proposal::rank)?;
        let group = self.group_record(&self.models()[index], &best.hosts);
        Some(PlanAction::Form { group, loads: best.loads })
    }

    fn propose(
        &self,
        domain: &DomainName,
        index: usize,
        further: bool,
        wanted: &[f64],
    ) -> Option<Proposal<'_>> {
        if self.is_reserved(domain, index)
            || self.is_needed_by_others(domain, index, further, wanted)
        {
            return None;
        }
        let model = &self.models()[index];
        let placed = self.view.groups[index].iter();
        let groups_in_domain = placed.filter(|group| group.domain == *domain).count();
        if groups_in_domain >= self.max_groups_in_domain(index, wanted) {
            return None;
        }
        // Spares serve their own domain only: where no group is left to repair, they are most
        // useful as a group.
        let reserve = if further && groups_in_domain > 0 { SPARES_PER_DOMAIN } else { 0 };
        let (hosts, free) = self.choose_members(domain, model, further, reserve)?;
        let cold_members = hosts.iter().filter(|host| !host.is_warm(&model.name)).count();
        if cold_members > 0 && self.awaits_warm_members(domain, model) {
            return None;
        }
        let slow = hosts.iter().any(|host| host.slow);
        let loads = hosts.iter().filter(|host| !host.can_join(&model.name)).count();
        Some(Proposal {
            slow,
            loads,
            groups_in_domain,
            cold_members,
            free_rank: usize::MAX - free,
            hosts,
        })
    }

    /// Hosts of `domain` for a group of `model` that leaves `reserve` free hosts, with the number
    /// of free hosts. Only a group that callers need takes slow hosts.
    fn choose_members(
        &self,
        domain: &DomainName,
        model: &ModelSpec,
        further: bool,
        reserve: usize,
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
        if hosts.len() < model.size || free < model.size + reserve {
            return None;
        }
        hosts.sort_by_key(|host| self.join_preference(host, model));
        hosts.truncate(model.size);
        Some((hosts, free))
    }

    /// Whether members of a broken group of `model` are about to become free: they join at once,
    /// and no other host has to warm up instead.
    fn awaits_warm_members(&self, domain: &DomainName, model: &ModelSpec) -> bool {
        let warm = |host: &PoolHost| host.domain == *domain && host.is_warm(&model.name);
        self.view.leaving.iter().any(warm)
    }

    /// Whether the free hosts of `domain` are reserved for another model without any group.
    pub(super) fn is_reserved(&self, domain: &DomainName, index: usize) -> bool {
        self.reserved()
            .is_some_and(|(reserved_domain, other)| reserved_domain == *domain && other != index)
    }

    /// Whether a group of the model at `index` would take hosts of `domain`, free or soon to be,
    /// that suffice for a group of a model with a larger shortage; a `further` group yields to all
    /// models with a shortage.
    ///
    /// The members of a broken group become free one after the other, as do those of groups that
    /// are ended to free hosts. When the first ones were taken into another group, that group was
    /// ended again at once, and neither model was served for seconds.
    pub(super) fn is_needed_by_others(
        &self,
        domain: &DomainName,
        index: usize,
        further: bool,
        wanted: &[f64],
    ) -> bool {
        let size = self.models()[index].size;
        let order = self.by_shortage(wanted);
        let ahead = order.into_iter().take_while(|other| further || *other != index);
        let mut short_models =
            ahead.filter(|other| *other != index && self.is_short(*other, wanted));
        short_models.any(|other| {
            let model = &self.models()[other];
            let usable = self.usable(domain, model);
            (model.size..model.size + size).contains(&usable)
        })
    }

    /// Sort key for taking hosts into a group of `model`: first those that are ready soonest, then
    /// those that are least useful for other models.
    fn join_preference(
        &self,
        host: &PoolHost,
        model: &ModelSpec,
    ) -> (bool, bool, bool, bool, usize) {
        let others = self.models().iter().filter(|other| host.will_join(&other.name)).count();
        let must_load = !host.can_join(&model.name);
        let gives_up = must_load && !host.staged.is_empty();
        (host.slow, must_load, gives_up, !host.is_warm(&model.name), others)
    }

    /// Domain whose free hosts are reserved for a model without any group, and the model's index:
    /// of the domains with enough hosts, the one with most of its weights.
    pub(super) fn reserved(&self) -> Option<(DomainName, usize)> {
        let index = self.unserved_model()?;
        let model = &self.models()[index];
        let mut domains = self.domains();
        domains.retain(|domain| self.free_in(domain).len() >= model.size);
        if self.view.overload {
            domains.retain(|domain| self.is_completable(domain, model));
        }
        let domain = domains.into_iter().max_by_key(|domain| self.joinable_count(domain, model))?;
        Some((domain, index))
    }

    /// Limit on groups of a model in one domain. While new hosts still appear on a first start,
    /// each domain gets its share, so that the domains that appear first do not get all groups.
    fn max_groups_in_domain(&self, index: usize, wanted: &[f64]) -> usize {
        match self.view.first_start_domains {
            Some(domains) => whole_groups(wanted[index]).div_ceil(domains.max(1)),
            None => usize::MAX,
        }
    }

    /// Puts a spare into a standby group, so that its model is warm when it is needed.
    ///
    /// Before callers send requests, a spare without weights loads them by joining: it is warm as
    /// soon as it has them, and time is left to stage another model.
    pub(super) fn warm_up_spare(&self) -> Option<PlanAction> {
        self.view.free.iter().find_map(|host| self.standby_action(host))
    }

    /// Standby groups for one spare in each of at most `most` domains. Thousands of hosts have
    /// hundreds of spares, which have to be warm before callers send requests.
    pub fn early_spares(&self, most: usize) -> Vec<PlanAction> {
        let domains = self.domains();
        let first = |domain: &DomainName| {
            self.free_in(domain).into_iter().find_map(|host| self.standby_action(host))
        };
        domains.iter().filter_map(first).take(most).collect()
    }

    /// Forms a standby group of `host` if it is cold.
    fn standby_action(&self, host: &PoolHost) -> Option<PlanAction> {
        if host.standby.is_some()
            || host.warm_model.is_some()
            || (self.view.serving && host.newly_seen)
        {
            return None;
        }
        let model = match self.models().iter().find(|model| host.can_join(&model.name)) {
            Some(model) => model,
            None if !self.view.serving && host.is_empty() => self.model_to_warm(&host.domain)?,
            None => return None,
        };
        let loads = usize::from(!host.can_join(&model.name));
        let group = GroupRecord { standby: true, ..self.group_record(model, &[host]) };
        Some(PlanAction::Form { group, loads })
    }

    /// Model in which the fewest spares of `domain` are warm; of several the largest, since a
    /// broken group of it idles the most hosts.
    fn model_to_warm(&self, domain: &DomainName) -> Option<&ModelSpec> {
        let warm = |model: &ModelSpec| {
            let joined = |host: &&&PoolHost| {
                host.is_warm(&model.name) || host.standby.as_ref() == Some(&model.name)
            };
            self.free_in(domain).iter().filter(joined).count()
        };
        self.models().iter().min_by_key(|model| (warm(model), usize::MAX - model.size))
    }

    fn group_record(&self, model: &ModelSpec, hosts: &[&PoolHost]) -> GroupRecord {
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
