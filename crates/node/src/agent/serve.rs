//! Serving one dispatch stream of an entry.

use std::time::Duration;

use briartray_link::{LinkError, LinkStream, LinkWriter};
use briartray_model::message::{
    AgentReply, CallOutcome, DispatchOrder, EntryRequest, RefusalReason,
};
use briartray_model::names::AttemptId;
use briartray_routing::attempt::BeginDecision;

use super::endpoint::{self, EndpointError};
use super::shared::AgentShared;

/// How long the first message of a stream may take.
const FIRST_WAIT: Duration = Duration::from_secs(10);

/// Serves one stream.
pub(super) fn serve(stream: &LinkStream, shared: &AgentShared) {
    let request = match stream.reader.receive::<EntryRequest>(FIRST_WAIT) {
        Ok(request) => request,
        Err(error) => {
            log::debug!("a dispatch stream brought nothing: {error}");
            return;
        }
    };
    let served = match request {
        EntryRequest::Dispatch(order) => dispatch(&order, shared, &stream.writer),
        EntryRequest::Tombstone { attempt } => {
            let state = shared.attempts().tombstone(attempt);
            stream.writer.send(&AgentReply::Tombstone { attempt, state })
        }
        EntryRequest::Resume { attempt, .. } | EntryRequest::Cancel { attempt } => {
            let detail = "the attempt is not known here".to_owned();
            let outcome = CallOutcome::Unknown;
            stream.writer.send(&AgentReply::Failed { attempt, outcome, detail })
        }
    };
    if let Err(error) = served {
        log::debug!("an entry went before its answer: {error}");
    }
}

fn dispatch(
    order: &DispatchOrder,
    shared: &AgentShared,
    writer: &LinkWriter,
) -> Result<(), LinkError> {
    let attempt = order.attempt;
    if let Some(reason) = shared.refusal(order) {
        return refuse(writer, shared, attempt, reason);
    }
    let slot = match shared.take_slot(order) {
        Ok(slot) => slot,
        Err(reason) => return refuse(writer, shared, attempt, reason),
    };
    match shared.attempts().begin(attempt) {
        BeginDecision::Start => {}
        BeginDecision::Tombstoned => {
            return refuse(writer, shared, attempt, RefusalReason::Tombstoned);
        }
        BeginDecision::Duplicate => {
            let detail = "the attempt came before".to_owned();
            let outcome = CallOutcome::Unknown;
            return writer.send(&AgentReply::Failed { attempt, outcome, detail });
        }
    }
    let served = run(order, shared, writer);
    drop(slot);
    shared.attempts().end(attempt);
    served
}

fn refuse(
    writer: &LinkWriter,
    shared: &AgentShared,
    attempt: AttemptId,
    reason: RefusalReason,
) -> Result<(), LinkError> {
    writer.send(&AgentReply::Refused { attempt, reason, load: shared.load() })
}

fn run(order: &DispatchOrder, shared: &AgentShared, writer: &LinkWriter) -> Result<(), LinkError> {
    let attempt = order.attempt;
    writer.send(&AgentReply::Accepted { attempt })?;
    // Time may have passed since the gate was asked; the endpoint is called only under a lease.
    if !shared.still_whole(order) {
        return refuse(writer, shared, attempt, RefusalReason::GroupNotWhole);
    }
    let mut answer = match endpoint::call(&shared.settings.endpoint, order) {
        Ok(answer) => answer,
        Err(EndpointError::Unreachable { detail }) => {
            log::warn!("endpoint unreachable: {detail}");
            return refuse(writer, shared, attempt, RefusalReason::EndpointUnreachable);
        }
        Err(error) => return fail(writer, attempt, &error.to_string()),
    };
    let (status, content_type) = (answer.status, answer.content_type.clone());
    writer.send(&AgentReply::Head { attempt, status, content_type })?;
    let mut count = 0;
    if answer.is_stream() {
        loop {
            match answer.next_event() {
                Ok(Some(data)) => {
                    if !shared.still_whole(order) {
                        return fail(writer, attempt, "the group lost a member");
                    }
                    writer.send(&AgentReply::Chunk { attempt, sequence: count, data })?;
                    count += 1;
                }
                Ok(None) => break,
                Err(error) => return fail(writer, attempt, &error.to_string()),
            }
        }
    } else {
        match answer.whole_body() {
            Ok(data) => {
                writer.send(&AgentReply::Chunk { attempt, sequence: 0, data })?;
                count = 1;
            }
            Err(error) => return fail(writer, attempt, &error.to_string()),
        }
    }
    if !shared.still_whole(order) {
        return fail(writer, attempt, "the group lost a member");
    }
    writer.send(&AgentReply::End { attempt, count, load: shared.load() })
}

fn fail(writer: &LinkWriter, attempt: AttemptId, detail: &str) -> Result<(), LinkError> {
    let outcome = CallOutcome::Unknown;
    writer.send(&AgentReply::Failed { attempt, outcome, detail: detail.to_owned() })
}
