//! Steps that form, close and end one group.
//!
//! [`next_step`] reads the reports of the members and returns one step. Every step is idempotent,
//! since orders get lost or are carried out seconds late: a step counts as done only when a report
//! shows its effect. An order names its group and group ids are never reused, so a delayed order
//! applies to its own group or to nothing.

use std::time::Duration;

use briartray_model::names::{GroupId, IncarnationId};
use briartray_model::{SortedTable, TimePoint};

use super::group_activity::ActivityTracker;
use super::hosts::HostTable;
use super::{CloseMethod, EndpointOrder, HostRecord, MemberState, OrderCall};
use crate::deployment::DeploymentPlan;
use crate::state::{FleetState, GroupHost, GroupRecord};

/// Wait before an order without visible effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Wait before a join order without visible effect is sent again: a join shows only once the model
/// is warm. A join without an answer is sent again at once.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(3_000);

/// Time for a group to form, beyond the timeout of its loads, before the attempt is given up.
const FORMATION_SLACK: Duration = Duration::from_secs(3);

/// Time that a group has to complete running requests when it closes for a planned reason. The
/// longest answers take three seconds; a member that drains stays for ten.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(6);

/// State that the leader keeps for a group beside the log and the reports.
#[derive(Debug, Clone)]
pub(super) struct GroupTracker {
    pub(super) started_at: TimePoint,
    /// Longest time that its loads may take.
    pub(super) load_timeout: Duration,
    /// Members that reported to be ready in this group.
    pub(super) ready: Vec<IncarnationId>,
    last_orders: SortedTable<IncarnationId, (EndpointOrder, TimePoint)>,
    /// When the group was found to lack a member or to have a leaving one, or was chosen to end.
    pub(super) ending_since: Option<TimePoint>,
    /// Whether the group has served.
    pub(super) has_served: bool,
}

impl GroupTracker {
    pub(super) fn new(now: TimePoint, load_timeout: Duration) -> Self {
        Self {
            started_at: now,
            load_timeout,
            ready: Vec::new(),
            last_orders: SortedTable::new(),
            ending_since: None,
            has_served: false,
        }
    }

    /// Allows `order` to be sent to `id` again at once, since it was not answered.
    pub(super) fn forget_order(&mut self, id: &IncarnationId, order: &EndpointOrder) {
        if self.last_orders.get(id).is_some_and(|(last, _)| last == order) {
            self.last_orders.remove(id);
        }
    }

    /// Whether `order` is due, which then counts as sent: it differs from the last order to `id`,
    /// or the retry interval has passed.
    fn should_send(&mut self, now: TimePoint, id: &IncarnationId, order: &EndpointOrder) -> bool {
        let last_order = self.last_orders.get(id);
        let wait = match order {
            EndpointOrder::Join { .. } => JOIN_RETRY_INTERVAL,
            _ => ORDER_RETRY_INTERVAL,
        };
        let due = last_order.is_none_or(|(last, at)| last != order || now.since(*at) >= wait);
        if due {
            self.last_orders.insert(id.clone(), (order.clone(), now));
        }
        due
    }
}

/// Next step of a group.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum GroupStep {
    Nothing,
    Order(Vec<OrderCall>),
    End,
}

/// Inputs of the decisions about groups.
pub(super) struct GroupContext<'a> {
    pub(super) now: TimePoint,
    pub(super) hosts: &'a HostTable,
    pub(super) activity: &'a ActivityTracker,
    pub(super) plan: &'a DeploymentPlan,
    /// Endpoints that take no new work, sorted.
    leaving: Vec<&'a IncarnationId>,
}

/// A member of a group as the leader sees it.
struct MemberView<'a> {
    id: &'a IncarnationId,
    /// `None` when the endpoint is unknown or removed.
    host: Option<&'a HostRecord>,
    /// Whether it takes no new work.
    leaving: bool,
    /// State of the member in this group; `None` when it reports another group or none.
    state: Option<MemberState>,
}

impl MemberView<'_> {
    fn is_lost(&self) -> bool {
        self.host.is_none_or(HostRecord::is_lost)
    }

    /// Whether this leader has yet to hear from it: what an earlier leader knew is no evidence.
    fn is_unconfirmed(&self) -> bool {
        self.host.is_some_and(|host| host.inherited)
    }

    /// Whether it is lost or silent: two probes failed, or one failed while an entry finds its
    /// group silent. The second source saves the time of a probe.
    fn is_silent(&self, suspect: impl Fn() -> bool) -> bool {
        let has_failed = self.host.is_some_and(|host| host.failures > 0);
        let unresponsive = self.host.is_some_and(HostRecord::is_unresponsive);
        self.is_lost() || unresponsive || (has_failed && suspect())
    }
}

/// A group with its members, each of which is looked up once.
pub(super) struct GroupStatus<'a> {
    context: &'a GroupContext<'a>,
    group: GroupId,
    record: &'a GroupRecord,
    members: Vec<MemberView<'a>>,
}

impl<'a> GroupContext<'a> {
    /// Collects the inputs for the groups of `state`.
    pub(super) fn new(
        now: TimePoint,
        hosts: &'a HostTable,
        activity: &'a ActivityTracker,
        state: &'a FleetState,
        plan: &'a DeploymentPlan,
    ) -> Self {
        Self { now, hosts, activity, plan, leaving: state.sorted_leaving() }
    }

    /// Looks up the members of a group.
    pub(super) fn status(&'a self, group: GroupId, record: &'a GroupRecord) -> GroupStatus<'a> {
        let view = |member: &'a GroupHost| {
            let host = self.hosts.get(&member.id);
            let membership = host.and_then(|host| host.heartbeat.report.mark.as_ref());
            MemberView {
                id: &member.id,
                host,
                leaving: host.is_some_and(|host| host.heartbeat.leaving)
                    || self.leaving.binary_search(&&member.id).is_ok(),
                state: membership
                    .filter(|membership| membership.group == group)
                    .map(|membership| membership.state),
            }
        };
        GroupStatus {
            context: self,
            group,
            record,
            members: record.members.iter().map(view).collect(),
        }
    }
}

impl GroupStatus<'_> {
    fn head(&self) -> Option<&MemberView<'_>> {
        self.members.first()
    }

    /// Whether the group takes requests: its head reports so, no member is leaving, and none is
    /// silent while no entry observes that the group works. A silent member may go on, so this
    /// alone is no reason to end the group.
    pub(super) fn is_open(&self) -> bool {
        let suspect =
            || self.context.activity.is_suspect(self.context.now, self.group, self.silence_limit());
        let is_silent = || self.members.iter().any(|member| member.is_silent(suspect));
        self.head().is_some_and(|head| head.state == Some(MemberState::Open))
            && !self.has_leaving()
            && (!is_silent() || self.is_active())
    }

    /// Whether a member is leaving, or one is lost and no entry observes that the group works.
    fn is_impaired(&self) -> bool {
        self.has_leaving() || self.has_stalled()
    }

    /// Whether a member is lost and no entry observes that the group works.
    fn has_stalled(&self) -> bool {
        self.members.iter().any(MemberView::is_lost) && !self.is_active()
    }

    fn has_leaving(&self) -> bool {
        self.members.iter().any(|member| member.leaving)
    }

    /// Whether an entry observes that the whole group works.
    fn is_active(&self) -> bool {
        self.context.activity.is_active(self.context.now, self.group, self.silence_limit())
    }

    /// Silence after which the group has most likely stalled.
    fn silence_limit(&self) -> Duration {
        let service = self.context.plan.service(&self.record.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine
            .and_then(|engine| Some(engine.silence_limit(engine.model(&self.record.model)?)))
            .unwrap_or(DEFAULT_SILENCE_LIMIT)
    }
}

/// Silence limit of a group whose engine is not known.
const DEFAULT_SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// Returns the next step of the group and updates its tracker.
pub(super) fn next_step(status: &GroupStatus<'_>, tracker: &mut GroupTracker) -> GroupStep {
    for member in &status.members {
        let has_joined = matches!(
            member.state,
            Some(MemberState::Ready | MemberState::Open | MemberState::Closing)
        );
        if has_joined && !tracker.ready.contains(member.id) {
            tracker.ready.push(member.id.clone());
        }
    }
    let unconfirmed = || status.members.iter().any(MemberView::is_unconfirmed);
    if tracker.ending_since.is_none() && unconfirmed() && !status.is_impaired() {
        return GroupStep::Nothing;
    }
    if tracker.ending_since.is_none() && must_end(status, tracker) {
        tracker.ending_since = Some(status.context.now);
    }
    match tracker.ending_since {
        Some(since) => end_step(status, tracker, since),
        None => form_step(status, tracker),
    }
}

fn must_end(status: &GroupStatus<'_>, tracker: &GroupTracker) -> bool {
    if status.is_impaired() {
        return true;
    }
    let Some(head) = status.head() else { return true };
    if tracker.has_served {
        // A member that left the group stalls it just as a dead one does.
        let has_left = !matches!(head.state, Some(MemberState::Open | MemberState::Ready))
            || status.members.iter().any(|member| member.state.is_none());
        return has_left && !status.is_active();
    }
    if status.record.standby && tracker.ready.contains(head.id) {
        return head.state.is_none();
    }
    status.context.now.since(tracker.started_at) > tracker.load_timeout + FORMATION_SLACK
}

/// Forms the group: every member joins, then the head opens.
fn form_step(status: &GroupStatus<'_>, tracker: &mut GroupTracker) -> GroupStep {
    let Some(head) = status.head() else { return GroupStep::End };
    if head.state == Some(MemberState::Open) {
        tracker.has_served = true;
        return GroupStep::Nothing;
    }
    let (group, record) = (status.group, status.record);
    let all_ready = status.members.iter().all(|member| tracker.ready.contains(member.id));
    if all_ready && record.standby {
        return GroupStep::Nothing;
    }
    if all_ready && head.state == Some(MemberState::Ready) {
        return order_member(status, tracker, head, EndpointOrder::Open { group });
    }
    let members: Vec<IncarnationId> = record.members.iter().map(|host| host.id.clone()).collect();
    let mut calls = Vec::new();
    for member in &status.members {
        let missing = member.state.is_none() && !tracker.ready.contains(member.id);
        let (model, members) = (record.model.clone(), members.clone());
        let join = EndpointOrder::Join { group, model, members };
        if missing && tracker.should_send(status.context.now, member.id, &join) {
            calls.push(order_call(member, join));
        }
    }
    GroupStep::Order(calls.into_iter().flatten().collect())
}

/// Closes and ends the group. Its hosts become free only when its head no longer serves: a member
/// that joined elsewhere earlier would be in two groups at once.
fn end_step(status: &GroupStatus<'_>, tracker: &mut GroupTracker, since: TimePoint) -> GroupStep {
    let Some(head) = status.head() else { return GroupStep::End };
    let timed_out = status.context.now.since(since) > CLOSE_TIMEOUT;
    if head.is_lost() {
        // An entry that gets bytes shows that the head completes answers with its members.
        let completes = status.is_active() && !timed_out;
        return if completes { GroupStep::Nothing } else { GroupStep::End };
    }
    match head.state {
        // The members are ordered to leave once the group has ended in the log.
        None | Some(MemberState::Broken | MemberState::Joining | MemberState::Ready) => {
            GroupStep::End
        }
        Some(MemberState::Open | MemberState::Closing) => {
            // With a member missing no request progresses, and waiting would only hold the hosts.
            let truncate = status.has_stalled() || timed_out;
            let method = if truncate { CloseMethod::Truncate } else { CloseMethod::Wait };
            order_member(
                status,
                tracker,
                head,
                EndpointOrder::Close { group: status.group, method },
            )
        }
    }
}

fn order_member(
    status: &GroupStatus<'_>,
    tracker: &mut GroupTracker,
    member: &MemberView<'_>,
    order: EndpointOrder,
) -> GroupStep {
    if !tracker.should_send(status.context.now, member.id, &order) {
        return GroupStep::Nothing;
    }
    GroupStep::Order(order_call(member, order).into_iter().collect())
}

fn order_call(member: &MemberView<'_>, order: EndpointOrder) -> Option<OrderCall> {
    let address = member.host?.heartbeat.address.clone();
    Some(OrderCall { id: member.id.clone(), address, order })
}
