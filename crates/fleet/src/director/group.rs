//! What one group needs next.
//!
//! [`next_step`] looks at what the members report and names one step. Every step may be asked for
//! again: orders get lost, or are carried out seconds late, so a step counts as done only when a
//! report shows it. An order names its group, and a group's number is never used again, so an
//! order that arrives late finds either its own group or nothing.

use std::time::Duration;

use briartray_model::names::{GroupId, IncarnationId};
use briartray_model::{SortedTable, TimePoint};

use super::hosts::HostTable;
use super::pulse::PulseBook;
use super::{CloseMethod, EndpointOrder, HostRecord, MarkState, OrderCall};
use crate::deployment::DeploymentPlan;
use crate::state::{FleetState, GroupHost, GroupRecord};

/// Wait before an order that shows no effect is sent again.
const ORDER_AGAIN: Duration = Duration::from_millis(500);

/// As above for a join, which shows only when the model is warm. One that was not answered is
/// sent again at once.
const JOIN_AGAIN: Duration = Duration::from_millis(3_000);

/// Time for a group to form, beyond the time of its loads, before another one is tried.
const FORM_SLACK: Duration = Duration::from_secs(3);

/// Time that a group which closes for a planned reason has for the work that runs. The longest
/// answers take three seconds; a member that drains stays for ten.
const CLOSE_PATIENCE: Duration = Duration::from_secs(6);

/// What the leader remembers of a group beside the log and the reports.
#[derive(Debug, Clone)]
pub(super) struct GroupRun {
    pub(super) since: TimePoint,
    /// Longest time its loads may take.
    pub(super) patience: Duration,
    /// Members that reported to be ready for this very group.
    pub(super) ready: Vec<IncarnationId>,
    asked: SortedTable<IncarnationId, (EndpointOrder, TimePoint)>,
    /// When it was found to lack a member, or to have a leaving one.
    pub(super) ending: Option<TimePoint>,
    /// Whether it has served.
    pub(super) opened: bool,
}

impl GroupRun {
    pub(super) fn new(now: TimePoint, patience: Duration) -> Self {
        Self {
            since: now,
            patience,
            ready: Vec::new(),
            asked: SortedTable::new(),
            ending: None,
            opened: false,
        }
    }

    /// An order to `id` was not answered; the next one may be sent at once.
    pub(super) fn forget_asked(&mut self, id: &IncarnationId, order: &EndpointOrder) {
        if self.asked.get(id).is_some_and(|(last, _)| last == order) {
            self.asked.remove(id);
        }
    }

    /// Whether `order` is due: it is not the one asked for last, or that was a while ago.
    fn may_ask(&mut self, now: TimePoint, id: &IncarnationId, order: &EndpointOrder) -> bool {
        let asked = self.asked.get(id);
        let wait = match order {
            EndpointOrder::Join { .. } => JOIN_AGAIN,
            _ => ORDER_AGAIN,
        };
        let due = asked.is_none_or(|(last, at)| last != order || now.since(*at) >= wait);
        if due {
            self.asked.insert(id.clone(), (order.clone(), now));
        }
        due
    }
}

/// What a group needs.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum GroupStep {
    Nothing,
    Order(Vec<OrderCall>),
    End,
}

/// Everything that decisions about groups look at.
pub(super) struct GroupScene<'a> {
    pub(super) now: TimePoint,
    pub(super) hosts: &'a HostTable,
    pub(super) pulses: &'a PulseBook,
    pub(super) plan: &'a DeploymentPlan,
    /// Endpoints that take no new work, sorted.
    leaving: Vec<&'a IncarnationId>,
}

/// A host of a group as the leader knows it.
struct MemberView<'a> {
    id: &'a IncarnationId,
    /// Unknown where the endpoint is gone.
    host: Option<&'a HostRecord>,
    /// Whether it takes no new work.
    leaving: bool,
    /// How far it is in the group; `None` when it is not in it.
    mark: Option<MarkState>,
}

impl MemberView<'_> {
    fn is_lost(&self) -> bool {
        self.host.is_none_or(HostRecord::is_lost)
    }

    /// Whether this leader has yet to hear of it: what an earlier leader knew proves nothing.
    fn is_unheard(&self) -> bool {
        self.host.is_some_and(|host| host.inherited)
    }

    /// Whether it is lost: two probes went unanswered, or one while an entry finds its group silent. The second
    /// witness saves the time of a probe.
    fn is_missing(&self, suspect: impl Fn() -> bool) -> bool {
        self.is_lost() || (self.host.is_some_and(|host| host.failures > 0) && suspect())
    }
}

/// A group with what is known of its hosts, each of which is looked up once.
pub(super) struct GroupSight<'a> {
    scene: &'a GroupScene<'a>,
    group: GroupId,
    record: &'a GroupRecord,
    members: Vec<MemberView<'a>>,
}

impl<'a> GroupScene<'a> {
    /// What `hosts` and `pulses` tell of the groups of `state` under `plan`.
    pub(super) fn new(
        now: TimePoint,
        hosts: &'a HostTable,
        pulses: &'a PulseBook,
        state: &'a FleetState,
        plan: &'a DeploymentPlan,
    ) -> Self {
        Self { now, hosts, pulses, plan, leaving: state.leaving_by_name() }
    }

    /// Looks up the hosts of a group.
    pub(super) fn sight(&'a self, group: GroupId, record: &'a GroupRecord) -> GroupSight<'a> {
        let view = |member: &'a GroupHost| {
            let host = self.hosts.get(&member.id);
            let mark = host.and_then(|host| host.beat.report.mark.as_ref());
            MemberView {
                id: &member.id,
                host,
                leaving: host.is_some_and(|host| host.beat.leaving)
                    || self.leaving.binary_search(&&member.id).is_ok(),
                mark: mark.filter(|mark| mark.group == group).map(|mark| mark.state),
            }
        };
        GroupSight {
            scene: self,
            group,
            record,
            members: record.members.iter().map(view).collect(),
        }
    }
}

impl GroupSight<'_> {
    fn head(&self) -> Option<&MemberView<'_>> {
        self.members.first()
    }

    /// Whether the group serves: its first host says so, and it lacks nobody.
    pub(super) fn is_open(&self) -> bool {
        self.head().is_some_and(|head| head.mark == Some(MarkState::Open)) && !self.is_impaired()
    }

    /// Whether a member is lost, and no entry proves the opposite, or one is leaving.
    fn is_impaired(&self) -> bool {
        self.members.iter().any(|member| member.leaving)
            || (self.lacks_member() && !self.is_moving())
    }

    fn lacks_member(&self) -> bool {
        self.members.iter().any(|member| self.is_missing(member))
    }

    fn is_missing(&self, member: &MemberView<'_>) -> bool {
        let suspect =
            || self.scene.pulses.is_suspect(self.scene.now, self.group, self.silence_limit());
        member.is_missing(suspect)
    }

    /// Whether entries prove that the whole group works.
    fn is_moving(&self) -> bool {
        self.scene.pulses.is_moving(self.scene.now, self.group, self.silence_limit())
    }

    /// Silence after which the group most likely stands still.
    fn silence_limit(&self) -> Duration {
        let service = self.scene.plan.service(&self.record.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine
            .and_then(|engine| Some(engine.silence_limit(engine.model(&self.record.model)?)))
            .unwrap_or(PROOF_AGE)
    }
}

/// Age up to which bytes of a group prove that it works, where its engine is not known.
const PROOF_AGE: Duration = Duration::from_millis(700);

/// The next step of the group in `sight`.
pub(super) fn next_step(sight: &GroupSight<'_>, run: &mut GroupRun) -> GroupStep {
    for member in &sight.members {
        let here =
            matches!(member.mark, Some(MarkState::Ready | MarkState::Open | MarkState::Closing));
        if here && !run.ready.contains(member.id) {
            run.ready.push(member.id.clone());
        }
    }
    let unheard = || sight.members.iter().any(MemberView::is_unheard);
    if run.ending.is_none() && unheard() && !sight.is_impaired() {
        return GroupStep::Nothing;
    }
    if run.ending.is_none() && must_end(sight, run) {
        run.ending = Some(sight.scene.now);
    }
    match run.ending {
        Some(since) => end_step(sight, run, since),
        None => form_step(sight, run),
    }
}

fn must_end(sight: &GroupSight<'_>, run: &GroupRun) -> bool {
    if sight.is_impaired() {
        return true;
    }
    let Some(head) = sight.head() else { return true };
    if run.opened {
        // A member that fell out stops the group as one that died does.
        let fell_out = !matches!(head.mark, Some(MarkState::Open | MarkState::Ready))
            || sight.members.iter().any(|member| member.mark.is_none());
        return fell_out && !sight.is_moving();
    }
    if sight.record.standby && run.ready.contains(head.id) {
        return head.mark.is_none();
    }
    sight.scene.now.since(run.since) > run.patience + FORM_SLACK
}

/// Brings a group to serve: every member joins, then the first host opens.
fn form_step(sight: &GroupSight<'_>, run: &mut GroupRun) -> GroupStep {
    let Some(head) = sight.head() else { return GroupStep::End };
    if head.mark == Some(MarkState::Open) {
        run.opened = true;
        return GroupStep::Nothing;
    }
    let (group, record) = (sight.group, sight.record);
    let all_ready = sight.members.iter().all(|member| run.ready.contains(member.id));
    if all_ready && record.standby {
        return GroupStep::Nothing;
    }
    if all_ready && head.mark == Some(MarkState::Ready) {
        return order(sight, run, head, EndpointOrder::Open { group });
    }
    let members: Vec<IncarnationId> = record.members.iter().map(|host| host.id.clone()).collect();
    let mut calls = Vec::new();
    for member in &sight.members {
        let missing = member.mark.is_none() && !run.ready.contains(member.id);
        let (model, members) = (record.model.clone(), members.clone());
        let join = EndpointOrder::Join { group, model, members };
        if missing && run.may_ask(sight.scene.now, member.id, &join) {
            calls.push(call(member, join));
        }
    }
    GroupStep::Order(calls.into_iter().flatten().collect())
}

/// Takes a group apart. Its hosts are free only when its first host serves no more: a member
/// that joined elsewhere earlier would be in two groups at once.
fn end_step(sight: &GroupSight<'_>, run: &mut GroupRun, since: TimePoint) -> GroupStep {
    let Some(head) = sight.head() else { return GroupStep::End };
    if sight.is_missing(head) {
        return GroupStep::End;
    }
    match head.mark {
        // The members are told to leave once the group has ended.
        None | Some(MarkState::Broken | MarkState::Joining | MarkState::Ready) => GroupStep::End,
        Some(MarkState::Open | MarkState::Closing) => {
            let late = sight.scene.now.since(since) > CLOSE_PATIENCE;
            // Without all members nothing moves, and waiting would only hold the hosts.
            let cut = sight.lacks_member() || late;
            let method = if cut { CloseMethod::Truncate } else { CloseMethod::Wait };
            order(sight, run, head, EndpointOrder::Close { group: sight.group, method })
        }
    }
}

fn order(
    sight: &GroupSight<'_>,
    run: &mut GroupRun,
    member: &MemberView<'_>,
    order: EndpointOrder,
) -> GroupStep {
    if !run.may_ask(sight.scene.now, member.id, &order) {
        return GroupStep::Nothing;
    }
    GroupStep::Order(call(member, order).into_iter().collect())
}

fn call(member: &MemberView<'_>, order: EndpointOrder) -> Option<OrderCall> {
    let address = member.host?.beat.address.clone();
    Some(OrderCall { id: member.id.clone(), address, order })
}
