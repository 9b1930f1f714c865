//! State of the planner between rounds: absences, domain outages, former memberships, and hosts
//! that load weights.

use std::time::Duration;

use briartray_model::names::{DomainName, GroupId, HostName};
use briartray_model::{SortedTable, TimePoint};

use super::absence::{AbsenceModel, PERMANENT_LOSS_SECONDS};
use super::pool::{FormerMembership, MembershipHistory};
use super::survey::FleetSurvey;
use super::{FleetView, GroupView, HostView};

/// A host that was absent for less than this is assumed to still have its weights loaded.
const WEIGHTS_KEPT_LIMIT: Duration = Duration::from_secs(40);

/// Time for the remaining hosts of a fabric domain to return after most have returned.
///
/// Hosts return one by one. Without the pause, the first ones would be put into new groups with
/// other ranks, and all of them would have to load their weights again.
const DOMAIN_RECOVERY_TIME: Duration = Duration::from_secs(60);

/// Outage of a fabric domain: most of its hosts disappeared together.
#[derive(Debug, Clone, PartialEq)]
struct DomainOutage {
    since: TimePoint,
    /// When most of its hosts had returned.
    recovering_since: Option<TimePoint>,
}

/// Absence of one host that has not returned.
#[derive(Debug, Clone, PartialEq)]
struct HostAbsence {
    since: TimePoint,
    /// Incarnation of the host before its absence; `None` if it is unknown.
    incarnation: Option<u64>,
    /// Not to be recorded in `host_absences`: the absence is planned, part of a domain outage, of
    /// unknown start, or already recorded as a permanent loss.
    excluded: bool,
}

/// Knowledge that is carried from one planning round to the next.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct PlannerMemory {
    absences: SortedTable<HostName, HostAbsence>,
    outages: SortedTable<DomainName, DomainOutage>,
    /// Absences of single hosts.
    pub(super) host_absences: AbsenceModel,
    /// Absences of whole fabric domains.
    pub(super) domain_absences: AbsenceModel,
    /// Last group and rank of hosts that are free now.
    pub(super) former_memberships: MembershipHistory,
    /// Hosts whose weights are not known to be loaded.
    unloaded: SortedTable<HostName, ()>,
    /// Free hosts that are being prepared, with the time when they are expected to be ready.
    preparing: SortedTable<HostName, TimePoint>,
}

impl PlannerMemory {
    /// Updates the state with what has changed since the last round.
    pub(super) fn observe(&mut self, now: TimePoint, view: &FleetView, survey: &FleetSurvey<'_>) {
        self.track_outages(now, survey);
        self.record_returns(now, view);
        for host in &survey.absent {
            self.record_absence(now, host, survey);
        }
        for group in &survey.groups {
            for host in &group.missing {
                if !self.absences.contains_key(host) {
                    self.record_unknown_member(now, host);
                }
            }
        }
        self.remove_finished_preparing(now, view);
        self.unloaded.retain(|host, ()| !is_in_whole_group(view, host));
        self.former_memberships
            .retain(|host, _| view.hosts.get(host).is_some_and(|host| host.group.is_none()));
    }

    /// How long `host` has been absent, in seconds.
    pub(super) fn absent_seconds(&self, now: TimePoint, host: &HostName) -> f64 {
        self.absences.get(host).map_or(0.0, |absence| now.since(absence.since).as_secs_f64())
    }

    /// How long the outage of `domain` has lasted, in seconds; `None` if there is none.
    pub(super) fn outage_seconds(&self, now: TimePoint, domain: &DomainName) -> Option<f64> {
        self.outages.get(domain).map(|outage| now.since(outage.since).as_secs_f64())
    }

    /// Number of members of `group` that still have to load their weights.
    pub(super) fn unloaded_members(&self, group: &GroupView) -> usize {
        if self.unloaded.is_empty() {
            return 0;
        }
        group.members.iter().filter(|host| self.unloaded.contains_key(host)).count()
    }

    /// Whether `host` is not known to have its weights loaded.
    pub(super) fn is_unloaded(&self, host: &HostName) -> bool {
        self.unloaded.contains_key(host)
    }

    /// Number of hosts that load now: present members not known to be ready, and prepared hosts.
    pub(super) fn running_loads(&self, view: &FleetView) -> usize {
        let in_groups = self
            .unloaded
            .keys()
            .filter_map(|host| view.hosts.get(host))
            .filter(|host| host.present && host.group.is_some())
            .count();
        in_groups + self.preparing.len()
    }

    /// When `host` is expected to be ready to serve as `rank`; `None` if it has not started to
    /// load the weights of that rank.
    pub(super) fn ready_at(
        &self,
        now: TimePoint,
        host: &HostName,
        rank: usize,
    ) -> Option<TimePoint> {
        if self.is_ready(host, rank) {
            return Some(now);
        }
        let same_rank =
            self.former_memberships.get(host).is_some_and(|membership| membership.rank == rank);
        self.preparing.get(host).filter(|_| same_rank).copied()
    }

    /// Records that a free host is prepared for the rank in `membership`.
    pub(super) fn record_preparing(
        &mut self,
        host: &HostName,
        membership: FormerMembership,
        ready: TimePoint,
    ) {
        self.former_memberships.insert(host.clone(), membership);
        self.unloaded.insert(host.clone(), ());
        self.preparing.insert(host.clone(), ready);
    }

    fn remove_finished_preparing(&mut self, now: TimePoint, view: &FleetView) {
        let unloaded = &mut self.unloaded;
        self.preparing.retain(|name, ready| {
            let host = view.hosts.get(name).filter(|host| host.present && host.group.is_none());
            let finished = host.is_none() || *ready <= now;
            if host.is_some() && finished {
                unloaded.remove(name);
            }
            !finished
        });
    }

    /// Records the members of a group that is about to be dissolved.
    pub(super) fn record_former_members(&mut self, group: &GroupView) {
        for (rank, host) in group.members.iter().enumerate() {
            self.record_former_member(group.group, rank, host);
        }
    }

    /// Records a host that is removed from a group.
    pub(super) fn record_former_member(&mut self, group: GroupId, rank: usize, host: &HostName) {
        self.former_memberships.insert(host.clone(), FormerMembership { group, rank });
    }

    /// Number of hosts of a new group that would have to load weights.
    pub(super) fn loads_needed(&self, members: &[HostName]) -> usize {
        members.iter().enumerate().filter(|(rank, host)| !self.is_ready(host, *rank)).count()
    }

    /// Records the members of a new group; returns how many of them have to load weights.
    pub(super) fn record_new_group(&mut self, members: &[HostName]) -> usize {
        for (rank, host) in members.iter().enumerate() {
            if !self.is_ready(host, rank) {
                self.unloaded.insert(host.clone(), ());
            }
        }
        members.iter().filter(|host| self.unloaded.contains_key(host)).count()
    }

    fn is_ready(&self, host: &HostName, rank: usize) -> bool {
        !self.unloaded.contains_key(host)
            && self.former_memberships.get(host).is_some_and(|membership| membership.rank == rank)
    }

    /// Records that `host` has to load the weights of a new rank.
    pub(super) fn mark_unloaded(&mut self, host: &HostName) {
        self.unloaded.insert(host.clone(), ());
    }

    fn track_outages(&mut self, now: TimePoint, survey: &FleetSurvey<'_>) {
        for count in &survey.domains {
            if count.has_outage() {
                let new_outage = || DomainOutage { since: now, recovering_since: None };
                self.outages
                    .get_or_insert_with(count.domain.clone(), new_outage)
                    .recovering_since = None;
            }
        }
        let domain_absences = &mut self.domain_absences;
        self.outages.retain(|domain, outage| {
            if survey.has_outage(domain) {
                return true;
            }
            if outage.recovering_since.is_none() {
                domain_absences.record_return(now.since(outage.since).as_secs_f64(), true);
            }
            let recovering_since = *outage.recovering_since.get_or_insert(now);
            survey.has_absent_members(domain) && now.since(recovering_since) < DOMAIN_RECOVERY_TIME
        });
    }

    /// When the next `DOMAIN_RECOVERY_TIME` of a fabric domain ends.
    pub(super) fn next_recovery_end(&self) -> Option<TimePoint> {
        self.outages
            .values()
            .filter_map(|outage| outage.recovering_since)
            .map(|recovering_since| recovering_since.after(DOMAIN_RECOVERY_TIME))
            .min()
    }

    fn record_returns(&mut self, now: TimePoint, view: &FleetView) {
        let (host_absences, unloaded) = (&mut self.host_absences, &mut self.unloaded);
        self.absences.retain(|name, absence| {
            let Some(host) = view.hosts.get(name).filter(|host| host.present) else {
                return view.hosts.contains_key(name) || !absence.excluded;
            };
            let absent_for = now.since(absence.since);
            let same_incarnation = absence.incarnation == Some(host.announcement.incarnation);
            let weights_kept = same_incarnation || absent_for < WEIGHTS_KEPT_LIMIT;
            if !weights_kept {
                unloaded.insert(name.clone(), ());
            }
            if !absence.excluded {
                host_absences.record_return(absent_for.as_secs_f64(), weights_kept);
            }
            false
        });
    }

    fn record_absence(&mut self, now: TimePoint, host: &HostView, survey: &FleetSurvey<'_>) {
        let name = &host.announcement.host;
        let outage = survey.has_outage(&host.announcement.domain);
        let host_absences = &mut self.host_absences;
        let Some(absence) = self.absences.get_mut(name) else {
            let incarnation = Some(host.announcement.incarnation);
            let since = host.since.min(now);
            // A planned absence is no evidence of how long hosts that fail stay absent.
            let excluded = outage || host.announcement.leaving;
            self.absences.insert(name.clone(), HostAbsence { since, incarnation, excluded });
            return;
        };
        absence.excluded |= outage;
        if !absence.excluded && now.since(absence.since).as_secs_f64() > PERMANENT_LOSS_SECONDS {
            absence.excluded = true;
            host_absences.record_permanent_loss();
        }
    }

    /// Records a member that has not been announced since this planner started, as after a change
    /// of leader. The start of its absence is unknown, so it is measured from now.
    fn record_unknown_member(&mut self, now: TimePoint, host: &HostName) {
        let absence = HostAbsence { since: now, incarnation: None, excluded: true };
        self.absences.insert(host.clone(), absence);
    }
}

fn is_in_whole_group(view: &FleetView, host: &HostName) -> bool {
    view.hosts
        .get(host)
        .and_then(|host| host.group)
        .and_then(|group| view.groups.get(&group))
        .is_some_and(|group| group.whole)
}
