//! One attempt at a request: dispatch to one group and relay its answer.

use briartray_link::{CallKind, LinkError, LinkReader};
use briartray_model::TimePoint;
use briartray_model::message::{
    AgentReply, CallOutcome, DispatchOrder, EntryRequest, GroupRecord, LoadReport, RefusalReason,
};
use briartray_model::names::AttemptId;

use super::call::CallPlan;
use super::output::CallerOutput;
use super::refusal::{CallRefusal, RefusalCode};
use super::shared::{EntryShared, EntryView};
use crate::new_attempt;

/// How one attempt ended.
pub(super) enum AttemptEnd {
    /// The caller has its whole answer, or went away.
    Answered(Option<LoadReport>),
    /// Not run; another replica may be asked.
    Refused(RefusalReason, Option<LoadReport>),
    /// Ended without a whole answer.
    Failed(CallRefusal),
}

/// An answer that is not a stream, collected before the caller sees any of it.
#[derive(Default)]
struct WholeAnswer {
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

/// Runs one attempt; hands the output back unless the caller was answered.
pub(super) fn run_attempt(
    shared: &EntryShared,
    view: &EntryView,
    plan: &CallPlan,
    record: &GroupRecord,
    deadline: TimePoint,
    mut output: CallerOutput,
) -> (AttemptEnd, Option<CallerOutput>) {
    let attempt = new_attempt();
    let order = order_for(shared, view, plan, record, attempt, deadline);
    let (writer, reader) = shared.link.open(record.link, CallKind::Dispatch);
    if let Err(error) = writer.send(&EntryRequest::Dispatch(order)) {
        // The reader tells why the stream is gone, and with it whether anything was sent.
        log::debug!("dispatch was not taken: {error}");
    }
    let mut answer = WholeAnswer::default();
    let mut next_sequence = 0_u64;
    loop {
        let reply = match receive(shared, &reader, deadline) {
            Ok(reply) => reply,
            Err(error) => return (describe_error(&error), Some(output)),
        };
        if attempt_of(&reply) != attempt {
            shared.metrics.crossed.inc();
            log::warn!("an answer to another attempt was dropped");
            continue;
        }
        match reply {
            AgentReply::Accepted { .. } | AgentReply::Progress { .. } => {}
            AgentReply::Refused { reason, load, .. } => {
                return (AttemptEnd::Refused(reason, Some(load)), Some(output));
            }
            AgentReply::Head { status, content_type, .. } => {
                answer.status = status;
                answer.content_type = content_type;
            }
            AgentReply::Chunk { sequence, data, .. } => {
                if sequence != next_sequence {
                    return (broken("a piece of the answer is missing"), Some(output));
                }
                next_sequence += 1;
                if !is_event_stream(&answer) {
                    answer.body.extend_from_slice(&data);
                } else if let Err(error) = output.event(&data) {
                    log::debug!("caller went away: {error}");
                    return (AttemptEnd::Answered(None), None);
                }
            }
            AgentReply::End { count, load, .. } => {
                if count != next_sequence {
                    return (broken("the answer is not whole"), Some(output));
                }
                finish(output, answer);
                return (AttemptEnd::Answered(Some(load)), None);
            }
            AgentReply::Failed { outcome, detail, .. } => {
                return (failed(outcome, &detail), Some(output));
            }
            AgentReply::Tombstone { .. } => {}
        }
    }
}

fn finish(output: CallerOutput, answer: WholeAnswer) {
    if is_event_stream(&answer) {
        if let Err(error) = output.finish_events() {
            log::debug!("caller went away: {error}");
        }
    } else {
        output.whole(answer.status, &answer.content_type, answer.body);
    }
}

fn is_event_stream(answer: &WholeAnswer) -> bool {
    answer.status == 200 && answer.content_type.starts_with("text/event-stream")
}

fn order_for(
    shared: &EntryShared,
    view: &EntryView,
    plan: &CallPlan,
    record: &GroupRecord,
    attempt: AttemptId,
    deadline: TimePoint,
) -> DispatchOrder {
    let left = deadline.since(shared.clock.now()).as_millis();
    DispatchOrder {
        attempt,
        request: plan.id,
        trace: plan.trace,
        group: record.group,
        fencing: record.fencing,
        revision: view.snapshot.revision,
        service: plan.service.clone(),
        team: plan.team.clone(),
        target: plan.target.clone(),
        body: plan.body.clone(),
        stream: plan.stream,
        priority: plan.admit.priority,
        deadline_ms: u32::try_from(left).unwrap_or(u32::MAX),
        once: false,
    }
}

fn receive(
    shared: &EntryShared,
    reader: &LinkReader,
    deadline: TimePoint,
) -> Result<AgentReply, LinkError> {
    reader.receive(deadline.since(shared.clock.now()))
}

fn describe_error(error: &LinkError) -> AttemptEnd {
    if error.nothing_sent() {
        return AttemptEnd::Refused(RefusalReason::EndpointUnreachable, None);
    }
    if matches!(error, LinkError::TimedOut) {
        let message = "no whole answer came before the deadline; look up whether it ran";
        return AttemptEnd::Failed(CallRefusal::unknown(RefusalCode::DeadlinePassed, message));
    }
    broken(&error.to_string())
}

fn broken(detail: &str) -> AttemptEnd {
    failed(CallOutcome::Unknown, detail)
}

fn failed(outcome: CallOutcome, detail: &str) -> AttemptEnd {
    let message = format!("{detail}; look up whether it ran before you send it again");
    AttemptEnd::Failed(CallRefusal { code: RefusalCode::ReplicaFailed, message, outcome })
}

fn attempt_of(reply: &AgentReply) -> AttemptId {
    match reply {
        AgentReply::Accepted { attempt }
        | AgentReply::Refused { attempt, .. }
        | AgentReply::Head { attempt, .. }
        | AgentReply::Chunk { attempt, .. }
        | AgentReply::Progress { attempt, .. }
        | AgentReply::End { attempt, .. }
        | AgentReply::Failed { attempt, .. }
        | AgentReply::Tombstone { attempt, .. } => *attempt,
    }
}
