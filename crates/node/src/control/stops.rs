//! Carrying out planned stops: which groups leave now, which wait for a replacement, and which
//! hosts may be shut down.
//!
//! A group that serves is never dissolved under its requests: whatever the planner wants, the
//! group leaves first, and the command goes through once its first host reports that no work is
//! left.

use std::time::Duration;

use briartray_control::state::{
    CommandOutcome, ControlCommand, HostPlace, StopBook, StopPlan, StopTarget,
};
use briartray_model::names::{GroupId, HostName, ServiceName};
use briartray_model::rules::{DecisionFacts, RuleBook, StopAction};
use briartray_model::{SortedTable, TimePoint};
use briartray_placement::planner::{FleetView, GroupView, HostView};
use serde_json::{Value, json};

/// How long a request of the planner to end a group holds without being repeated.
const ASKED_FOR: Duration = Duration::from_secs(5);

/// How long a stop waits for a replacement; spare hosts that cannot form one must not hold it up
/// for good.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(900);

/// Leaving groups, as decided on the last tick.
#[derive(Debug, Default)]
pub(super) struct StopDriver {
    /// Groups that the planner wants to end, and when it last said so.
    asked: SortedTable<GroupId, TimePoint>,
    /// Groups of planned stops, and when each of them began to wait.
    waiting: SortedTable<GroupId, TimePoint>,
    /// Groups that take no new work.
    leaving: Vec<GroupId>,
}

impl StopDriver {
    /// Groups that take no new work.
    pub(super) fn leaving(&self) -> &[GroupId] {
        &self.leaving
    }

    /// Whether a command of the planner must wait because it would cut off requests.
    pub(super) fn holds_back(
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
        self.asked.insert(*group, now);
        true
    }

    /// Groups that leave for a planned stop and are not recorded as having begun.
    pub(super) fn beginning(&self, view: &FleetView, stops: &StopBook) -> Vec<GroupId> {
        let planned = |group: &GroupId| {
            let known = view.groups.get(group);
            known.is_some_and(|known| matches!(cause(known, view, stops), LeaveCause::Planned))
        };
        let unrecorded = self.leaving.iter().filter(|group| !stops.has_begun(**group));
        unrecorded.filter(|group| planned(group)).copied().collect()
    }

    /// Decides anew which groups leave; `true` when that changed.
    pub(super) fn update(
        &mut self,
        now: TimePoint,
        view: &FleetView,
        stops: &StopBook,
        book: &RuleBook,
    ) -> bool {
        self.asked.retain(|group, asked| {
            view.groups.contains_key(group) && now.since(*asked) < ASKED_FOR
        });
        let mut leaving: Vec<GroupId> = Vec::new();
        for group in view.groups.values() {
            let leaves = match cause(group, view, stops) {
                LeaveCause::None => self.asked.contains_key(&group.group),
                LeaveCause::Ending => true,
                LeaveCause::Planned => {
                    let since = *self.waiting.get_or_insert_with(group.group, || now);
                    let patient = now.since(since) < REPLACEMENT_WAIT;
                    // What has begun to leave goes on; going back and forth helps nobody.
                    self.leaving.contains(&group.group)
                        || stops.has_begun(group.group)
                        || wait_reason(group, view, stops, book, &leaving, patient).is_none()
                }
            };
            if leaves {
                leaving.push(group.group);
            }
        }
        self.waiting.retain(|group, _| {
            let known = view.groups.get(group);
            known.is_some_and(|known| matches!(cause(known, view, stops), LeaveCause::Planned))
        });
        let changed = leaving != self.leaving;
        self.leaving = leaving;
        changed
    }
}

/// Why a group leaves.
enum LeaveCause {
    None,
    /// A member's process is ending.
    Ending,
    /// A member is part of a planned stop.
    Planned,
}

fn cause(group: &GroupView, view: &FleetView, stops: &StopBook) -> LeaveCause {
    let members = || group.members.iter().filter_map(|host| view.hosts.get(host));
    if members().any(|host| host.present && host.announcement.leaving) {
        return LeaveCause::Ending;
    }
    if members().any(|host| stops.is_leaving(place_of(host))) {
        return LeaveCause::Planned;
    }
    LeaveCause::None
}

fn place_of(host: &HostView) -> HostPlace<'_> {
    let said = &host.announcement;
    HostPlace { host: &said.host, zone: &said.zone, provider: &said.provider }
}

/// Marks every host of a planned stop as leaving, for the planner.
pub(super) fn mark_hosts(view: &mut FleetView, stops: &StopBook) {
    for host in view.hosts.values_mut() {
        let leaving = stops.is_leaving(place_of(host));
        host.announcement.leaving |= leaving;
    }
}

/// Hosts on their way out that take part in no work any more.
pub(super) fn stoppable(
    view: &FleetView,
    stops: &StopBook,
    is_drained: impl Fn(GroupId) -> bool,
) -> Vec<HostName> {
    let done = |host: &&HostView| {
        let leaving = host.announcement.leaving || stops.is_leaving(place_of(host));
        leaving && host.group.is_none_or(&is_drained)
    };
    view.hosts.values().filter(done).map(|host| host.announcement.host.clone()).collect()
}

/// Why a planned stop of `group` waits; `None` when the group may leave now.
fn wait_reason(
    group: &GroupView,
    view: &FleetView,
    stops: &StopBook,
    book: &RuleBook,
    leaving: &[GroupId],
    patient: bool,
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
        .filter(|other| matches!(cause(other, view, stops), LeaveCause::None))
        .count();
    let service = &group.service;
    let least = action.min_replicas as usize;
    if others < least {
        return Some(format!("{service} has {others} other replicas up and needs {least}"));
    }
    let wanted = book.document().service(service.as_str()).map_or(0, |known| known.replicas);
    let replaceable = patient && action.replace_first && others < wanted as usize;
    if replaceable && has_spares(group, view, stops, book) {
        return Some(format!("a replacement of {service} is not up yet"));
    }
    None
}

/// Whether a replacement is being formed, or could be from free hosts.
fn has_spares(group: &GroupView, view: &FleetView, stops: &StopBook, book: &RuleBook) -> bool {
    let forming = view.groups.values().any(|other| {
        other.service == group.service
            && !other.whole
            && matches!(cause(other, view, stops), LeaveCause::None)
    });
    let size = book.document().service(group.service.as_str()).map_or(1, |s| s.hosts_per_replica);
    let free = view
        .hosts
        .values()
        .filter(|host| host.present && host.group.is_none() && !host.announcement.leaving)
        .filter(|host| host.announcement.service == group.service)
        .filter(|host| !stops.is_leaving(place_of(host)))
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

/// Checks a stop against the rules and the replicas that are up.
///
/// # Errors
/// A `CommandOutcome::StopRefused` with the reason.
pub(super) fn check_stop(
    stops: &StopBook,
    view: &FleetView,
    book: &RuleBook,
    command: ControlCommand,
) -> Result<ControlCommand, CommandOutcome> {
    let ControlCommand::PlanStop { mut plan, .. } = command else { return Ok(command) };
    if stops.planned_by(plan.change).is_none() {
        resolve(&mut plan, view)?;
        check_rules(stops, view, book, &plan)?;
    }
    Ok(ControlCommand::PlanStop { expect: stops.revision(), plan })
}

/// Fills in the hosts of a group, and refuses what is not known.
fn resolve(plan: &mut StopPlan, view: &FleetView) -> Result<(), CommandOutcome> {
    if let StopTarget::Group(group, hosts) = &mut plan.target {
        let known = view.groups.get(group);
        *hosts = known.map(|known| known.members.clone()).unwrap_or_default();
    }
    if view.hosts.values().any(|host| plan.target.covers(place_of(host))) {
        return Ok(());
    }
    let reason = "no known host belongs to it; look at the groups for the names".to_owned();
    Err(CommandOutcome::StopRefused { reason })
}

fn check_rules(
    stops: &StopBook,
    view: &FleetView,
    book: &RuleBook,
    plan: &StopPlan,
) -> Result<(), CommandOutcome> {
    let covered = |host: &HostName| {
        view.hosts.get(host).is_some_and(|host| plan.target.covers(place_of(host)))
    };
    let mut left: SortedTable<ServiceName, usize> = SortedTable::new();
    let mut hit: Vec<&GroupView> = Vec::new();
    for group in view.groups.values().filter(|group| group.whole) {
        let stays = matches!(cause(group, view, stops), LeaveCause::None);
        if group.members.iter().any(covered) {
            hit.push(group);
        } else if stays {
            *left.get_or_insert_with(group.service.clone(), || 0) += 1;
        }
    }
    for group in hit {
        let action = stop_rule(group, view, book);
        let service = &group.service;
        if !action.allow {
            let reason = format!("a rule allows no stop of {service}; change the stop rules");
            return Err(CommandOutcome::StopRefused { reason });
        }
        let others = left.get(service).copied().unwrap_or(0);
        let least = action.min_replicas as usize;
        // Spare hosts may hold a replacement before the first replica leaves.
        let replaceable = action.replace_first && has_spares_outside(group, view, plan, book);
        if others < least && !replaceable {
            let reason = format!(
                "{service} would be left with {others} replicas and its rules demand {least}; \
                 add hosts, or lower min_replicas"
            );
            return Err(CommandOutcome::StopRefused { reason });
        }
    }
    Ok(())
}

/// Whether free hosts outside the stop could form a replacement of `group`.
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
        .filter(|host| !plan.target.covers(place_of(host)))
        .count();
    free >= size as usize
}

impl StopDriver {
    /// Every stop with what it waits for, for operators.
    pub(super) fn list(
        &self,
        stops: &StopBook,
        view: &FleetView,
        book: &RuleBook,
        is_drained: impl Fn(GroupId) -> bool,
    ) -> Value {
        let done = stoppable(view, stops, is_drained);
        let listed: Vec<Value> = stops
            .stops()
            .map(|(stop, plan)| {
                let hosts: Vec<&HostName> = view
                    .hosts
                    .values()
                    .filter(|host| plan.target.covers(place_of(host)))
                    .map(|host| &host.announcement.host)
                    .collect();
                let ready = hosts.iter().filter(|host| done.contains(host)).count();
                json!({
                    "stop": stop.0,
                    "target": describe(&plan.target),
                    "hosts": hosts.len(),
                    "drained": ready,
                    "safe_to_stop": ready == hosts.len(),
                    "waits": self.waits(plan, stops, view, book),
                })
            })
            .collect();
        json!({ "stops": listed })
    }

    fn waits(
        &self,
        plan: &StopPlan,
        stops: &StopBook,
        view: &FleetView,
        book: &RuleBook,
    ) -> Vec<String> {
        let covered = |host: &HostName| {
            view.hosts.get(host).is_some_and(|host| plan.target.covers(place_of(host)))
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

fn describe(target: &StopTarget) -> String {
    match target {
        StopTarget::Host(host) => format!("host {host}"),
        StopTarget::Group(group, _) => format!("group {group}"),
        StopTarget::Zone(zone) => format!("zone {zone}"),
        StopTarget::Provider(provider) => format!("provider {provider}"),
    }
}
