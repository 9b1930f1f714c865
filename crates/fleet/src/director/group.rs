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
use super::{CloseMethod, EndpointOrder, MarkState, OrderCall};
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

/// Everything that a decision about a group looks at.
pub(super) struct GroupScene<'a> {
    pub(super) now: TimePoint,
    pub(super) hosts: &'a HostTable,
    pub(super) pulses: &'a PulseBook,
    pub(super) state: &'a FleetState,
    pub(super) plan: &'a DeploymentPlan,
}

impl GroupScene<'_> {
    fn is_lost(&self, id: &IncarnationId) -> bool {
        self.hosts.get(id).is_none_or(super::HostRecord::is_lost)
    }

    fn is_leaving(&self, id: &IncarnationId) -> bool {
        self.state.is_leaving(id) || self.hosts.get(id).is_some_and(|host| host.beat.leaving)
    }

    /// How far `id` is in `group`; `None` when it is not in it.
    fn mark(&self, id: &IncarnationId, group: GroupId) -> Option<MarkState> {
        let mark = self.hosts.get(id)?.beat.report.mark.as_ref()?;
        (mark.group == group).then_some(mark.state)
    }

    /// Whether the group serves: its first host says so, and it lacks nobody.
    pub(super) fn is_open(&self, group: GroupId, record: &GroupRecord) -> bool {
        let head = record.members.first();
        let open = head.is_some_and(|head| self.mark(&head.id, group) == Some(MarkState::Open));
        open && !self.is_impaired(group, record)
    }

    /// Whether this leader has yet to hear of a member: what an earlier leader knew of it proves nothing.
    fn is_unheard(&self, record: &GroupRecord) -> bool {
        let unheard =
            |host: &GroupHost| self.hosts.get(&host.id).is_some_and(|host| host.inherited);
        record.members.iter().any(unheard)
    }

    /// Whether a member is lost, and no entry proves the opposite, or one is leaving.
    fn is_impaired(&self, group: GroupId, record: &GroupRecord) -> bool {
        let lost = record.members.iter().any(|host| self.is_missing(group, record, &host.id));
        let leaving = record.members.iter().any(|host| self.is_leaving(&host.id));
        leaving || (lost && !self.is_moving(group, record))
    }

    /// Whether a member is lost: two probes went unanswered, or one while an entry finds the
    /// group silent. The second witness saves the time of a probe.
    fn is_missing(&self, group: GroupId, record: &GroupRecord, id: &IncarnationId) -> bool {
        let failed = self.hosts.get(id).is_some_and(|host| host.failures > 0);
        let limit = self.silence_limit(record);
        self.is_lost(id) || (failed && self.pulses.is_suspect(self.now, group, limit))
    }

    /// Whether entries prove that the whole group works.
    fn is_moving(&self, group: GroupId, record: &GroupRecord) -> bool {
        self.pulses.is_moving(self.now, group, self.silence_limit(record))
    }

    /// Silence after which the group most likely stands still.
    fn silence_limit(&self, record: &GroupRecord) -> Duration {
        let engine = self.plan.service(&record.service).and_then(|service| service.engine.as_ref());
        engine
            .and_then(|engine| Some(engine.silence_limit(engine.model(&record.model)?)))
            .unwrap_or(PROOF_AGE)
    }
}

/// Age up to which bytes of a group prove that it works, where its engine is not known.
const PROOF_AGE: Duration = Duration::from_millis(700);

/// The next step of `group`.
pub(super) fn next_step(
    scene: &GroupScene<'_>,
    group: GroupId,
    record: &GroupRecord,
    run: &mut GroupRun,
) -> GroupStep {
    for host in &record.members {
        let here = matches!(
            scene.mark(&host.id, group),
            Some(MarkState::Ready | MarkState::Open | MarkState::Closing)
        );
        if here && !run.ready.contains(&host.id) {
            run.ready.push(host.id.clone());
        }
    }
    if run.ending.is_none() && scene.is_unheard(record) && !scene.is_impaired(group, record) {
        return GroupStep::Nothing;
    }
    if run.ending.is_none() && must_end(scene, group, record, run) {
        run.ending = Some(scene.now);
    }
    match run.ending {
        Some(since) => end_step(scene, group, record, run, since),
        None => form_step(scene, group, record, run),
    }
}

fn must_end(scene: &GroupScene<'_>, group: GroupId, record: &GroupRecord, run: &GroupRun) -> bool {
    if scene.is_impaired(group, record) {
        return true;
    }
    let Some(head) = record.members.first() else { return true };
    if run.opened {
        let state = scene.mark(&head.id, group);
        // A member that fell out stops the group as one that died does.
        let fell_out = !matches!(state, Some(MarkState::Open | MarkState::Ready))
            || record.members.iter().any(|host| scene.mark(&host.id, group).is_none());
        return fell_out && !scene.is_moving(group, record);
    }
    if record.standby && run.ready.contains(&head.id) {
        return scene.mark(&head.id, group).is_none();
    }
    scene.now.since(run.since) > run.patience + FORM_SLACK
}

/// Brings a group to serve: every member joins, then the first host opens.
fn form_step(
    scene: &GroupScene<'_>,
    group: GroupId,
    record: &GroupRecord,
    run: &mut GroupRun,
) -> GroupStep {
    let Some(head) = record.members.first() else { return GroupStep::End };
    let head_state = scene.mark(&head.id, group);
    if head_state == Some(MarkState::Open) {
        run.opened = true;
        return GroupStep::Nothing;
    }
    let all_ready = record.members.iter().all(|host| run.ready.contains(&host.id));
    if all_ready && record.standby {
        return GroupStep::Nothing;
    }
    if all_ready && head_state == Some(MarkState::Ready) {
        return order(scene, run, &head.id, EndpointOrder::Open { group });
    }
    let members: Vec<IncarnationId> = record.members.iter().map(|host| host.id.clone()).collect();
    let mut calls = Vec::new();
    for host in &record.members {
        let missing = scene.mark(&host.id, group).is_none() && !run.ready.contains(&host.id);
        let (model, members) = (record.model.clone(), members.clone());
        let join = EndpointOrder::Join { group, model, members };
        if missing && run.may_ask(scene.now, &host.id, &join) {
            calls.push(call(scene, &host.id, join));
        }
    }
    GroupStep::Order(calls.into_iter().flatten().collect())
}

/// Takes a group apart. Its hosts are free only when its first host serves no more: a member
/// that joined elsewhere earlier would be in two groups at once.
fn end_step(
    scene: &GroupScene<'_>,
    group: GroupId,
    record: &GroupRecord,
    run: &mut GroupRun,
    since: TimePoint,
) -> GroupStep {
    let Some(head) = record.members.first() else { return GroupStep::End };
    if scene.is_missing(group, record, &head.id) {
        return GroupStep::End;
    }
    match scene.mark(&head.id, group) {
        // The members are told to leave once the group has ended.
        None | Some(MarkState::Broken | MarkState::Joining | MarkState::Ready) => GroupStep::End,
        Some(MarkState::Open | MarkState::Closing) => {
            let lost = record.members.iter().any(|host| scene.is_missing(group, record, &host.id));
            let late = scene.now.since(since) > CLOSE_PATIENCE;
            // Without all members nothing moves, and waiting would only hold the hosts.
            let method = if lost || late { CloseMethod::Truncate } else { CloseMethod::Wait };
            order(scene, run, &head.id, EndpointOrder::Close { group, method })
        }
    }
}

fn order(
    scene: &GroupScene<'_>,
    run: &mut GroupRun,
    id: &IncarnationId,
    order: EndpointOrder,
) -> GroupStep {
    if !run.may_ask(scene.now, id, &order) {
        return GroupStep::Nothing;
    }
    GroupStep::Order(call(scene, id, order).into_iter().collect())
}

fn call(scene: &GroupScene<'_>, id: &IncarnationId, order: EndpointOrder) -> Option<OrderCall> {
    let address = scene.hosts.get(id)?.beat.address.clone();
    Some(OrderCall { id: id.clone(), address, order })
}
