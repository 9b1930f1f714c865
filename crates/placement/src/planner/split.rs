//! Without spares: another broken group gives up its members, or fabric domains are crossed.

use briartray_model::names::HostName;

use super::group_planner::RoundFrame;
use super::reason::PlanReason;
use super::repair::BrokenGroup;
use super::service::{GroupFate, ServicePlan};

impl ServicePlan<'_> {
    /// Ends another broken group of the same place and takes its members.
    ///
    /// Two groups that each lack a host strand all of their other hosts; one of the two can serve.
    /// The other then has to wait for all of the missing hosts and load anew, which the price of
    /// the split includes.
    pub(super) fn split_other(
        &mut self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        order: &[usize],
    ) -> bool {
        let Some(said) = broken.place else { return false };
        let lacking = broken.survey.missing.len();
        let free = self.pool.count(&said.provider, &said.domain);
        let donor = order.iter().rev().copied().filter(|at| *at != broken.at).find_map(|at| {
            let donor = self.describe(frame, at);
            let same = donor
                .survey
                .anchor
                .is_some_and(|d| d.domain == said.domain && d.provider == said.provider);
            let present = donor.survey.group.members.len() - donor.survey.missing.len();
            let fits = same
                && self.fates[at] == GroupFate::Keep
                && donor.survey.missing.len() >= lacking
                && present + free >= lacking;
            fits.then_some(donor)
        });
        let Some(donor) = donor else { return false };
        let load = self.load_seconds(frame, lacking);
        let (mine, other) = (self.expected_wait(frame, broken), self.expected_wait(frame, &donor));
        let price = 2.0 * load + (mine - other).max(0.0);
        if self.weigh_beyond_limit(frame, broken, price) > 0.0 {
            return false;
        }
        self.take_members(frame, broken, &donor);
        self.note(frame, broken, PlanReason::SplitBroken, (price, Some(mine)));
        true
    }

    /// Patience of the cost model alone: the rules' longest wait is meant for replacements that
    /// take nothing from anyone else.
    fn weigh_beyond_limit(
        &self,
        frame: &RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        price: f64,
    ) -> f64 {
        if broken.hopeless {
            return 0.0;
        }
        let load = self.load_seconds(frame, 1);
        let model = if broken.dark { &frame.memory.domains } else { &frame.memory.hosts };
        model.weigh(&self.rules, broken.away, load, price).patience_seconds
    }

    fn take_members(
        &mut self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
        donor: &BrokenGroup<'_>,
    ) {
        let mut offered: Vec<(usize, HostName)> = donor
            .survey
            .group
            .members
            .iter()
            .enumerate()
            .filter(|(_, host)| !donor.survey.missing.contains(host))
            .map(|(rank, host)| (rank, host.clone()))
            .collect();
        let mut members = broken.survey.group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if !broken.survey.missing.contains(&&*member) {
                continue;
            }
            // A host that held the same position elsewhere has the right weights loaded already.
            let same = offered.iter().position(|(other, _)| *other == rank).unwrap_or(0);
            if same < offered.len() {
                *member = offered.remove(same).1;
            }
        }
        frame.dissolve(donor.index);
        frame.replace(broken.index, members);
        self.fates[donor.at] = GroupFate::Ended;
        self.fates[broken.at] = GroupFate::Ended;
        self.mended();
    }

    /// The last resort: hosts of another fabric domain of the same provider.
    pub(super) fn cross_domains(
        &mut self,
        frame: &mut RoundFrame<'_>,
        broken: &BrokenGroup<'_>,
    ) -> bool {
        let Some(said) = broken.place.filter(|_| self.rules.cross_domain) else { return false };
        let lacking = broken.survey.missing.len();
        if self.pool.count_provider(&said.provider) < lacking || broken.survey.anchor.is_none() {
            return false;
        }
        // A slow group loses part of its worth to callers and strands nobody, so the more stranded
        // accelerators weigh, the sooner fabric domains are crossed.
        let lost = f64::from(self.rules.cross_domain_loss_percent) / 100.0;
        let slow = lost * self.rules.downtime_weight / self.worth_of(broken).max(f64::MIN_POSITIVE);
        let wait = self.expected_wait(frame, broken);
        let price = self.load_seconds(frame, lacking) + slow * wait;
        if self.weigh_beyond_limit(frame, broken, price) > 0.0 {
            return false;
        }
        let mut members = broken.survey.group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if broken.survey.missing.contains(&&*member) {
                let pools = self.pool.places.iter_mut();
                let mut pools: Vec<_> = pools.filter(|p| p.provider == &said.provider).collect();
                pools.sort_by_key(|pool| (*pool.domain != said.domain, pool.len()));
                if let Some(host) = pools.iter_mut().find_map(|pool| pool.take_one(rank)) {
                    *member = host;
                }
            }
        }
        frame.replace(broken.index, members);
        self.fates[broken.at] = GroupFate::Ended;
        self.mended();
        self.note(frame, broken, PlanReason::CrossDomain, (price, Some(wait)));
        true
    }
}
