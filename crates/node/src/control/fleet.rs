//! The control thread's view of the fleet: the connected agents and what they have reported.

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

/// How long a group's report is awaited after its first host has reconnected.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a disconnected host without a group is remembered.
const ABSENT_HOST_RETENTION: Duration = Duration::from_secs(3600);

#[derive(Debug)]
struct KnownHost {
    announcement: HostAnnouncement,
    session: Option<SessionId>,
    since: TimePoint,
    /// Fencing number of the membership last sent on this session.
    notified_fencing: Option<FencingNumber>,
    /// Whether the group was last notified to leave, with its fencing number.
    notified_leave: Option<(FencingNumber, bool)>,
    notified_may_stop: bool,
}

#[derive(Debug)]
struct GroupHealth {
    fencing: FencingNumber,
    whole: bool,
    since: TimePoint,
}

/// Connected agents and the state of groups, rebuilt from reports by every new leader.
#[derive(Debug, Default)]
pub(super) struct FleetRoster {
    sessions: SortedTable<SessionId, LinkWriter>,
    /// Sessions on which no directive may be sent yet; see `admit`.
    pending: SortedTable<SessionId, LinkWriter>,
    hosts: SortedTable<HostName, KnownHost>,
    health: SortedTable<GroupId, GroupHealth>,
    /// First hosts of groups that have no work left, with the group's fencing number.
    drained: SortedTable<HostName, FencingNumber>,
    /// Groups formed before this leader's term whose first hosts have not reported to it yet.
    awaited: Vec<GroupId>,
    awaiting_since: Option<TimePoint>,
}

impl FleetRoster {
    /// Adds a new session, on which no directive is sent before `admit`.
    pub(super) fn open(&mut self, session: SessionId, writer: LinkWriter) {
        self.pending.insert(session, writer);
    }

    /// Sessions that have not been admitted yet.
    pub(super) fn pending_sessions(&self) -> Vec<SessionId> {
        self.pending.keys().copied().collect()
    }

    /// Allows directives on `session`, once a majority has confirmed after its opening that this
    /// host is still the leader.
    ///
    /// A restarted agent has no fencing number to compare with. Without the confirmation, a leader
    /// that was replaced without noticing could send it an old assignment, and the agent would
    /// then send its engine an outdated order.
    pub(super) fn admit(&mut self, session: SessionId) {
        if let Some(writer) = self.pending.remove(&session) {
            self.sessions.insert(session, writer);
        }
    }

    pub(super) fn close(&mut self, now: TimePoint, session: SessionId) {
        self.sessions.remove(&session);
        self.pending.remove(&session);
        for host in self.hosts.values_mut().filter(|host| host.session == Some(session)) {
            host.session = None;
            host.since = now;
        }
    }

    /// Handles a report. Returns `true` when it changes the snapshot for entries.
    pub(super) fn handle_report(
        &mut self,
        now: TimePoint,
        session: SessionId,
        report: AgentReport,
    ) -> bool {
        match report {
            AgentReport::Announce(announcement) => {
                self.handle_announcement(now, session, announcement)
            }
            AgentReport::GroupState { group, fencing, whole, .. } => {
                self.handle_group_state(now, group, fencing, whole)
            }
            AgentReport::Drained { host, fencing } => {
                log::info!(host = host.as_str(); "leaving group has no work left");
                self.drained.insert(host, fencing);
                false
            }
        }
    }

    /// Handles an announcement. Returns `true` when the agent is new or has restarted, which
    /// entries must learn.
    fn handle_announcement(
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
        let notified_fencing = earlier.and_then(|host| host.notified_fencing);
        let notified_leave = earlier.and_then(|host| host.notified_leave);
        let notified_may_stop = earlier.is_some_and(|host| host.notified_may_stop);
        self.hosts.insert(
            announcement.host.clone(),
            KnownHost {
                announcement,
                session: Some(session),
                since,
                notified_fencing,
                notified_leave,
                notified_may_stop,
            },
        );
        restarted
    }

    fn handle_group_state(
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

    /// Sends every connected agent its group membership, once per fencing number.
    pub(super) fn send_memberships(&mut self, registry: &GroupRegistry) {
        for (name, host) in self.hosts.iter_mut() {
            let binding = registry.binding(name);
            if host.notified_fencing == Some(binding.fencing) {
                continue;
            }
            let Some(writer) = host.session.and_then(|session| self.sessions.get(&session)) else {
                continue;
            };
            let directive = match binding.group.and_then(|group| registry.group(group)) {
                Some(group) => ControlDirective::Assign(group.assignment.clone()),
                None => ControlDirective::Free { fencing: binding.fencing },
            };
            // If the stream's queue is full, a later tick sends the directive.
            if writer.try_send(&directive).unwrap_or(false) {
                host.notified_fencing = Some(binding.fencing);
            }
        }
    }

    /// Directs the first hosts of `leaving` groups to leave and those of other groups to stay, and
    /// notifies the hosts in `stoppable` that they may stop. Each directive is sent once.
    pub(super) fn send_stop_directives(
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
            // The host must have received its assignment before it can leave the group.
            if host.notified_fencing != Some(fencing)
                || host.notified_leave == Some((fencing, leaves))
            {
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
                host.notified_leave = Some((fencing, leaves));
            }
        }
        for (name, host) in self.hosts.iter_mut() {
            let may_stop = stoppable.contains(name);
            if !may_stop || host.notified_may_stop {
                host.notified_may_stop = may_stop;
                continue;
            }
            let session = host.session.and_then(|session| self.sessions.get(&session));
            let directive = ControlDirective::MayStop;
            host.notified_may_stop =
                session.is_some_and(|writer| writer.try_send(&directive).unwrap_or(false));
        }
    }

    /// Whether the first host of `group` has reported that no work is left, or the group has ended.
    pub(super) fn is_drained(&self, registry: &GroupRegistry, group: GroupId) -> bool {
        let Some(group) = registry.group(group) else { return true };
        let first = group.assignment.members.first();
        first.and_then(|first| self.drained.get(&first.host)) == Some(&group.assignment.fencing)
    }

    /// Treats every group of `registry` as whole until its first host reports.
    ///
    /// Agents need some time to find a new leader. Showing their groups as broken meanwhile would
    /// stop entries from using replicas that can serve. Showing a broken group as whole is safe,
    /// because agents refuse requests that must not run.
    pub(super) fn await_reports(&mut self, registry: &GroupRegistry) {
        self.awaited = registry.groups().map(|group| group.assignment.group).collect();
        self.awaiting_since = None;
    }

    /// Stops waiting for overdue reports. Returns `true` when that changes the snapshot for
    /// entries.
    pub(super) fn expire_awaited(&mut self, now: TimePoint, registry: &GroupRegistry) -> bool {
        let since = *self.awaiting_since.get_or_insert(now);
        if self.awaited.is_empty() {
            return false;
        }
        let before = self.awaited.len();
        let grace_over = now.since(since) >= RECONNECT_GRACE;
        let mut awaited = std::mem::take(&mut self.awaited);
        awaited.retain(|group| !grace_over && self.may_still_report(now, registry, *group));
        self.awaited = awaited;
        self.awaited.len() != before
    }

    fn may_still_report(&self, now: TimePoint, registry: &GroupRegistry, group: GroupId) -> bool {
        let first = registry.group(group).and_then(|group| group.assignment.members.first());
        let Some(first) = first.filter(|_| !self.health.contains_key(&group)) else { return false };
        self.hosts.get(&first.host).is_none_or(|host| now.since(host.since) < REPORT_TIMEOUT)
    }

    /// Removes hosts that have been disconnected for long, and the state of dissolved groups.
    pub(super) fn prune(&mut self, now: TimePoint, registry: &GroupRegistry) {
        self.hosts.retain(|name, host| {
            host.session.is_some()
                || registry.binding(name).group.is_some()
                || now.since(host.since) < ABSENT_HOST_RETENTION
        });
        self.health.retain(|group, _| registry.group(*group).is_some());
        self.drained.retain(|host, fencing| registry.binding(host).fencing == *fencing);
    }

    /// The fleet in the form that the planner takes.
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

    /// The groups in the form that is sent to entries.
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

    /// Whether a connected member announces a different address than in the group's assignment.
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
            None => self.awaited.binary_search(&group).is_ok(),
        }
    }
}
