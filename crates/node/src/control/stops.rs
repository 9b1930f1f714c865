//! Carries out planned stops: decides which groups leave now, which wait for a replacement, and
//! which hosts may be shut down.
//!
//! A serving group is never dissolved while it runs requests. When the planner dissolves or
//! replaces such a group, the group leaves first, and the command is submitted once the group's
//! first host has reported that no work is left.

use std::time::Duration;

use briartray_control::state::{
    CommandOutcome, ControlCommand, HostPlace, StopBook, StopPlan, StopTarget,
};
use briartray_model::names::{GroupId, HostName, ServiceName};
use briartray_model::rules::{DecisionFacts, RuleBook, StopAction};
use briartray_model::{SortedTable, TimePoint};
use briartray_placement::planner::{FleetView, GroupView, HostView};
use serde_json::{Value, json};

/// How long a planner's command to end a group stays in effect without being repeated.
const END_REQUEST_TTL: Duration = Duration::from_secs(5);

/// How long a stop waits for a replacement; spare hosts that fail to form one must not delay it
/// indefinitely.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(900);

/// The groups that leave, as decided on the last tick.
#[derive(Debug, Default)]
pub(super) struct StopDriver {
    /// Serving groups that the planner wants to end, with the time of its latest command.
    end_requests: SortedTable<GroupId, TimePoint>,
    /// Groups affected by planned stops, with the time when each began to wait.
    waiting: SortedTable<GroupId, TimePoint>,
    /// Groups that leave and take no new work.
    leaving: Vec<GroupId>,
}

impl StopDriver {
    /// Groups that leave and take no new work.
    pub(super) fn leaving(&self) -> &[GroupId] {
        &self.leaving
    }

    /// Whether a command of the planner must wait because its group still runs requests.
    pub(super) fn must_defer(
        &mut self,
        now: TimePoint,
        command: &ControlCommand,
        view: &FleetView,
        is_drained: impl Fn(GroupId) -> bool,
    ) -> bool {
        let group = match command {
            ControlCommand::DissolveGroup { group }
            | ControlCommand::ReplaceGroup { group, .. } => group,
            _ => return false,
        };
        let serves = view.groups.get(group).is_some_and(|known| known.whole);
        if !serves || is_drained(*group) {
            return false;
        }
        self.end_requests.insert(*group, now);
        true
    }

    /// Groups that leave for a planned stop and are not yet recorded in `stops` as leaving.
    pub(super) fn unrecorded_leaving(&self, view: &FleetView, stops: &StopBook) -> Vec<GroupId> {
        let planned = |group: &GroupId| {
            let known = view.groups.get(group);
            known
                .is_some_and(|known| matches!(leave_cause(known, view, stops), LeaveCause::Planned))
        };
        let unrecorded = self.leaving.iter().filter(|group| !stops.has_begun(**group));
        unrecorded.filter(|group| planned(group)).copied().collect()
    }

    /// Decides again which groups leave. Returns `true` when the set has changed.
    pub(super) fn update(
        &mut self,
        now: TimePoint,
        view: &FleetView,
        stops: &StopBook,
        book: &RuleBook,
    ) -> bool {
        self.end_requests.retain(|group, requested_at| {
            view.groups.contains_key(group) && now.since(*requested_at) < END_REQUEST_TTL
        });
        let mut leaving: Vec<GroupId> = Vec::new();
        for group in view.groups.values() {
            let leaves = match leave_cause(group, view, stops) {
                LeaveCause::None => self.end_requests.contains_key(&group.group),
                LeaveCause::Ending => true,
                LeaveCause::Planned => {
                    let since = *self.waiting.get_or_insert_with(group.group, || now);
                    let may_wait = now.since(since) < REPLACEMENT_WAIT;
                    // A group that has begun to leave continues, so that it does not alternate
                    // between leaving and staying.
                    self.leaving.contains(&group.group)
                        || stops.has_begun(group.group)
                        || wait_reason(group, view, stops, book, &leaving, may_wait).is_none()
                }
            };
            if leaves {
                leaving.push(group.group);
            }
        }
        self.waiting.retain(|group, _| {
            let known = view.groups.get(group);
            known
                .is_some_and(|known| matches!(leave_cause(known, view, stops), LeaveCause::Planned))
        });
        let changed = leaving != self.leaving;
        self.leaving = leaving;
        changed
    }
}

/// Why a group leaves.
enum LeaveCause {
    None,
    /// A member's process is shutting down.
    Ending,
    /// A member is part of a planned stop.
    Planned,
}

fn leave_cause(group: &GroupView, view: &FleetView, stops: &StopBook) -> LeaveCause {
    let members = || group.members.iter().filter_map(|host| view.hosts.get(host));
    if members().any(|host| host.present && host.announcement.leaving) {
        return LeaveCause::Ending;
    }
    if members().any(|host| stops.is_leaving(host_place(host))) {
        return LeaveCause::Planned;
    }
    LeaveCause::None
}

fn host_place(host: &HostView) -> HostPlace<'_> {
    let announcement = &host.announcement;
    HostPlace {
        host: &announcement.host,
        zone: &announcement.zone,
        provider: &announcement.provider,
    }
}

/// Marks all hosts of planned stops as leaving in the planner's view.
pub(super) fn mark_leaving_hosts(view: &mut FleetView, stops: &StopBook) {
    for host in view.hosts.values_mut() {
        let leaving = stops.is_leaving(host_place(host));
        host.announcement.leaving |= leaving;
    }
}

/// Leaving hosts that belong to no group or whose group has no work left.
pub(super) fn stoppable_hosts(
    view: &FleetView,
    stops: &StopBook,
    is_drained: impl Fn(GroupId) -> bool,
) -> Vec<HostName> {
    let is_stoppable = |host: &&HostView| {
        let leaving = host.announcement.leaving || stops.is_leaving(host_place(host));
        leaving && host.group.is_none_or(&is_drained)
    };
    view.hosts.values().filter(is_stoppable).map(|host| host.announcement.host.clone()).collect()
}

/// Why a planned stop of `group` waits; `None` when the group may leave now.
fn wait_reason(
    group: &GroupView,
    view: &FleetView,
    stops: &StopBook,
    book: &RuleBook,
    leaving: &[GroupId],
    may_wait: bool,
) -> Option<String> {
    if !group.whole {
        return None;
    }
    let action = stop_rule(group, view, book);
    let others = view
        .groups
        .values()
        .filter(|other| other.service == group.service && other.group != group.group)
        .filter(|other| other.whole && !leaving.contains(&other.group))
        .filter(|other| matches!(leave_cause(other, view, stops), LeaveCause::None))
        .count();
    let service = &group.service;
    let required = action.min_replicas as usize;
    if others < required {
        return Some(format!("{service} has {others} other replicas up and needs {required}"));
    }
    let wanted = book.document().service(service.as_str()).map_or(0, |known| known.replicas);
    let replaceable = may_wait && action.replace_first && others < wanted as usize;
    if replaceable && has_spares(group, view, stops, book) {
        return Some(format!("a replacement of {service} is not up yet"));
    }
    None
}

/// Whether a replacement of `group` is being formed, or could be formed from free hosts.
fn has_spares(group: &GroupView, view: &FleetView, stops: &StopBook, book: &RuleBook) -> bool {
    let forming = view.groups.values().any(|other| {
        other.service == group.service
            && !other.whole
            && matches!(leave_cause(other, view, stops), LeaveCause::None)
    });
    let size = book.document().service(group.service.as_str()).map_or(1, |s| s.hosts_per_replica);
    let free = view
        .hosts
        .values()
        .filter(|host| host.present && host.group.is_none() && !host.announcement.leaving)
        .filter(|host| host.announcement.service == group.service)
        .filter(|host| !stops.is_leaving(host_place(host)))
        .count();
    forming || free >= size as usize
}

fn stop_rule(group: &GroupView, view: &FleetView, book: &RuleBook) -> StopAction {
    let first = group.members.first().and_then(|host| view.hosts.get(host));
    let facts = DecisionFacts {
        service: Some(group.service.as_str()),
        zone: first.map(|host| host.announcement.zone.as_str()),
        provider: first.map(|host| host.announcement.provider.as_str()),
        ..DecisionFacts::default()
    };
    book.stop(&facts).1
}

/// Checks a planned stop against the stop rules and the replicas that are up. Other commands pass
/// unchanged.
///
/// # Errors
/// `CommandOutcome::StopRefused` with the reason.
pub(super) fn check_stop(
    stops: &StopBook,
    view: &FleetView,
    book: &RuleBook,
    command: ControlCommand,
) -> Result<ControlCommand, CommandOutcome> {
    let ControlCommand::PlanStop { mut plan, .. } = command else { return Ok(command) };
    if stops.planned_by(plan.change).is_none() {
        resolve_target(&mut plan, view)?;
        check_stop_rules(stops, view, book, &plan)?;
    }
    Ok(ControlCommand::PlanStop { expect: stops.revision(), plan })
}

/// Fills in the hosts if the target is a group, and refuses a target that covers no known host.
fn resolve_target(plan: &mut StopPlan, view: &FleetView) -> Result<(), CommandOutcome> {
    if let StopTarget::Group(group, hosts) = &mut plan.target {
        let known = view.groups.get(group);
        *hosts = known.map(|known| known.members.clone()).unwrap_or_default();
    }
    if view.hosts.values().any(|host| plan.target.covers(host_place(host))) {
        return Ok(());
    }
    let reason = "no known host belongs to it; look at the groups for the names".to_owned();
    Err(CommandOutcome::StopRefused { reason })
}

fn check_stop_rules(
    stops: &StopBook,
    view: &FleetView,
    book: &RuleBook,
    plan: &StopPlan,
) -> Result<(), CommandOutcome> {
    let covered = |host: &HostName| {
        view.hosts.get(host).is_some_and(|host| plan.target.covers(host_place(host)))
    };
    let mut remaining: SortedTable<ServiceName, usize> = SortedTable::new();
    let mut affected: Vec<&GroupView> = Vec::new();
    for group in view.groups.values().filter(|group| group.whole) {
        let stays = matches!(leave_cause(group, view, stops), LeaveCause::None);
        if group.members.iter().any(covered) {
            affected.push(group);
        } else if stays {
            *remaining.get_or_insert_with(group.service.clone(), || 0) += 1;
        }
    }
    for group in affected {
        let action = stop_rule(group, view, book);
        let service = &group.service;
        if !action.allow {
            let reason = format!("a rule allows no stop of {service}; change the stop rules");
            return Err(CommandOutcome::StopRefused { reason });
        }
        let others = remaining.get(service).copied().unwrap_or(0);
        let required = action.min_replicas as usize;
        // Spare hosts may serve a replacement before this replica leaves.
        let replaceable = action.replace_first && has_spares_outside(group, view, plan, book);
        if others < required && !replaceable {
            let reason = format!(
                "{service} would be left with {others} replicas and its rules demand {required}; \
                 add hosts, or lower min_replicas"
            );
            return Err(CommandOutcome::StopRefused { reason });
        }
    }
    Ok(())
}

/// Whether the free hosts that `plan` does not cover suffice for a replacement of `group`.
fn has_spares_outside(
    group: &GroupView,
    view: &FleetView,
    plan: &StopPlan,
    book: &RuleBook,
) -> bool {
    let size = book.document().service(group.service.as_str()).map_or(1, |s| s.hosts_per_replica);
    let free = view
        .hosts
        .values()
        .filter(|host| host.present && host.group.is_none() && !host.announcement.leaving)
        .filter(|host| host.announcement.service == group.service)
        .filter(|host| !plan.target.covers(host_place(host)))
        .count();
    free >= size as usize
}

impl StopDriver {
    /// All planned stops with the reasons why they wait, for operators.
    pub(super) fn to_json(
        &self,
        stops: &StopBook,
        view: &FleetView,
        book: &RuleBook,
        is_drained: impl Fn(GroupId) -> bool,
    ) -> Value {
        let stoppable = stoppable_hosts(view, stops, is_drained);
        let listed: Vec<Value> = stops
            .stops()
            .map(|(stop, plan)| {
                let hosts: Vec<&HostName> = view
                    .hosts
                    .values()
                    .filter(|host| plan.target.covers(host_place(host)))
                    .map(|host| &host.announcement.host)
                    .collect();
                let ready = hosts.iter().filter(|host| stoppable.contains(host)).count();
                json!({
                    "stop": stop.0,
                    "target": describe_target(&plan.target),
                    "hosts": hosts.len(),
                    "drained": ready,
                    "safe_to_stop": ready == hosts.len(),
                    "waits": self.wait_reasons(plan, stops, view, book),
                })
            })
            .collect();
        json!({ "stops": listed })
    }

    fn wait_reasons(
        &self,
        plan: &StopPlan,
        stops: &StopBook,
        view: &FleetView,
        book: &RuleBook,
    ) -> Vec<String> {
        let covered = |host: &HostName| {
            view.hosts.get(host).is_some_and(|host| plan.target.covers(host_place(host)))
        };
        view.groups
            .values()
            .filter(|group| group.members.iter().any(covered))
            .filter_map(|group| {
                if self.leaving.contains(&group.group) {
                    return group.whole.then(|| format!("group {} finishes its work", group.group));
                }
                wait_reason(group, view, stops, book, &self.leaving, true)
            })
            .collect()
    }
}

fn describe_target(target: &StopTarget) -> String {
    match target {
        StopTarget::Host(host) => format!("host {host}"),
        StopTarget::Group(group, _) => format!("group {group}"),
        StopTarget::Zone(zone) => format!("zone {zone}"),
        StopTarget::Provider(provider) => format!("provider {provider}"),
    }
}
