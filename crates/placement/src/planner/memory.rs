//! What the planner remembers between rounds: absences, former seats, hosts that load weights.

use std::time::Duration;

use briartray_model::names::{DomainName, GroupId, HostName};
use briartray_model::{SortedTable, TimePoint};

use super::absence::{AbsenceModel, GONE_SECONDS};
use super::pool::{FormerSeat, SeatMemory};
use super::survey::FleetSurvey;
use super::{FleetView, GroupView, HostView};

/// A host that was away for less than this is taken to have its weights still loaded.
const QUICK_RETURN: Duration = Duration::from_secs(40);

/// How long a fabric domain that comes back is given until its last hosts are there.
///
/// They come back one by one; without the pause the first ones would be put into new groups with
/// other positions, and all of them would have to load their weights again.
const RECOVERY: Duration = Duration::from_secs(60);

/// A fabric domain most of whose hosts vanished together.
#[derive(Debug, Clone, PartialEq)]
struct DarkDomain {
    since: TimePoint,
    /// When most of its hosts were back.
    back: Option<TimePoint>,
}

#[derive(Debug, Clone, PartialEq)]
struct HostAbsence {
    since: TimePoint,
    incarnation: Option<u64>,
    /// The host vanished along with its fabric domain, or has been counted as gone.
    counted: bool,
}

/// Knowledge carried from one round to the next.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct PlannerMemory {
    absences: SortedTable<HostName, HostAbsence>,
    dark: SortedTable<DomainName, DarkDomain>,
    /// Absences of single hosts.
    pub(super) hosts: AbsenceModel,
    /// Absences of whole fabric domains.
    pub(super) domains: AbsenceModel,
    /// Where free hosts sat before.
    pub(super) seats: SeatMemory,
    /// Hosts whose weights are not loaded as far as the planner can tell.
    fresh: SortedTable<HostName, ()>,
    /// Free hosts that load ahead, with the time when they are expected to be ready.
    preparing: SortedTable<HostName, TimePoint>,
}

impl PlannerMemory {
    /// Learns from what changed since the last round.
    pub(super) fn observe(&mut self, now: TimePoint, view: &FleetView, survey: &FleetSurvey<'_>) {
        self.note_dark(now, survey);
        self.note_returns(now, view);
        for host in &survey.absent {
            self.note_absent(now, host, survey);
        }
        for group in &survey.groups {
            for host in &group.missing {
                if !self.absences.contains_key(host) {
                    self.note_unknown(now, host);
                }
            }
        }
        self.end_preparing(now, view);
        self.fresh.retain(|host, ()| !sits_whole(view, host));
        self.seats.retain(|host, _| view.hosts.get(host).is_some_and(|host| host.group.is_none()));
    }

    /// How long `host` has been away, in seconds.
    pub(super) fn away_seconds(&self, now: TimePoint, host: &HostName) -> f64 {
        self.absences.get(host).map_or(0.0, |absence| now.since(absence.since).as_secs_f64())
    }

    /// How long the fabric domain has been dark, in seconds.
    pub(super) fn dark_seconds(&self, now: TimePoint, domain: &DomainName) -> Option<f64> {
        self.dark.get(domain).map(|dark| now.since(dark.since).as_secs_f64())
    }

    /// Members of `group` that still have to load their weights.
    pub(super) fn loads_of(&self, group: &GroupView) -> usize {
        if self.fresh.is_empty() {
            return 0;
        }
        group.members.iter().filter(|host| self.fresh.contains_key(host)).count()
    }

    /// Whether `host` still has to load its weights as far as the planner can tell.
    pub(super) fn is_fresh(&self, host: &HostName) -> bool {
        self.fresh.contains_key(host)
    }

    /// Hosts that load now: in a group and not known to be ready.
    pub(super) fn loads_running(&self, view: &FleetView) -> usize {
        let in_groups = self
            .fresh
            .keys()
            .filter_map(|host| view.hosts.get(host))
            .filter(|host| host.present && host.group.is_some())
            .count();
        in_groups + self.preparing.len()
    }

    /// When `host` is expected to be ready for the position `rank`; none when it would have to
    /// start to load.
    pub(super) fn ready_at(
        &self,
        now: TimePoint,
        host: &HostName,
        rank: usize,
    ) -> Option<TimePoint> {
        if self.is_ready(host, rank) {
            return Some(now);
        }
        let seated = self.seats.get(host).is_some_and(|seat| seat.rank == rank);
        self.preparing.get(host).filter(|_| seated).copied()
    }

    /// Takes note of a free host that starts to load ahead.
    pub(super) fn remember_preparing(
        &mut self,
        host: &HostName,
        seat: FormerSeat,
        ready: TimePoint,
    ) {
        self.seats.insert(host.clone(), seat);
        self.fresh.insert(host.clone(), ());
        self.preparing.insert(host.clone(), ready);
    }

    fn end_preparing(&mut self, now: TimePoint, view: &FleetView) {
        let fresh = &mut self.fresh;
        self.preparing.retain(|name, ready| {
            let host = view.hosts.get(name).filter(|host| host.present && host.group.is_none());
            let ended = host.is_none() || *ready <= now;
            if host.is_some() && ended {
                fresh.remove(name);
            }
            !ended
        });
    }

    /// Takes note of a group that is about to be dissolved.
    pub(super) fn remember_seats(&mut self, group: &GroupView) {
        for (rank, host) in group.members.iter().enumerate() {
            self.remember_seat(group.group, rank, host);
        }
    }

    /// Takes note of one host that loses its position.
    pub(super) fn remember_seat(&mut self, group: GroupId, rank: usize, host: &HostName) {
        self.seats.insert(host.clone(), FormerSeat { group, rank });
    }

    /// How many hosts of a new group would have weights to load.
    pub(super) fn loads_for(&self, members: &[HostName]) -> usize {
        members.iter().enumerate().filter(|(rank, host)| !self.is_ready(host, *rank)).count()
    }

    /// Takes note of a new group; returns how many of its hosts have weights to load.
    pub(super) fn remember_members(&mut self, members: &[HostName]) -> usize {
        for (rank, host) in members.iter().enumerate() {
            if !self.is_ready(host, rank) {
                self.fresh.insert(host.clone(), ());
            }
        }
        members.iter().filter(|host| self.fresh.contains_key(host)).count()
    }

    fn is_ready(&self, host: &HostName, rank: usize) -> bool {
        !self.fresh.contains_key(host) && self.seats.get(host).is_some_and(|seat| seat.rank == rank)
    }

    /// Takes note of one host that takes over a position.
    pub(super) fn remember_member(&mut self, host: &HostName) {
        self.fresh.insert(host.clone(), ());
    }

    fn note_dark(&mut self, now: TimePoint, survey: &FleetSurvey<'_>) {
        for count in &survey.domains {
            if count.is_dark() {
                let begin = || DarkDomain { since: now, back: None };
                self.dark.get_or_insert_with(count.domain.clone(), begin).back = None;
            }
        }
        let domains = &mut self.domains;
        self.dark.retain(|domain, dark| {
            if survey.is_dark(domain) {
                return true;
            }
            if dark.back.is_none() {
                domains.record_return(now.since(dark.since).as_secs_f64(), true);
            }
            let back = *dark.back.get_or_insert(now);
            survey.lacks_hosts(domain) && now.since(back) < RECOVERY
        });
    }

    /// When the next fabric domain has had its time to come back.
    pub(super) fn next_recovery(&self) -> Option<TimePoint> {
        self.dark.values().filter_map(|dark| dark.back).map(|back| back.after(RECOVERY)).min()
    }

    fn note_returns(&mut self, now: TimePoint, view: &FleetView) {
        let (hosts, fresh) = (&mut self.hosts, &mut self.fresh);
        self.absences.retain(|name, absence| {
            let Some(host) = view.hosts.get(name).filter(|host| host.present) else {
                return view.hosts.contains_key(name) || !absence.counted;
            };
            let away = now.since(absence.since);
            let same = absence.incarnation == Some(host.announcement.incarnation);
            let kept = same || away < QUICK_RETURN;
            if !kept {
                fresh.insert(name.clone(), ());
            }
            if !absence.counted {
                hosts.record_return(away.as_secs_f64(), kept);
            }
            false
        });
    }

    fn note_absent(&mut self, now: TimePoint, host: &HostView, survey: &FleetSurvey<'_>) {
        let name = &host.announcement.host;
        let dark = survey.is_dark(&host.announcement.domain);
        let hosts = &mut self.hosts;
        let Some(absence) = self.absences.get_mut(name) else {
            let incarnation = Some(host.announcement.incarnation);
            let since = host.since.min(now);
            // A host that was told to leave says nothing about hosts that vanish.
            let counted = dark || host.announcement.leaving;
            self.absences.insert(name.clone(), HostAbsence { since, incarnation, counted });
            return;
        };
        absence.counted |= dark;
        if !absence.counted && now.since(absence.since).as_secs_f64() > GONE_SECONDS {
            absence.counted = true;
            hosts.record_gone();
        }
    }

    /// A member that no agent has announced since this planner began, as after a change of leader:
    /// its absence is counted from now, since nothing older is known.
    fn note_unknown(&mut self, now: TimePoint, host: &HostName) {
        let absence = HostAbsence { since: now, incarnation: None, counted: true };
        self.absences.insert(host.clone(), absence);
    }
}

fn sits_whole(view: &FleetView, host: &HostName) -> bool {
    view.hosts
        .get(host)
        .and_then(|host| host.group)
        .and_then(|group| view.groups.get(&group))
        .is_some_and(|group| group.whole)
}
