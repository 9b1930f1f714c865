//! What the control thread knows of agents: who is connected and what they report.

use std::time::Duration;

use briartray_control::state::GroupRegistry;
use briartray_link::LinkWriter;
use briartray_model::message::{
    AgentReport, ControlDirective, GroupAssignment, GroupRecord, HostAnnouncement,
};
use briartray_model::names::{FencingNumber, GroupId, HostName};
use briartray_model::{SortedTable, TimePoint};
use briartray_placement::planner::{FleetView, GroupView, HostView};

use super::core::RECONNECT_GRACE;
use super::input::SessionId;

/// How long after a group's first host is back its report is waited for.
const REPORT_WAIT: Duration = Duration::from_secs(1);

/// How long a host that went away is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

#[derive(Debug)]
struct KnownHost {
    announcement: HostAnnouncement,
    session: Option<SessionId>,
    since: TimePoint,
    told: Option<FencingNumber>,
    /// Whether its group was told to leave, with the group's fencing number.
    told_leave: Option<(FencingNumber, bool)>,
    told_may_stop: bool,
}

#[derive(Debug)]
struct GroupHealth {
    fencing: FencingNumber,
    whole: bool,
    since: TimePoint,
}

/// Connected agents and the state of groups; rebuilt from reports after a restart.
#[derive(Debug, Default)]
pub(super) struct FleetRoster {
    sessions: SortedTable<SessionId, LinkWriter>,
    /// Sessions on which nothing is said yet; see `admit`.
    waiting: SortedTable<SessionId, LinkWriter>,
    hosts: SortedTable<HostName, KnownHost>,
    health: SortedTable<GroupId, GroupHealth>,
    /// Fencing numbers of groups that have no work left.
    drained: SortedTable<HostName, FencingNumber>,
    /// Groups of an earlier leader whose first hosts have not reported to this one yet.
    expected: Vec<GroupId>,
    expected_since: Option<TimePoint>,
}

impl FleetRoster {
    /// Takes a new session, on which nothing is said before `admit`.
    pub(super) fn open(&mut self, session: SessionId, writer: LinkWriter) {
        self.waiting.insert(session, writer);
    }

    /// Sessions that are not admitted yet.
    pub(super) fn waiting(&self) -> Vec<SessionId> {
        self.waiting.keys().copied().collect()
    }

    /// Lets directives go out on `session`: a majority has confirmed since it was opened that this
    /// host leads.
    ///
    /// An agent that restarted knows no fencing number. A leader that was replaced without
    /// noticing could give it an old assignment, and with it an order that its engine has long
    /// outgrown.
    pub(super) fn admit(&mut self, session: SessionId) {
        if let Some(writer) = self.waiting.remove(&session) {
            self.sessions.insert(session, writer);
        }
    }

    pub(super) fn close(&mut self, now: TimePoint, session: SessionId) {
        self.sessions.remove(&session);
        self.waiting.remove(&session);
        for host in self.hosts.values_mut().filter(|host| host.session == Some(session)) {
            host.session = None;
            host.since = now;
        }
    }

    /// Takes a report; `true` when entries must learn of it.
    pub(super) fn report(
        &mut self,
        now: TimePoint,
        session: SessionId,
        report: AgentReport,
    ) -> bool {
        match report {
            AgentReport::Announce(announcement) => self.announce(now, session, announcement),
            AgentReport::GroupState { group, fencing, whole, .. } => {
                self.group_state(now, group, fencing, whole)
            }
            AgentReport::Drained { host, fencing } => {
                log::info!(host = host.as_str(); "group has no work left");
                self.drained.insert(host, fencing);
                false
            }
        }
    }

    /// Takes an announcement; `true` when entries must learn that the agent restarted.
    fn announce(
        &mut self,
        now: TimePoint,
        session: SessionId,
        announcement: HostAnnouncement,
    ) -> bool {
        let known = self.hosts.get(&announcement.host);
        let restarted =
            known.is_none_or(|host| host.announcement.incarnation != announcement.incarnation);
        let same_session = known.is_some_and(|host| host.session == Some(session));
        let since = if same_session { known.map_or(now, |host| host.since) } else { now };
        let earlier = known.filter(|_| same_session);
        let told = earlier.and_then(|host| host.told);
        let told_leave = earlier.and_then(|host| host.told_leave);
        let told_may_stop = earlier.is_some_and(|host| host.told_may_stop);
        self.hosts.insert(
            announcement.host.clone(),
            KnownHost {
                announcement,
                session: Some(session),
                since,
                told,
                told_leave,
                told_may_stop,
            },
        );
        restarted
    }

    fn group_state(
        &mut self,
        now: TimePoint,
        group: GroupId,
        fencing: FencingNumber,
        whole: bool,
    ) -> bool {
        let before = self.health.get(&group).map(|health| (health.fencing, health.whole));
        if before.is_some_and(|(known, _)| known > fencing) || before == Some((fencing, whole)) {
            return false;
        }
        log::info!(group = group.0, whole = whole; "group state changed");
        self.health.insert(group, GroupHealth { fencing, whole, since: now });
        true
    }

    /// Tells every connected agent its membership, once for each fencing number.
    pub(super) fn direct(&mut self, registry: &GroupRegistry) {
        for (name, host) in self.hosts.iter_mut() {
            let binding = registry.binding(name);
            if host.told == Some(binding.fencing) {
                continue;
            }
            let Some(writer) = host.session.and_then(|session| self.sessions.get(&session)) else {
                continue;
            };
            let directive = match binding.group.and_then(|group| registry.group(group)) {
                Some(group) => ControlDirective::Assign(group.assignment.clone()),
                None => ControlDirective::Free { fencing: binding.fencing },
            };
            // A full queue is not waited for: the directive goes out on a later tick.
            if writer.try_send(&directive).unwrap_or(false) {
                host.told = Some(binding.fencing);
            }
        }
    }

    /// Tells the first hosts of `leaving` groups to leave, the others to stay, and the hosts in
    /// `stoppable` that they may stop; each once.
    pub(super) fn direct_stops(
        &mut self,
        registry: &GroupRegistry,
        leaving: &[GroupId],
        stoppable: &[HostName],
    ) {
        for group in registry.groups() {
            let Some(first) = group.assignment.members.first() else { continue };
            let fencing = group.assignment.fencing;
            let leaves = leaving.contains(&group.assignment.group);
            let Some(host) = self.hosts.get_mut(&first.host) else { continue };
            // The host must know its group before it can leave it.
            if host.told != Some(fencing) || host.told_leave == Some((fencing, leaves)) {
                continue;
            }
            if !leaves {
                self.drained.remove(&first.host);
            }
            let directive = if leaves {
                ControlDirective::Leave { fencing }
            } else {
                ControlDirective::Stay { fencing }
            };
            let session = host.session.and_then(|session| self.sessions.get(&session));
            if session.is_some_and(|writer| writer.try_send(&directive).unwrap_or(false)) {
                host.told_leave = Some((fencing, leaves));
            }
        }
        for (name, host) in self.hosts.iter_mut() {
            let may_stop = stoppable.contains(name);
            if !may_stop || host.told_may_stop {
                host.told_may_stop = may_stop;
                continue;
            }
            let session = host.session.and_then(|session| self.sessions.get(&session));
            let directive = ControlDirective::MayStop;
            host.told_may_stop =
                session.is_some_and(|writer| writer.try_send(&directive).unwrap_or(false));
        }
    }

    /// Whether the first host of `group` reported that no work is left.
    pub(super) fn is_drained(&self, registry: &GroupRegistry, group: GroupId) -> bool {
        let Some(group) = registry.group(group) else { return true };
        let first = group.assignment.members.first();
        first.and_then(|first| self.drained.get(&first.host)) == Some(&group.assignment.fencing)
    }

    /// Takes every group of `registry` as whole until its first host reports.
    ///
    /// Agents need a moment to find a new leader. Calling their groups broken meanwhile would
    /// stop entries from using replicas that serve; the agents themselves refuse what must not
    /// run, so nothing unsafe follows from calling a broken group whole.
    pub(super) fn expect_groups(&mut self, registry: &GroupRegistry) {
        self.expected = registry.groups().map(|group| group.assignment.group).collect();
        self.expected_since = None;
    }

    /// Ends the waiting for reports that are overdue; `true` when entries must learn of it.
    pub(super) fn settle(&mut self, now: TimePoint, registry: &GroupRegistry) -> bool {
        let since = *self.expected_since.get_or_insert(now);
        if self.expected.is_empty() {
            return false;
        }
        let before = self.expected.len();
        let over = now.since(since) >= RECONNECT_GRACE;
        let mut expected = std::mem::take(&mut self.expected);
        expected.retain(|group| !over && self.report_may_come(now, registry, *group));
        self.expected = expected;
        self.expected.len() != before
    }

    fn report_may_come(&self, now: TimePoint, registry: &GroupRegistry, group: GroupId) -> bool {
        let first = registry.group(group).and_then(|group| group.assignment.members.first());
        let Some(first) = first.filter(|_| !self.health.contains_key(&group)) else { return false };
        self.hosts.get(&first.host).is_none_or(|host| now.since(host.since) < REPORT_WAIT)
    }

    /// Forgets hosts that went away long ago and groups that are gone.
    pub(super) fn prune(&mut self, now: TimePoint, registry: &GroupRegistry) {
        self.hosts.retain(|name, host| {
            host.session.is_some()
                || registry.binding(name).group.is_some()
                || now.since(host.since) < FORGET_AFTER
        });
        self.health.retain(|group, _| registry.group(*group).is_some());
        self.drained.retain(|host, fencing| registry.binding(host).fencing == *fencing);
    }

    /// The fleet as a planner sees it.
    pub(super) fn view(&self, registry: &GroupRegistry) -> FleetView {
        let hosts = self
            .hosts
            .iter()
            .map(|(name, host)| {
                let view = HostView {
                    announcement: host.announcement.clone(),
                    present: host.session.is_some(),
                    since: host.since,
                    group: registry.binding(name).group,
                };
                (name.clone(), view)
            })
            .collect();
        let groups = registry
            .groups()
            .map(|group| {
                let id = group.assignment.group;
                let view = GroupView {
                    group: id,
                    service: group.assignment.service.clone(),
                    members: group.assignment.members.iter().map(|m| m.host.clone()).collect(),
                    whole: self.is_whole(id),
                    since: self.health.get(&id).map_or(TimePoint::default(), |h| h.since),
                    stale_links: self.has_stale_links(&group.assignment),
                };
                (id, view)
            })
            .collect();
        FleetView { hosts, groups }
    }

    /// The groups as entries see them.
    pub(super) fn records(&self, registry: &GroupRegistry) -> Vec<GroupRecord> {
        registry
            .groups()
            .filter_map(|group| {
                let first = group.assignment.members.first()?;
                Some(GroupRecord {
                    group: group.assignment.group,
                    fencing: group.assignment.fencing,
                    service: group.assignment.service.clone(),
                    zone: group.zone.clone(),
                    domain: group.domain.clone(),
                    provider: group.provider.clone(),
                    first: first.host.clone(),
                    link: first.link,
                    incarnation: self
                        .hosts
                        .get(&first.host)
                        .map_or(0, |host| host.announcement.incarnation),
                    whole: self.is_whole(group.assignment.group),
                    capacity: group.assignment.capacity,
                })
            })
            .collect()
    }

    pub(super) fn connected_hosts(&self) -> usize {
        self.hosts.values().filter(|host| host.session.is_some()).count()
    }

    /// Whether a connected member announces another address than the group was formed with.
    fn has_stale_links(&self, assignment: &GroupAssignment) -> bool {
        assignment.members.iter().any(|member| {
            self.hosts
                .get(&member.host)
                .is_some_and(|host| host.session.is_some() && host.announcement.link != member.link)
        })
    }

    fn is_whole(&self, group: GroupId) -> bool {
        match self.health.get(&group) {
            Some(health) => health.whole,
            None => self.expected.binary_search(&group).is_ok(),
        }
    }
}
