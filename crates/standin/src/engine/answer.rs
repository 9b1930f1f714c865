//! Sends the answers of the engine and injects the faults drawn for them.

use std::time::Duration;

use briartray_web::{EventWriter, JsonReply, reply_json};
use serde_json::{Value, json};
use tiny_http::Request;

use super::api::refuse;
use super::core::EngineShared;
use super::manage::query_number;
use super::tracked::{RequestEnd, TrackedRequest};
use crate::fault::{DrawnFaults, FaultKind};
use crate::text::{expected_text, token_text};

/// Time of one wait for progress; the wait is repeated until the request ends.
const PROGRESS_WAIT: Duration = Duration::from_secs(1);

/// Prompt that a crossed answer belongs to.
const CROSSED_PROMPT: &str = "the prompt of another caller";

/// Request id of a crossed answer.
const CROSSED_ID: &str = "ffffffffffffffffffffffffffffffff";

/// Returns the request id and prompt to answer with: those of another request if crossed.
fn answer_identity<'a>(tracked: &'a TrackedRequest, faults: &DrawnFaults) -> (&'a str, &'a str) {
    if faults.has(FaultKind::Crossed) {
        (CROSSED_ID, CROSSED_PROMPT)
    } else {
        (&tracked.id, &tracked.prompt)
    }
}

/// Waits for the end of the request and replies with a JSON body.
pub(super) fn send_json(request: Request, tracked: &TrackedRequest, faults: &DrawnFaults) {
    let end = loop {
        if let Some(end) = tracked.wait_end(PROGRESS_WAIT).end {
            break end;
        }
    };
    if end != RequestEnd::Whole {
        return refuse(request, 499, "the request was cancelled");
    }
    std::thread::sleep(faults.duration(FaultKind::Slow) * tracked.tokens);
    let (id, prompt) = answer_identity(tracked, faults);
    let mut text = expected_text(prompt, tracked.tokens);
    if faults.has(FaultKind::Doubled) {
        text = text.repeat(2);
    }
    let body = json!({
        "id": id,
        "object": if tracked.chat { "chat.completion" } else { "text_completion" },
        "model": tracked.model,
        "choices": [choice(tracked.chat, "message", &text, Some("stop"))],
        "usage": { "completion_tokens": tracked.tokens },
    });
    if faults.has(FaultKind::Cut) || faults.has(FaultKind::Silent) {
        send_half_body(request, &body.to_string(), faults);
        return;
    }
    reply_json(request, &JsonReply::new(200, body));
}

/// Sends half of the body, stalls for the time of a `Silent` fault and closes the connection.
fn send_half_body(request: Request, body: &str, faults: &DrawnFaults) {
    let mut output = request.into_writer();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let half = &body.as_bytes()[..body.len() / 2];
    let sent = output
        .write_all(head.as_bytes())
        .and_then(|()| output.write_all(half))
        .and_then(|()| output.flush());
    if let Err(error) = sent {
        log::debug!("caller disconnected before half of the answer was sent: {error}");
    }
    std::thread::sleep(faults.duration(FaultKind::Silent));
}

/// Replies with an event stream that starts at token `from`.
pub(super) fn send_stream(
    request: Request,
    tracked: &TrackedRequest,
    from: u32,
    faults: &DrawnFaults,
) {
    if let Err(error) = send_tokens(request, tracked, from, faults) {
        log::debug!("stream of request {} ended early: {error}", tracked.id);
    }
}

/// Resumes the stream of a request at the token in the query.
pub(super) fn resume_stream(request: Request, shared: &EngineShared, id: &str) {
    let from = query_number(&request, "from").unwrap_or(0);
    match shared.find(id) {
        Some(tracked) => {
            let from = u32::try_from(from).unwrap_or(u32::MAX);
            send_stream(request, &tracked, from, &DrawnFaults::default());
        }
        None => refuse(request, 404, "the request is not known here; send it anew"),
    }
}

fn send_tokens(
    request: Request,
    tracked: &TrackedRequest,
    from: u32,
    faults: &DrawnFaults,
) -> std::io::Result<()> {
    let (id, prompt) = answer_identity(tracked, faults);
    let mut events = EventWriter::start(request.into_writer(), &[])?;
    let mut next = from;
    loop {
        let state = tracked.wait_for_token(next, PROGRESS_WAIT);
        while next < state.generated {
            if next >= tracked.tokens / 2 && faults.has(FaultKind::Cut) {
                return Ok(());
            }
            if next >= tracked.tokens / 2 && faults.has(FaultKind::Silent) {
                std::thread::sleep(faults.duration(FaultKind::Silent));
                return Ok(());
            }
            std::thread::sleep(faults.duration(FaultKind::Slow));
            let event = token_event(tracked, id, prompt, next).to_string();
            events.event(event.as_bytes())?;
            if faults.has(FaultKind::Doubled) {
                events.event(event.as_bytes())?;
            }
            next += 1;
        }
        match state.end {
            Some(RequestEnd::Whole) => break,
            // Omits the `[DONE]` event, so that the reader sees an incomplete stream.
            Some(RequestEnd::Cancelled | RequestEnd::Stopped) => return Ok(()),
            None => {}
        }
    }
    events.event(b"[DONE]")?;
    events.finish()
}

fn token_event(tracked: &TrackedRequest, id: &str, prompt: &str, index: u32) -> Value {
    let finish = (index + 1 == tracked.tokens).then_some("stop");
    json!({
        "id": id,
        "object": if tracked.chat { "chat.completion.chunk" } else { "text_completion" },
        "model": tracked.model,
        "token_index": index,
        "choices": [choice(tracked.chat, "delta", &token_text(prompt, index), finish)],
    })
}

fn choice(chat: bool, field: &str, text: &str, finish: Option<&str>) -> Value {
    if chat {
        json!({ "index": 0, field: { "role": "assistant", "content": text }, "finish_reason": finish })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": finish })
    }
}
