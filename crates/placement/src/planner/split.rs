//! Repair without spares: with the hosts of another broken group or of other fabric domains.

use briartray_model::names::HostName;

use super::group_planner::RoundContext;
use super::reason::PlanReason;
use super::repair::BrokenGroup;
use super::service::{GroupDisposition, ServicePlan};

impl ServicePlan<'_> {
    /// Dissolves another broken group of the same place and completes this one with its hosts.
    ///
    /// Two groups that each lack a host strand all of their other hosts, which are enough for one
    /// serving group. The dissolved group then has to wait for all of the missing hosts and to load
    /// its weights again, which the cost of the split includes.
    pub(super) fn split_other(
        &mut self,
        context: &mut RoundContext<'_>,
        broken: &BrokenGroup<'_>,
        order: &[usize],
    ) -> bool {
        let Some(place) = broken.place else { return false };
        let lacking = broken.survey.missing.len();
        let free = self.pool.count(&place.provider, &place.domain);
        let donor =
            order.iter().rev().copied().filter(|slot| *slot != broken.slot).find_map(|slot| {
                let donor = self.describe(context, slot);
                let same = donor
                    .survey
                    .present_member
                    .is_some_and(|d| d.domain == place.domain && d.provider == place.provider);
                let present = donor.survey.group.members.len() - donor.survey.missing.len();
                let fits = same
                    && self.dispositions[slot] == GroupDisposition::Keep
                    && donor.survey.missing.len() >= lacking
                    && present + free >= lacking;
                fits.then_some(donor)
            });
        let Some(donor) = donor else { return false };
        let load = self.load_seconds(context, lacking);
        let (own_wait, donor_wait) =
            (self.expected_wait(context, broken), self.expected_wait(context, &donor));
        let cost = 2.0 * load + (own_wait - donor_wait).max(0.0);
        if self.wait_beyond_limit(context, broken, cost) > 0.0 {
            return false;
        }
        self.take_members(context, broken, &donor);
        self.record_repair_decision(
            context,
            broken,
            PlanReason::SplitBroken,
            (cost, Some(own_wait)),
        );
        true
    }

    /// How much longer to wait according to the cost model alone, in seconds.
    ///
    /// The wait limit of the rules is left out: it is meant for replacements that take no hosts
    /// from other groups or domains.
    fn wait_beyond_limit(
        &self,
        context: &RoundContext<'_>,
        broken: &BrokenGroup<'_>,
        cost: f64,
    ) -> f64 {
        if broken.unrecoverable {
            return 0.0;
        }
        let load = self.load_seconds(context, 1);
        let model = if broken.in_outage {
            &context.memory.domain_absences
        } else {
            &context.memory.host_absences
        };
        model.estimate_wait(&self.rules, broken.absent_seconds, load, cost).max_wait_seconds
    }

    fn take_members(
        &mut self,
        context: &mut RoundContext<'_>,
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
            // A host that had the same rank in the other group has the right weights loaded.
            let same = offered.iter().position(|(other, _)| *other == rank).unwrap_or(0);
            if same < offered.len() {
                *member = offered.remove(same).1;
            }
        }
        context.dissolve(donor.survey_index);
        context.replace(broken.survey_index, members);
        self.dispositions[donor.slot] = GroupDisposition::Handled;
        self.dispositions[broken.slot] = GroupDisposition::Handled;
        self.count_successor();
    }

    /// Completes the group with hosts of other fabric domains of its provider, as a last resort.
    pub(super) fn cross_domains(
        &mut self,
        context: &mut RoundContext<'_>,
        broken: &BrokenGroup<'_>,
    ) -> bool {
        let Some(place) = broken.place.filter(|_| self.rules.cross_domain) else { return false };
        let lacking = broken.survey.missing.len();
        if self.pool.count_provider(&place.provider) < lacking
            || broken.survey.present_member.is_none()
        {
            return false;
        }
        // A group across domains serves callers more slowly and strands no accelerators. The more
        // weight stranded accelerators have, the sooner fabric domains are crossed.
        let lost = f64::from(self.rules.cross_domain_loss_percent) / 100.0;
        let slow = lost * self.rules.downtime_weight
            / self.broken_cost_rate(broken).max(f64::MIN_POSITIVE);
        let wait = self.expected_wait(context, broken);
        let cost = self.load_seconds(context, lacking) + slow * wait;
        if self.wait_beyond_limit(context, broken, cost) > 0.0 {
            return false;
        }
        let mut members = broken.survey.group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if broken.survey.missing.contains(&&*member) {
                let pools = self.pool.places.iter_mut();
                let mut pools: Vec<_> = pools.filter(|p| p.provider == &place.provider).collect();
                pools.sort_by_key(|pool| (*pool.domain != place.domain, pool.len()));
                if let Some(host) = pools.iter_mut().find_map(|pool| pool.take_for_rank(rank)) {
                    *member = host;
                }
            }
        }
        context.replace(broken.survey_index, members);
        self.dispositions[broken.slot] = GroupDisposition::Handled;
        self.count_successor();
        self.record_repair_decision(context, broken, PlanReason::CrossDomain, (cost, Some(wait)));
        true
    }
}
