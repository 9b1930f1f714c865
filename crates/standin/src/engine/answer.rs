//! Answers of the engine, with the faults that were drawn for them.

use std::time::Duration;

use briartray_web::{EventWriter, JsonReply, reply_json};
use serde_json::{Value, json};
use tiny_http::Request;

use super::api::refuse;
use super::core::EngineShared;
use super::manage::query_number;
use super::track::{RequestTrack, TrackEnd};
use crate::fault::{DrawnFaults, FaultKind};
use crate::text::{expected_text, token_text};

/// How long one look at a request's progress waits.
const LOOK_WAIT: Duration = Duration::from_secs(1);

/// What a crossed answer answers instead.
const OTHER_PROMPT: &str = "the prompt of another caller";

/// Identity that a crossed answer carries.
const OTHER_ID: &str = "ffffffffffffffffffffffffffffffff";

/// Identity and prompt that an answer carries: its own, or another's when it is crossed.
fn subject<'a>(track: &'a RequestTrack, faults: &DrawnFaults) -> (&'a str, &'a str) {
    if faults.has(FaultKind::Crossed) {
        (OTHER_ID, OTHER_PROMPT)
    } else {
        (&track.id, &track.prompt)
    }
}

/// Answers with one JSON body.
pub(super) fn whole(request: Request, track: &RequestTrack, faults: &DrawnFaults) {
    let end = loop {
        if let Some(end) = track.wait_end(LOOK_WAIT).end {
            break end;
        }
    };
    if end != TrackEnd::Whole {
        return refuse(request, 499, "the request was cancelled");
    }
    std::thread::sleep(faults.time(FaultKind::Slow) * track.tokens);
    let (id, prompt) = subject(track, faults);
    let mut text = expected_text(prompt, track.tokens);
    if faults.has(FaultKind::Doubled) {
        text = text.repeat(2);
    }
    let body = json!({
        "id": id,
        "object": if track.chat { "chat.completion" } else { "text_completion" },
        "model": track.model,
        "choices": [choice(track.chat, "message", &text, Some("stop"))],
        "usage": { "completion_tokens": track.tokens },
    });
    if faults.has(FaultKind::Cut) || faults.has(FaultKind::Silent) {
        break_off(request, &body.to_string(), faults);
        return;
    }
    reply_json(request, &JsonReply::new(200, body));
}

/// Sends half a body, then closes the connection or keeps it open in silence.
fn break_off(request: Request, body: &str, faults: &DrawnFaults) {
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
        log::debug!("caller went before half an answer: {error}");
    }
    std::thread::sleep(faults.time(FaultKind::Silent));
}

/// Answers with an event stream from token `from` on.
pub(super) fn stream(request: Request, track: &RequestTrack, from: u32, faults: &DrawnFaults) {
    if let Err(error) = send_tokens(request, track, from, faults) {
        log::debug!("engine stream {} ended early: {error}", track.id);
    }
}

/// Resumes the stream of a known request.
pub(super) fn resume(request: Request, shared: &EngineShared, id: &str) {
    let from = query_number(&request, "from").unwrap_or(0);
    match shared.find(id) {
        Some(track) => {
            let from = u32::try_from(from).unwrap_or(u32::MAX);
            stream(request, &track, from, &DrawnFaults::default());
        }
        None => refuse(request, 404, "the request is not known here; send it anew"),
    }
}

fn send_tokens(
    request: Request,
    track: &RequestTrack,
    from: u32,
    faults: &DrawnFaults,
) -> std::io::Result<()> {
    let (id, prompt) = subject(track, faults);
    let mut events = EventWriter::start(request.into_writer(), &[])?;
    let mut next = from;
    loop {
        let state = track.wait_beyond(next, LOOK_WAIT);
        while next < state.made {
            if next >= track.tokens / 2 && faults.has(FaultKind::Cut) {
                return Ok(());
            }
            if next >= track.tokens / 2 && faults.has(FaultKind::Silent) {
                std::thread::sleep(faults.time(FaultKind::Silent));
                return Ok(());
            }
            std::thread::sleep(faults.time(FaultKind::Slow));
            let event = token_event(track, id, prompt, next).to_string();
            events.event(event.as_bytes())?;
            if faults.has(FaultKind::Doubled) {
                events.event(event.as_bytes())?;
            }
            next += 1;
        }
        match state.end {
            Some(TrackEnd::Whole) => break,
            // Without its end mark the stream does not look whole.
            Some(TrackEnd::Cancelled | TrackEnd::Stopped) => return Ok(()),
            None => {}
        }
    }
    events.event(b"[DONE]")?;
    events.finish()
}

fn token_event(track: &RequestTrack, id: &str, prompt: &str, index: u32) -> Value {
    let finish = (index + 1 == track.tokens).then_some("stop");
    json!({
        "id": id,
        "object": if track.chat { "chat.completion.chunk" } else { "text_completion" },
        "model": track.model,
        "token_index": index,
        "choices": [choice(track.chat, "delta", &token_text(prompt, index), finish)],
    })
}

fn choice(chat: bool, field: &str, text: &str, finish: Option<&str>) -> Value {
    if chat {
        json!({ "index": 0, field: { "role": "assistant", "content": text }, "finish_reason": finish })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": finish })
    }
}
